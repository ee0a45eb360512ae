package relay

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
)

// newEcho starts a server that responds with a request's path, fields and body. It returns a
// connection to it.
func newEcho(t *testing.T, b *Budget, headBytes int64) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := b.Port("test", l, 0)
	port.SetHeadBytes(headBytes)
	srv := httpdrain.New(&http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, r.URL.Path, len(r.Header), r.Header.Get("X-Last"), string(body))
	})})
	go func() { _ = srv.Serve(port) }()
	t.Cleanup(func() { _ = srv.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// echo is a response.
type echo struct {
	status      int
	body        string
	close, wait bool
}

func readEcho(t *testing.T, r *bufio.Reader) echo {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return echo{resp.StatusCode, string(body), resp.Close, resp.Header.Get("Retry-After") != ""}
}

// fields returns header fields, no two alike, of some 10 bytes each.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "f%05d:1\r\n", i)
	}
	return b.String()
}

// Whatever the parts in which requests arrive, the server gets each of them, with its body
// and in order, also those sent ahead.
func TestHeadsInParts(t *testing.T) {
	large := "POST /c HTTP/1.1\r\nHost: h\r\n" + fields(900) + "X-Last: yes\r\nContent-Length: 4\r\n\r\nbody"
	text := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + large + "POST /b HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n2\r\n\r\n\r\n0\r\n\r\n" + large + large + "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, size := range []int{1, 7, 100, 4095, 4096, 5000, len(text)} {
		is := is.New(t)
		b := NewBudget(32<<20, slog.New(slog.DiscardHandler))
		c := newEcho(t, b, DefaultHeadBytes)
		_ = c.(*net.TCPConn).SetNoDelay(true)
		go func() {
			for rest := text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				_, _ = io.WriteString(c, rest[:min(size, len(rest))])
				if size > 1 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		r := bufio.NewReader(c)
		for _, want := range []string{"/a0", "/c902yesbody", "/b0\r\n", "/c902yesbody", "/c902yesbody", "/a0"} {
			is.Equal(readEcho(t, r).body, want)
		}
		for b.Stats().RequestBytes != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// A head beyond its limit, or without room, is refused with the status that says so, and the
// refusal reaches a caller that is still sending.
func TestHeadsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		budget, limit int64
		head          string
		status        int
		retry         bool
	}{
		"too large":                {32 << 20, 5000, fields(1000), http.StatusRequestHeaderFieldsTooLarge, false},
		"too large in one piece":   {32 << 20, 100, fields(20) + "\r\n", http.StatusRequestHeaderFieldsTooLarge, false},
		"no room for its bytes":    {16 << 10, DefaultHeadBytes, fields(3000), http.StatusServiceUnavailable, true},
		"no room for its fields":   {200 << 10, DefaultHeadBytes, fields(900) + "\r\n", http.StatusServiceUnavailable, true},
		"room for an ordinary one": {16, DefaultHeadBytes, fields(20) + "\r\n", http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(tc.budget, slog.New(slog.DiscardHandler))
			c := newEcho(t, b, tc.limit)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+tc.head)
			is.NoErr(err)
			got := readEcho(t, bufio.NewReader(c))
			is.Equal(got.status, tc.status)
			is.Equal(got.close, tc.status != http.StatusOK)
			is.Equal(got.wait, tc.retry)
			_, err = io.WriteString(c, "more")
			is.NoErr(err)
		})
	}
}

// An incomplete head holds its bytes only. A complete one holds what its fields take.
func TestHeadsHoldWhatTheyTake(t *testing.T) {
	is := is.New(t)
	b := NewBudget(32<<20, slog.New(slog.DiscardHandler))
	held := func(atLeast, atMost int64) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); b.Stats().RequestBytes < atLeast && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.True(b.Stats().RequestBytes >= atLeast)
		is.True(b.Stats().RequestBytes <= atMost)
	}
	c := newEcho(t, b, DefaultHeadBytes)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"+fields(1000))
	is.NoErr(err)
	held(9_000, 20_000)
	_, err = io.WriteString(c, "\r\n")
	is.NoErr(err)
	held(200_000, 400_000)
	_, err = io.WriteString(c, "x")
	is.NoErr(err)
	is.Equal(readEcho(t, bufio.NewReader(c)).body, "/1001x")
	for b.Stats().RequestBytes != 0 {
		time.Sleep(time.Millisecond)
	}
}
