package httpdrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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
	return newCaller(t, c)
}

func newCaller(t *testing.T, c net.Conn) *caller {
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

// stopReading takes the steps of a drain up to the close of idle connections, without the
// time for requests on their way.
func stopReading(s *Server) {
	s.AnnounceClose()
	s.CloseListeners()
	s.CloseIdle()
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

func TestPartOfHeadIsNoRequest(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, addr)
	c.send(getRequest[:8])
	eventually(t, func() bool { return s.Stats().Busy == 1 })
	_ = c.conn.Close()
	eventually(t, func() bool { return s.Stats().Open == 0 })
	is.Equal(s.Stats().Requests[PhaseServing], int64(0))
	is.Equal(s.Stats().Unanswered, int64(0))
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

// linkDelay is how long a request is on its way, as behind a slow link.
const linkDelay = 300 * time.Millisecond

func TestRequestOnItsWayDuringStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	kept, silent := dial(t, addr), dial(t, addr)
	kept.send(getRequest)
	complete, _ := kept.receive()
	is.True(complete)
	eventually(t, func() bool { return s.Stats().Open == 2 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(linkDelay)
	for _, c := range []*caller{kept, silent} {
		c.send(getRequest)
		complete, closes := c.receive()
		is.True(complete)
		is.True(closes)
	}
	is.NoErr(<-stopped)
	is.Equal(s.Stats().Unanswered, int64(0))
}

func TestConnectionsIdleForLongEndFirst(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	unused := dial(t, addr)
	eventually(t, func() bool { return s.Stats().Open == 1 })
	time.Sleep(InFlightTime)
	fresh := dial(t, addr)
	eventually(t, func() bool { return s.Stats().Open == 2 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	_, err := unused.r.ReadByte()
	is.True(errors.Is(err, io.EOF))
	fresh.send(getRequest)
	complete, _ := fresh.receive()
	is.True(complete)
	is.NoErr(<-stopped)
	is.Equal(s.Stats().IdleClosed, int64(1))
}

func TestRequestInPartsDuringStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, addr)
	c.send(getRequest[:4])
	eventually(t, func() bool { return s.Stats().Busy == 1 })
	stopReading(s)
	c.send(getRequest[4:])
	complete, closes := c.receive()
	is.True(complete)
	is.True(closes)
	is.NoErr(s.Wait(t.Context()))
}

func TestNothingIsReadOnIdleConnectionAfterStop(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, addr)
	c.send(getRequest)
	complete, _ := c.receive()
	is.True(complete)
	eventually(t, func() bool { return s.Stats().Busy == 0 })
	s.CloseListeners()
	s.CloseIdle()
	is.NoErr(s.Wait(t.Context()))
	_, _ = io.WriteString(c.conn, getRequest)
	complete, _ = c.receive()
	is.True(!complete)
	is.Equal(s.Stats().Requests[PhaseIdleClosed], int64(0))
	is.Equal(s.Stats().IdleClosed, int64(1))
}

func TestResponseWithoutAnnouncementEndsConnectionAfterStop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	c := dial(t, addr)
	c.send(getRequest)
	_, err := c.r.Peek(1)
	is.NoErr(err)
	stopReading(s)
	close(release)
	complete, _ := c.receive()
	is.True(complete)
	is.NoErr(s.Wait(t.Context()))
}

func TestBodyInPartsDuringStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	c := dial(t, addr)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	eventually(t, func() bool { return s.Stats().Requests[PhaseServing] == 1 })
	stopReading(s)
	for _, part := range []string{"1\r\na\r\n", "1\r\nb\r\n", "0\r\n", "\r\n"} {
		time.Sleep(10 * time.Millisecond)
		c.send(part)
	}
	complete, closes := c.receive()
	is.True(complete)
	is.True(closes)
	is.NoErr(s.Wait(t.Context()))
	is.Equal(s.Stats().Unanswered, int64(0))
}

func TestStopWaitsForOpenRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	c := dial(t, addr)
	c.send(getRequest)
	eventually(t, func() bool { return s.Stats().Busy == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(s.Shutdown(ctx), context.DeadlineExceeded))
	close(release)
	complete, _ := c.receive()
	is.True(complete)
	is.NoErr(s.Wait(t.Context()))
}

func TestNothingIsServedAfterStop(t *testing.T) {
	is := is.New(t)
	s := New(&http.Server{})
	is.NoErr(s.Shutdown(t.Context()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.True(errors.Is(s.Serve(l), http.ErrServerClosed))
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}
