package relay

import (
	"bufio"
	"errors"
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

// portTest is a server at a port that may have a few connections.
type portTest struct {
	t    *testing.T
	is   *is.I
	port *Port
	// release lets a request at /wait end.
	release chan struct{}
}

// longResponse is more than kernels hold for a caller that does not read.
const longResponse = 8 << 20

// newPortTest starts a server of which limit connections may be open. While some of them
// can give way, one place is free for the next.
func newPortTest(t *testing.T, limit int) *portTest {
	t.Helper()
	l, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &portTest{t: t, is: is.New(t), release: make(chan struct{})}
	p.port = NewBudget(64<<20, slog.New(slog.DiscardHandler)).Port("test", l, limit)
	srv := httpdrain.New(&http.Server{Handler: http.HandlerFunc(p.serve), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)})
	go func() { _ = srv.Serve(p.port) }()
	t.Cleanup(func() { _ = srv.Close() })
	return p
}

func (p *portTest) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/body" {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if !Arrived(httpdrain.Conn(r)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/wait":
		<-p.release
	case "/short":
		time.Sleep(5 * time.Millisecond)
	case "/long":
		_, _ = w.Write(make([]byte, longResponse))
	}
}

// client is a connection to the server.
type client struct {
	p *portTest
	net.Conn
	r *bufio.Reader
}

// dial opens a connection and sends a text. It waits until the server has read that.
func (p *portTest) dial(text string) *client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.port.Addr().String())
	p.is.NoErr(err)
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, text)
	p.is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	return &client{p, c, bufio.NewReader(c)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answered reports whether a response arrives whole.
func (c *client) answered() bool {
	c.p.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// closed reports whether the server has closed the connection.
func (c *client) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.r.ReadByte()
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// The connection that has waited the longest for a request, or the rest of one, gives way.
func TestLongestWaitingGivesWay(t *testing.T) {
	p := newPortTest(t, 4)
	kept := p.dial(get("/"))
	half := p.dial("GET / HT")
	silent := p.dial("")
	p.is.True(kept.answered())
	_, err := io.WriteString(kept, get("/"))
	p.is.NoErr(err)
	p.is.True(kept.answered()) // it waits anew
	unended := p.dial("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678")
	p.is.True(half.closed())
	p.is.True(!silent.closed())
	newest := p.dial(get("/"))
	p.is.True(newest.answered())
	p.is.True(silent.closed())
	p.is.True(!kept.closed())
	_, err = io.WriteString(unended, "9")
	p.is.NoErr(err)
	p.is.True(unended.answered())
	s := p.port.stats()
	p.is.Equal(s.GaveWay, int64(2))
	p.is.True(s.Open <= s.Limit)
}

// A request in progress gives way to none. A connection that finds no place waits for one.
func TestRequestsInProgressKeepTheirPlaces(t *testing.T) {
	p := newPortTest(t, 2)
	first, second := p.dial(get("/wait")), p.dial(get("/wait"))
	third := p.dial(get("/"))
	p.is.True(!first.closed())
	p.is.True(!second.closed())
	p.is.True(!third.closed()) // nor answered
	_ = third.SetDeadline(time.Now().Add(20 * time.Second))
	close(p.release)
	p.is.True(third.answered())
}

// Callers that send many requests ahead keep no place for all of them while another waits.
func TestRequestsSentAheadGiveWay(t *testing.T) {
	const ahead = 200
	p := newPortTest(t, 2)
	text := strings.Repeat(get("/short"), ahead-1) + "GET /short HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	callers := []*client{p.dial(text), p.dial(text)}
	p.is.True(p.dial(get("/")).answered())
	served := 0
	for _, c := range callers {
		for c.answered() {
			served++
		}
	}
	p.is.True(served < len(callers)*ahead)
}

// Without others, the caller gives way that has been behind with its response the longest.
func TestCallerBehindGivesWay(t *testing.T) {
	p := newPortTest(t, 3)
	slow, slower := p.dial(get("/long")), p.dial(get("/long"))
	newest := p.dial(get("/"))
	p.is.True(newest.answered())
	p.is.True(!slow.answered())
	p.is.True(slower.answered())
}

// A port that waits for a place ends with its listener. No connection gives way any more.
func TestFullPortCloses(t *testing.T) {
	p := newPortTest(t, 1)
	c := p.dial(get("/wait"))
	p.dial(get("/"))
	p.is.NoErr(p.port.Close())
	_, err := p.port.Accept()
	p.is.True(errors.Is(err, net.ErrClosed))
	p.is.Equal(p.port.stats().GaveWay, int64(0))
	close(p.release)
	p.is.True(c.answered())
	_, err = io.WriteString(c, get("/"))
	p.is.NoErr(err)
	p.is.True(c.answered())
}
