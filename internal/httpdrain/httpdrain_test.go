package httpdrain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer starts a server on a loopback address and returns the address.
func startServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := New(&http.Server{Handler: h})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// caller is a caller's connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) send(s string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, s)
	is.New(c.t).NoErr(err)
}

// receive reads a response and reports whether it is complete and whether it asks for
// the connection's close.
func (c *caller) receive() (complete, closes bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil, resp.Close
}

// eventually waits until f returns true, for at most 10 seconds.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition did not hold within 10 seconds")
}

func TestDroppedRequestIsCounted(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := dial(t, addr)
	c.send(getRequest)
	complete, _ := c.receive()
	is.True(!complete)
	eventually(t, func() bool { return s.Stats().Open == 0 })
	is.Equal(s.Stats().Unanswered, int64(1))
}

func TestCallerThatLeavesIsNotCountedAsDropped(t *testing.T) {
	s, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	c := dial(t, addr)
	c.send(getRequest)
	eventually(t, func() bool { return s.Stats().Requests[PhaseServing] == 1 })
	_ = c.conn.Close()
	eventually(t, func() bool { return s.Stats().Open == 0 })
	is.New(t).Equal(s.Stats().Unanswered, int64(0))
}

func TestCloseIsAnnouncedInResponsesThatBeginLater(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	c := dial(t, addr)
	c.send(getRequest)
	eventually(t, func() bool { return s.Stats().Busy == 1 })
	s.AnnounceClose()
	close(release)
	complete, closes := c.receive()
	is.True(complete)
	is.True(closes)
}
