package relay

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// delayedLink forwards TCP connections to an address. What one end sends, its end and
// its reset arrive at the other end after a delay.
type delayedLink struct {
	addr  string
	delay time.Duration
}

// listen starts the link and returns its address.
func (d delayedLink) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); open.Wait() })
	open.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", d.addr)
			if err != nil {
				t.Error(err)
				return
			}
			open.Go(func() { d.forward(far.(*net.TCPConn), near.(*net.TCPConn)) })
			open.Go(func() { d.forward(near.(*net.TCPConn), far.(*net.TCPConn)) })
		}
	})
	return l.Addr().String()
}

// arrival is what arrives at an instant: bytes, or the end of the connection.
type arrival struct {
	at  time.Time
	p   []byte
	err error
}

func (d delayedLink) forward(to, from *net.TCPConn) {
	arrivals := make(chan arrival, 10_000)
	go func() {
		defer close(arrivals)
		for {
			p := make([]byte, 16<<10)
			n, err := from.Read(p)
			arrivals <- arrival{time.Now().Add(d.delay), p[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for a := range arrivals {
		time.Sleep(time.Until(a.at))
		if _, err := to.Write(a.p); err != nil {
			// The other end has reset the connection after its end.
			time.Sleep(d.delay)
			reset(from)
			return
		}
		switch {
		case a.err == nil:
		case errors.Is(a.err, io.EOF):
			_ = to.CloseWrite()
		default:
			reset(to)
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// sendBody sends a request with a body in parts, and fails as soon as a part can't be
// sent.
func sendBody(c net.Conn, parts, size int, pause time.Duration) error {
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts*size); err != nil {
		return err
	}
	for range parts {
		if _, err := c.Write(make([]byte, size)); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// A caller whose body is refused while it is on its way over a slow link can send the
// rest of it and then read the whole refusal. The planned stop of the server waits for
// that.
func TestRefusalReachesCallerThatIsStillSending(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, slog.New(slog.DiscardHandler))
	addr, srv := serve(t, b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, "refused")
	})
	c, err := net.Dial("tcp", delayedLink{addr, 700 * time.Millisecond}.listen(t))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	sent := make(chan error, 1)
	go func() { sent <- sendBody(c, 60, 16<<10, 50*time.Millisecond) }()
	for b.Stats().Lingering == 0 && len(sent) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(srv.Shutdown(t.Context()))
	stopped := make(chan error, 1)
	go func() { stopped <- b.Wait(t.Context()) }()
	is.NoErr(<-sent)
	is.Equal(len(stopped), 0)
	got, err := body(c)
	is.NoErr(err)
	is.Equal(string(got), "refused")
	_ = c.Close()
	is.NoErr(<-stopped)
	is.Equal(b.Stats().Lingering, 0)
}

// A response that the kernel still holds arrives whole although the server has not read
// the body of the request.
func TestUnreadBodyDoesNotCutResponse(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, slog.New(slog.DiscardHandler))
	want := response(64 << 10)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_ = write(w, want)
	})}
	go func() { _ = srv.Serve(b.Listener(l)) }()
	defer func() { _ = srv.Close() }()
	c := dialSmall(t, l.Addr().String())
	sent := make(chan error, 1)
	go func() { sent <- sendBody(c, 40, 16<<10, 0) }()
	time.Sleep(1200 * time.Millisecond) // longer than net/http waits before it closes
	got, err := body(c)
	is.NoErr(err)
	is.True(bytes.Equal(got, want))
	is.NoErr(<-sent)
}

// dialSmall connects with a small window for what the server sends.
func dialSmall(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.CombineErrors(raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		}), err)
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A caller that neither ends nor closes is not waited for longer than the time limit,
// and no more connections linger than the limit allows.
func TestLingeringIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, slog.New(slog.DiscardHandler))
	b.LingerTimeout = 300 * time.Millisecond
	addr, _ := serve(t, b, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	const callers = maxLingering + 20
	most := 0
	var open sync.WaitGroup
	for range callers {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		open.Go(func() {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		})
	}
	open.Wait() // every caller has seen the end of the response
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		most = max(most, b.Stats().Lingering)
	}
	is.True(most > 0)
	is.True(most <= maxLingering)
	is.NoErr(b.Wait(t.Context()))
	is.Equal(b.Stats().Lingering, 0)
}

// What arrives on a connection that is closed while idle is not read: the caller may send
// it again elsewhere.
func TestIdleConnectionDoesNotLinger(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, slog.New(slog.DiscardHandler))
	addr, srv := serve(t, b, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1000))
	is.NoErr(err)
	is.NoErr(srv.Shutdown(t.Context()))
	is.Equal(b.Stats().Lingering, 0)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
