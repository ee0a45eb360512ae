package httpdrain

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startTLSServer starts a server with a certificate for tests. It returns the server, its
// URL and the client's configuration.
func startTLSServer(t *testing.T, h http.HandlerFunc) (*Server, string, *tls.Config) {
	t.Helper()
	is := is.New(t)
	// The certificate of httptest is valid for 127.0.0.1.
	source := httptest.NewTLSServer(nil)
	defer source.Close()
	cert := source.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	is.NoErr(err)
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	certFile, keyFile := write("cert", "CERTIFICATE", cert.Certificate[0]), write("key", "PRIVATE KEY", key)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(&http.Server{Handler: h})
	go func() { _ = s.ServeTLS(l, certFile, keyFile) }()
	t.Cleanup(func() { _ = s.Close() })
	roots := x509.NewCertPool()
	roots.AddCert(source.Certificate())
	return s, l.Addr().String(), &tls.Config{RootCAs: roots}
}

func TestRequestOnItsWayOverTLSDuringStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s, addr, config := startTLSServer(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := tls.Dial("tcp", addr, config)
	is.NoErr(err)
	c := newCaller(t, conn)
	c.send(getRequest)
	complete, _ := c.receive()
	is.True(complete)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(linkDelay)
	c.send(getRequest)
	complete, closes := c.receive()
	is.True(complete)
	is.True(closes)
	is.NoErr(<-stopped)
}

// HTTP/2 is told which requests are served, so that its connections need no time limit.
func TestStopCompletesRequestsOverHTTP2(t *testing.T) {
	is := is.New(t)
	s, addr, config := startTLSServer(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(linkDelay)
		_, _ = io.WriteString(w, "answer")
	})
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	body := make(chan string, 1)
	go func() {
		resp, err := (&http.Client{Transport: transport}).Get("https://" + addr)
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		b, _ := io.ReadAll(resp.Body)
		body <- resp.Proto + " " + string(b)
	}()
	time.Sleep(linkDelay / 3)
	is.NoErr(s.Shutdown(t.Context()))
	is.Equal(<-body, "HTTP/2.0 answer")
}
