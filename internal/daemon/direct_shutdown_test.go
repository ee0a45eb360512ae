package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
)

// A request that a stopping daemon accepts must have time to end. No request is
// accepted later than three seconds after the request to stop, and none is given up
// before the last sixth of the grace period.
func TestShutdownLeavesTimeForAcceptedRequests(t *testing.T) {
	is := is.New(t)
	is.True(listenerCloseDelay < 3*time.Second)
	is.True(listenerCloseDelay > 2*time.Second) // The load balancer checks once a second and requires two failed checks.
	for _, grace := range []time.Duration{6 * time.Second, 8 * time.Second, 30 * time.Second} {
		is.True(requestDrainTimeout(grace) > grace*5/6)
		is.True(requestDrainTimeout(grace) < grace)
	}
}

// slowListener accepts connections on whose bytes the process acts late, as on a busy
// processor.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(300 * time.Microsecond)
	return n, err
}

// stopServer stops a server after a delay while clients send requests over kept
// connections. It returns the number of requests that were handled and got no response.
func stopServer(t *testing.T, clients int, delay time.Duration) int64 {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var handled, answered atomic.Int64
	srv := httpdrain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			handled.Add(1)
		}
	})})
	go func() { _ = srv.Serve(slowListener{l}) }()
	var ready, done sync.WaitGroup
	start := make(chan struct{})
	for range clients {
		ready.Add(1)
		done.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				ready.Done()
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			exchange := func(path string) bool {
				_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(r, nil)
				return err == nil && resp.Body.Close() == nil
			}
			exchange("/first")
			ready.Done()
			<-start
			if exchange("/last") {
				answered.Add(1)
			}
		})
	}
	ready.Wait()
	close(start)
	time.Sleep(delay)
	is.NoErr(closeCallers(t.Context(), srv))
	done.Wait()
	return handled.Load() - answered.Load()
}

// A request that arrives on a kept connection while the daemon stops is answered, or it
// is not handled.
func TestStopHandlesNoRequestOnClosedConnection(t *testing.T) {
	var lost int64
	for i := range 60 {
		lost += stopServer(t, 40, time.Duration(i%30)*20*time.Microsecond)
	}
	is.New(t).Equal(lost, int64(0))
}

// smallBuffers makes the system hold little of what is written to callers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// A planned stop waits for a caller that has not yet read the response that the daemon
// holds for it.
func TestDirectShutdownWaitsForSlowCaller(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.process.sockets.callers = smallBuffers{env.process.sockets.callers}
	env.start()
	for _, r := range env.decodeEngines {
		r.EventPadding = 30_000
	}
	c, err := net.Dial("tcp", env.process.settings.CallersAddr)
	env.is.NoErr(err)
	defer func() { _ = c.Close() }()
	env.is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
	_, err = io.WriteString(c, "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nX-Api-Key: key-1\r\nX-Token-Usage: 90,20\r\nContent-Length: 0\r\n\r\n")
	env.is.NoErr(err)
	env.eventually(func() bool { return env.process.budget.Stats().Behind > 0 })
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	time.Sleep(listenerCloseDelay + 500*time.Millisecond)
	select {
	case <-done:
		t.Fatal("the daemon stopped although a caller was behind")
	default:
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	env.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	env.is.NoErr(err)
	env.is.True(len(b) > 4*30_000)
	<-done
}
