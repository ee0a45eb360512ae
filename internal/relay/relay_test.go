package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// smallWindows makes the kernel hold little of what is written.
type smallWindows struct{ net.Listener }

func (l smallWindows) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// serve starts a server whose callers draw on a budget. It returns its address.
func serve(t *testing.T, b *Budget, h http.HandlerFunc) (string, *http.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	go func() { _ = srv.Serve(b.Listener(smallWindows{l})) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String(), srv
}

// ask sends a request and returns the connection, whose window is small.
func ask(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	tcp := c.(*net.TCPConn)
	_ = tcp.SetReadBuffer(4096)
	_, _ = io.WriteString(tcp, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	return tcp
}

// response returns n bytes whose order can be checked.
func response(n int) []byte {
	r := rand.New(rand.NewPCG(uint64(n), 0))
	p := make([]byte, n)
	for i := range p {
		p[i] = byte('a' + r.IntN(26))
	}
	return p
}

// slowReader reads a little at a time.
type slowReader struct {
	r     io.Reader
	pause time.Duration
	size  int
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.r.Read(p[:min(len(p), s.size)])
}

// body reads a response and returns its body.
func body(r io.Reader) ([]byte, error) {
	var all bytes.Buffer
	if _, err := all.ReadFrom(r); err != nil {
		return nil, err
	}
	_, b, ok := strings.Cut(all.String(), "\r\n\r\n")
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	return []byte(b), nil
}

// write writes p in pieces of the size of events, each sent at once.
func write(w http.ResponseWriter, p []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(p)))
	for len(p) > 0 {
		n := min(700, len(p))
		if _, err := w.Write(p[:n]); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// A response is taken from its writer although no caller reads, and arrives whole once
// they do. The server's planned stop waits for that.
func TestWritersDoNotWaitForCallers(t *testing.T) {
	is := is.New(t)
	b := NewBudget(32<<20, slog.New(slog.DiscardHandler))
	want := response(64 << 10)
	var writers sync.WaitGroup
	writers.Add(60)
	addr, srv := serve(t, b, func(w http.ResponseWriter, _ *http.Request) {
		defer writers.Done()
		_ = write(w, want)
	})
	var conns []*net.TCPConn
	for range 60 {
		conns = append(conns, ask(t, addr))
	}
	writers.Wait()
	is.True(b.Stats().Behind > 0)
	stopped := make(chan error)
	go func() { stopped <- errors.CombineErrors(srv.Shutdown(t.Context()), b.Wait(t.Context())) }()
	var readers sync.WaitGroup
	for i, c := range conns {
		readers.Go(func() {
			if got, err := body(c); err != nil || !bytes.Equal(got, want) {
				t.Errorf("caller %d received %d of %d bytes: %v", i, len(got), len(want), err)
			}
		})
	}
	is.NoErr(<-stopped)
	readers.Wait()
	s := b.Stats()
	is.Equal(s.ResponseBytes, int64(0))
	is.Equal(s.HeldBack, int64(0))
}

// Hundreds of callers that read slowly, not at all, or leave, share a budget that is far
// smaller than their responses. It is never exceeded; each caller that reads on receives
// all its bytes in order, and only those that take nothing are given up.
func TestHundredsOfSlowCallersShareASmallBudget(t *testing.T) {
	is := is.New(t)
	const callers, limit = 300, 2 << 20
	b := NewBudget(limit, slog.New(slog.DiscardHandler))
	b.StallTimeout, b.TightTimeout = 3*time.Second, 2*time.Second
	want := response(90_000)
	var failed atomic.Int64
	var writers, readers sync.WaitGroup
	writers.Add(callers)
	addr, _ := serve(t, b, func(w http.ResponseWriter, _ *http.Request) {
		defer writers.Done()
		if write(w, want) != nil {
			failed.Add(1)
		}
	})
	silent := 0
	for i := range callers {
		c := ask(t, addr)
		switch i % 10 {
		case 0:
			silent++
		case 1:
			readers.Go(func() {
				_, _ = io.ReadFull(c, make([]byte, 1000))
				_ = c.Close()
			})
		default:
			r := slowReader{c, time.Duration(i%10) * time.Millisecond / 2, 500 + 100*(i%10)}
			readers.Go(func() {
				if got, err := body(r); err != nil || !bytes.Equal(got, want) {
					t.Errorf("caller %d received %d of %d bytes: %v", i, len(got), len(want), err)
				}
			})
		}
	}
	readers.Wait()
	writers.Wait()
	is.NoErr(b.Wait(t.Context()))
	s := b.Stats()
	is.True(s.PeakBytes <= limit)
	is.True(s.PeakBytes > limit/2) // the budget was under pressure
	is.True(s.HeldBack > 0)
	is.Equal(s.GivenUp[ReasonStalled]+s.GivenUp[ReasonMemory], int64(silent))
	is.Equal(s.ResponseBytes, int64(0))
}

// A caller that disconnects ends the wait of its writer, also if it only closes its side.
func TestDisconnectEndsTheWait(t *testing.T) {
	b := NewBudget(64<<10, slog.New(slog.DiscardHandler))
	b.StallTimeout, b.TightTimeout = time.Hour, time.Hour
	ended := make(chan error)
	addr, _ := serve(t, b, func(w http.ResponseWriter, _ *http.Request) { ended <- write(w, response(4<<20)) })
	for name, leave := range map[string]func(c *net.TCPConn) error{"closed": (*net.TCPConn).Close, "half closed": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := ask(t, addr)
			for b.Stats().HeldBack == 0 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(leave(c))
			is.True(<-ended != nil)
		})
	}
}

