package identity

import (
	"bytes"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const protocol = "test"

var (
	entry = Peer{KindEntry, "h1"}
	side  = Peer{KindSide, "h2"}
)

func issueCredentials(t *testing.T, dir string, p Peer) *Credentials {
	t.Helper()
	is := is.New(t)
	a, err := OpenAuthority(dir)
	is.NoErr(err)
	files, err := a.Issue(p, netip.MustParseAddr("127.0.0.1"))
	is.NoErr(err)
	creds, err := LoadCredentials(files, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	return creds
}

// handshake performs a handshake and returns the peer that the server identified
// and the error of each end.
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
	e, s := issueCredentials(t, dir, entry), issueCredentials(t, dir, side)
	other := issueCredentials(t, t.TempDir(), entry)
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
		{"client of another authority", TLSServer(s, protocol), TLSClient(other, protocol, side), false, false},
		{"server of another authority", TLSServer(other, protocol), TLSClient(e, protocol, entry), false, false},
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

func TestChangedFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	creds := issueCredentials(t, dir, entry)
	var logged bytes.Buffer
	creds.log = slog.New(slog.NewTextHandler(&logged, nil))
	before := creds.current().cert.Leaf.SerialNumber

	is.NoErr(os.WriteFile(creds.files.Cert, []byte("half"), 0o600))
	creds.checked = time.Time{}
	is.Equal(creds.current().cert.Leaf.SerialNumber, before) // the last valid certificate stays in use
	creds.checked = time.Time{}
	creds.current()
	is.Equal(strings.Count(logged.String(), "the earlier ones stay in use"), 1)

	a, err := OpenAuthority(dir)
	is.NoErr(err)
	_, err = a.Issue(entry)
	is.NoErr(err)
	creds.checked = time.Time{}
	is.True(creds.current().cert.Leaf.SerialNumber.Cmp(before) != 0)
	is.True(strings.Contains(logged.String(), "certificate files reloaded"))
}

func TestLoadRejectsCertificateOfAnotherAuthority(t *testing.T) {
	is := is.New(t)
	own := issueCredentials(t, t.TempDir(), entry)
	foreign := issueCredentials(t, t.TempDir(), entry)
	_, err := LoadCredentials(Files{CA: own.files.CA, Cert: foreign.files.Cert, Key: foreign.files.Key}, slog.New(slog.DiscardHandler))
	is.True(err != nil)
}
