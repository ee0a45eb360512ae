package daemon

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/relay"
)

// A caller whose body is refused can send the rest of it and then read the refusal,
// whether it keeps its connections or not, and however long the rest is.
func TestRefusalReachesCallerThatIsStillSending(t *testing.T) {
	for name, tc := range map[string]struct {
		header    string
		room      int64
		part      int // of 10
		status    int
		errorCode string
	}{
		"too large":                      {"", 1 << 20, 2_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"too large, single request":      {"Connection: close\r\n", 1 << 20, 2_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"much too large":                 {"", 1 << 20, 200_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"no room for it":                 {"", 100, 90, http.StatusServiceUnavailable, "memory"},
		"no room for it, single request": {"Connection: close\r\n", 100, 90, http.StatusServiceUnavailable, "memory"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := &directDriver{budget: relay.NewBudget(tc.room, slog.New(slog.DiscardHandler))}
			d.maxBody.Store(1000)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			srv := &http.Server{Handler: d}
			go func() { _ = srv.Serve(d.budget.Listener(l)) }()
			defer func() { _ = srv.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n%sContent-Length: %d\r\n\r\n", tc.header, 10*tc.part)
			is.NoErr(err)
			for range 10 {
				_, err = c.Write(make([]byte, tc.part))
				is.NoErr(err) // a part can be sent
				time.Sleep(250 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(resp.Close)
			is.Equal(string(body), `{"error":"`+tc.errorCode+"\"}\n")
		})
	}
}

// pipeListener accepts one end of a connection in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request whose body does not arrive in time is told that it has not run.
func TestOverdueBodyIsRefused(t *testing.T) {
	for name, sent := range map[string]string{
		"length": "Content-Length: 10\r\n\r\n12345",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
				srv := newBodyTestServer()
				go func() { _ = srv.Serve(l) }()
				defer func() { _ = srv.Close() }()
				near, far := net.Pipe()
				defer func() { _ = near.Close() }()
				l.conns <- far
				start := time.Now()
				_, err := io.WriteString(near, requestHead+sent)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				is.NoErr(err)
				is.Equal(time.Since(start), bodyTimeout)
				defer func() { _ = resp.Body.Close() }()
				is.Equal(resp.StatusCode, http.StatusRequestTimeout)
				is.True(resp.Close)
				is.Equal(resp.Header.Get("X-Request-Id"), "a")
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "{\"error\":\"body-timeout\"}\n")
				_, err = near.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
			})
		})
	}
}

// A caller that ends its side before the end of the body gets no response.
func TestIncompleteBodyIsNotAnswered(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := newBodyTestServer()
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, requestHead+"Content-Length: 10\r\n\r\n12345")
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "")
}

const requestHead = "POST /lookup/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"

// newBodyTestServer returns a server with a driver that reads bodies.
func newBodyTestServer() *http.Server {
	d := &directDriver{budget: relay.NewBudget(1<<20, slog.New(slog.DiscardHandler))}
	return &http.Server{Handler: d, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
}

// A connection may be idle for the longest limit that was configured, although the server's
// own is shorter. Requests that have begun keep their own limits.
func TestConfiguredIdleTimeoutIsKept(t *testing.T) {
	const serverLimit, configured = 10 * time.Millisecond, time.Hour
	is := is.New(t)
	d := &directDriver{budget: relay.NewBudget(1<<20, slog.New(slog.DiscardHandler))}
	srv := httpdrain.New(&http.Server{Handler: d, IdleTimeout: serverLimit, ReadHeaderTimeout: 30 * serverLimit})
	d.callers = srv
	for _, limit := range []time.Duration{configured, time.Millisecond, 0} {
		d.execute(0, msg.SetCallerLimits{Limits: msg.CallerLimits{IdleTimeout: limit}})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(d.budget.Listener(l)) }()
	defer func() { _ = srv.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for range 3 {
		_, err = io.WriteString(c, "GET /lookup/1 HTTP/1.1\r\nHost: h\r\n\r\n") // without an ID
		is.NoErr(err)
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err) // the connection was kept
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		time.Sleep(10 * serverLimit)
	}
	_, err = io.WriteString(c, "GET /look")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(configured / 100)))
	_, err = io.Copy(io.Discard, r)
	is.NoErr(err) // the server ends the connection, as the head does not arrive in time
}

func TestOverdueBodyAfterContinueEndsConnection(t *testing.T) {
	is := is.New(t)
	d := &directDriver{budget: relay.NewBudget(1<<20, slog.New(slog.DiscardHandler))}
	d.callers = httpdrain.New(&http.Server{Handler: d})
	d.callers.ExtendIdleTimeout(time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = d.callers.Serve(d.budget.Listener(l)) }()
	defer func() { _ = d.callers.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, requestHead+"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(bodyTimeout + 10*unreadBodyTimeout)))
	b, err := io.ReadAll(c)
	is.NoErr(err) // The server ends the connection.
	is.True(strings.Contains(string(b), " 408 "))
}
