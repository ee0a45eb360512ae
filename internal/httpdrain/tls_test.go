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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startTLSServer starts a server with a certificate for tests. It returns the server, its
// address and the client's configuration.
func startTLSServer(t *testing.T, h http.HandlerFunc) (*Server, string, *tls.Config) {
	t.Helper()
	return startTLSServerOn(t, h, func(l net.Listener) net.Listener { return l })
}

// startTLSServerOn is like startTLSServer, on the listener that listen makes of another.
func startTLSServerOn(t *testing.T, h http.HandlerFunc, listen func(net.Listener) net.Listener) (*Server, string, *tls.Config) {
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
	go func() { _ = s.ServeTLS(listen(l), certFile, keyFile) }()
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

func TestDroppedRequestOverTLSIsCounted(t *testing.T) {
	is := is.New(t)
	s, addr, config := startTLSServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	conn, err := tls.Dial("tcp", addr, config)
	is.NoErr(err)
	c := newCaller(t, conn)
	c.send(getRequest)
	complete, _ := c.receive()
	is.True(!complete)
	eventually(t, func() bool { return s.Stats().Open == 0 })
	is.Equal(s.Stats().Unanswered, int64(1))
}

// getHTTP2 requests / over HTTP/2 and sends the protocol and the body, or the error.
func getHTTP2(addr string, config *tls.Config) <-chan string {
	result := make(chan string, 1)
	go func() {
		transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("https://" + addr)
		if err != nil {
			result <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			b = []byte(err.Error())
		}
		result <- resp.Proto + " " + string(b)
	}()
	return result
}

// HTTP/2 is told which requests are served, so that its connections need no time limit.
func TestStopCompletesRequestsOverHTTP2(t *testing.T) {
	is := is.New(t)
	s, addr, config := startTLSServer(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(linkDelay)
		_, _ = io.WriteString(w, "answer")
	})
	body := getHTTP2(addr, config)
	eventually(t, func() bool { return s.Stats().Requests[PhaseServing] == 1 })
	is.NoErr(s.Shutdown(t.Context()))
	is.Equal(<-body, "HTTP/2.0 answer")
}

// pausingListener makes connections pause between one of their reads and the use of what it
// has read.
type pausingListener struct {
	net.Listener
	read           int
	paused, resume chan struct{}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &pausingConn{Conn: c, l: l}, err
}

type pausingConn struct {
	net.Conn
	l     *pausingListener
	reads int
}

func (c *pausingConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads != c.l.read {
		return c.Conn.Read(p)
	}
	time.Sleep(linkDelay) // By then what the client sends without an answer has arrived.
	n, err := c.Conn.Read(p)
	close(c.l.paused)
	<-c.l.resume
	return n, err
}

// The request may be in the read that ends the handshake or in the one before it.
func TestRequestReadWithHandshakeDuringStopIsAnswered(t *testing.T) {
	for read := 2; read <= 3; read++ {
		is := is.New(t)
		var handled atomic.Bool
		pausing := &pausingListener{read: read, paused: make(chan struct{}), resume: make(chan struct{})}
		s, addr, config := startTLSServerOn(t, func(w http.ResponseWriter, _ *http.Request) {
			handled.Store(true)
			time.Sleep(linkDelay)
			_, _ = io.WriteString(w, "answer")
		}, func(l net.Listener) net.Listener {
			pausing.Listener = l
			return pausing
		})
		body := getHTTP2(addr, config)
		<-pausing.paused
		stopReading(s)
		close(pausing.resume)
		if got := <-body; handled.Load() {
			is.Equal(got, "HTTP/2.0 answer")
		}
	}
}