// A write deadline limits the wait for a caller, and nothing that was held before is lost
// by it.
func TestWriteDeadlineLimitsTheWait(t *testing.T) {
	is := is.New(t)
	b := NewBudget(64<<10, slog.New(slog.DiscardHandler))
	want := response(4 << 20)
	ended := make(chan error, 1)
	addr, _ := serve(t, b, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		ended <- write(w, want)
		panic(http.ErrAbortHandler)
	})
	c := ask(t, addr)
	is.True(<-ended != nil)
	got, err := body(c)
	is.NoErr(err)
	is.True(len(got) > blockBytes && len(got) < len(want))
	is.True(bytes.HasPrefix(want, got))
}

// A connection whose caller was behind once serves further requests.
func TestConnectionServesOnAfterItsCallerCaughtUp(t *testing.T) {
	is := is.New(t)
	b := NewBudget(32<<20, slog.New(slog.DiscardHandler))
	b.TightTimeout = 100 * time.Millisecond
	want := response(256 << 10)
	addr, _ := serve(t, b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 2 {
		// Unlike a GET, it is not sent again on a new connection.
		resp, err := client.Post("http://"+addr, "text/plain", strings.NewReader("x"))
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.NoErr(err)
		is.True(bytes.Equal(got, want))
		is.NoErr(b.Wait(t.Context()))
		time.Sleep(b.TightTimeout)
	}
}

// Those that hold the most are held back first, and each further caller finds room.
func TestLargestIsHeldBackFirst(t *testing.T) {
	is := is.New(t)
	const limit = 4 << 20
	b := NewBudget(limit, slog.New(slog.DiscardHandler))
	fill := func(a *Account) int64 {
		for a.Grow(blockBytes) {
		}
		return a.Held()
	}
	accounts := make([]Account, 150)
	for i := range accounts {
		accounts[i] = b.Account()
		is.True(fill(&accounts[i]) >= blockBytes)
	}
	is.True(accounts[0].Held() <= limit/callerShare)
	is.True(accounts[0].Held() > accounts[10].Held())
	accounts[10].Close()
	is.True(!accounts[0].Grow(blockBytes)) // the largest still waits
	is.True(accounts[10].Grow(blockBytes))
	for i := range accounts {
		accounts[i].Close()
	}
	is.Equal(b.free(), int64(limit))
}

// ReadAll returns what was read when the account may not grow, so that it can be
// forwarded, and takes no more memory than it counts.
func TestReadAllCountsWhatItTakes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2<<20, slog.New(slog.DiscardHandler))
	for _, size := range []int64{0, 1, 5000, 100_000, -1} {
		a := b.Account()
		want := response(int(max(size, 100_000)))
		if size >= 0 {
			want = want[:size]
		}
		r := bytes.NewReader(want)
		got, err := a.ReadAll(r, size, 256<<10)
		rest, _ := io.ReadAll(r)
		is.Equal(a.Held(), int64(cap(got)))
		is.True(bytes.Equal(append(got, rest...), want))
		is.True(err == nil || size < 0 && errors.Is(err, ErrNoRoom) && len(got) > 0)
		a.Close()
	}
	a := b.Account()
	_, err := a.ReadAll(bytes.NewReader(response(2000)), -1, 1000)
	is.True(errors.Is(err, ErrNoRoom))
}

func TestWaitEndsWithItsContext(t *testing.T) {
	b := NewBudget(1, slog.New(slog.DiscardHandler))
	b.enter()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.New(t).True(b.Wait(ctx) != nil)
}
