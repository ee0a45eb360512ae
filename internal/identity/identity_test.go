package identity

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const protocol = "test"

var (
	entry = Peer{KindEntry, "h1"}
	side  = Peer{KindSide, "h2"}
)

func issue(t *testing.T, dir string, p Peer) *Credentials {
	t.Helper()
	is := is.New(t)
	a, err := OpenAuthority(dir)
	is.NoErr(err)
	files, err := a.Issue(p, netip.MustParseAddr("127.0.0.1"))
	is.NoErr(err)
	pair, err := LoadCredentials(files)
	is.NoErr(err)
	return pair
}

// handshake returns who the server saw and each end's error.
func handshake(t *testing.T, server, client *tls.Config) (seen Peer, serverErr, clientErr error) {
	t.Helper()
	c, s := net.Pipe()
	defer c.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer s.Close()
		conn := tls.Server(s, server)
		if serverErr = conn.Handshake(); serverErr == nil {
			seen, serverErr = PeerOfState(conn.ConnectionState())
		}
	}()
	conn := tls.Client(c, client)
	if clientErr = conn.Handshake(); clientErr == nil {
		_, clientErr = PeerOfState(conn.ConnectionState())
	}
	c.Close()
	<-done
	return seen, serverErr, clientErr
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	e, s := issue(t, dir, entry), issue(t, dir, side)
	other := issue(t, t.TempDir(), entry)
	tests := []struct {
		name           string
		server, client *tls.Config
		serverOK       bool
		clientOK       bool
	}{
		{"known peers", TLSServer(s, protocol, KindEntry), TLSClient(e, protocol, side), true, true},
		{"any kind", TLSServer(s, protocol), TLSClient(e, protocol, side), true, true},
		{"wrong kind", TLSServer(s, protocol, KindSide), TLSClient(e, protocol, side), false, true},
		{"another host", TLSServer(s, protocol), TLSClient(e, protocol, Peer{KindSide, "h3"}), true, false},
		{"client of a foreign authority", TLSServer(s, protocol), TLSClient(other, protocol, side), false, false},
		{"server of a foreign authority", TLSServer(other, protocol), TLSClient(e, protocol, entry), false, false},
		{"no client certificate", TLSServer(s, protocol), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}}, false, true},
		{"another protocol", TLSServer(s, protocol), TLSClient(e, "http/1.1", side), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			seen, serverErr, clientErr := handshake(t, tt.server, tt.client)
			if !tt.serverOK {
				is.True(serverErr != nil)
			}
			is.Equal(clientErr == nil, tt.clientOK)
			if tt.serverOK && tt.clientOK {
				is.NoErr(serverErr)
				is.Equal(seen, entry)
			}
		})
	}
}

func TestRotation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	pair := issue(t, dir, entry)
	before := pair.current().cert.Leaf.SerialNumber

	is.NoErr(os.WriteFile(pair.files.Cert, []byte("half"), 0o600))
	pair.checked = time.Time{}
	is.Equal(pair.current().cert.Leaf.SerialNumber, before) // the last good one stays
	is.True(pair.Err() != nil)

	a, err := OpenAuthority(dir)
	is.NoErr(err)
	_, err = a.Issue(entry)
	is.NoErr(err)
	pair.checked = time.Time{}
	is.True(pair.current().cert.Leaf.SerialNumber.Cmp(before) != 0)
	is.NoErr(pair.Err())
}

func TestLoadRefusesForeignCertificate(t *testing.T) {
	is := is.New(t)
	own := issue(t, t.TempDir(), entry)
	foreign := issue(t, t.TempDir(), entry)
	_, err := LoadCredentials(Files{CA: own.files.CA, Cert: foreign.files.Cert, Key: foreign.files.Key})
	is.True(err != nil)
}
