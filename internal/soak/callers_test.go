package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// window returns a function that dials connections which take little before their caller
// reads.
func window(bytes int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetReadBuffer(bytes)
	}
}

// slowReader reads late and then a little at a time.
type slowReader struct {
	r     io.Reader
	delay time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.delay)
	s.delay = 2 * time.Millisecond
	return s.r.Read(p[:min(len(p), 3000)])
}

// callerCounts are the callers of a run. Normal ones read at once and slow ones late and
// a little at a time. Distant ones reach the entries over slow links.
type callerCounts struct{ normal, slow, distant int }

// caller sends requests one after the other, on kept and on new connections.
type caller struct {
	client *http.Client
	rand   *rand.Rand
	// read returns the reader through which the caller reads a body.
	read    func(io.Reader) io.Reader
	distant bool
	// silence is how long, in nanoseconds, the next new connection is open before
	// its first request is sent.
	silence atomic.Int64
}

// startCallers starts callers that send requests until the returned function is
// called, which waits until they and the links have ended.
func (d *deployment) startCallers(n callerCounts) (end func()) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range n.normal + n.slow + n.distant {
		c := newCaller(d.rand.Uint64(), i >= n.normal && i < n.normal+n.slow)
		c.distant = i >= n.normal+n.slow
		callers.Go(func() { d.runCaller(c, i, stop) })
	}
	return func() {
		close(stop)
		callers.Wait()
		for _, e := range d.entries {
			e.link.wait()
		}
	}
}

func newCaller(seed uint64, slow bool) *caller {
	r := newRand(seed, 1)
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	c := &caller{client: &http.Client{Transport: transport}, rand: r}
	c.read = func(body io.Reader) io.Reader { return body }
	transport.DialContext = c.dial
	if slow {
		transport.DialContext = window(4096)
		c.read = func(body io.Reader) io.Reader {
			return &slowReader{body, time.Duration(r.IntN(1500)) * time.Millisecond}
		}
	}
	return c
}

// dial opens a connection and leaves it silent for a while.
func (c *caller) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	time.Sleep(time.Duration(c.silence.Load()))
	return conn, err
}

// renewConnections makes a distant caller open a new connection for about every other
// request, of which one in four is silent at first.
func (c *caller) renewConnections() {
	if !c.distant || c.rand.IntN(2) == 0 {
		return
	}
	c.client.CloseIdleConnections()
	c.silence.Store(0)
	if c.rand.IntN(4) == 0 {
		c.silence.Store(int64(c.rand.IntN(4000)) * int64(time.Millisecond))
	}
}

// runCaller sends requests, each with a unique ID, until stop is closed.
func (d *deployment) runCaller(c *caller, n int, stop chan struct{}) {
	defer c.client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%d-%d", n, i)
		kind := []string{"order", "lookup", "chat"}[c.rand.IntN(3)]
		e := d.entries[c.rand.IntN(len(d.entries))]
		addr := e.callerAddr
		if c.distant {
			addr = e.link.addr
		}
		answer := d.send(c.client, addr, kind, id, c.read)
		d.mu.Lock()
		d.responses[kind+"/"+id] = answer
		d.mu.Unlock()
		time.Sleep(time.Duration(c.rand.IntN(20)) * time.Millisecond)
		c.renewConnections()
	}
}

// response is what a caller received for a request. The zero value stands for no
// response.
type response struct {
	status   int
	body     string
	complete bool
}

// send sends a request and returns the response, whose body is read through read.
func (d *deployment) send(client *http.Client, addr, kind, id string, read func(io.Reader) io.Reader) response {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	// net/http retries idempotent methods on its own, but never a POST without an
	// idempotency key.
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+kind+"/1", strings.NewReader(id))
	req.Host = "h"
	req.Header.Set("X-Request-Id", kind+"/"+id)
	req.Header.Set("X-Api-Key", "key")
	req.Header.Set("X-Deadline-Ms", "3500")
	if kind == "chat" {
		req.Header.Set("X-Token-Usage", "4000,20")
		req.Header.Set("X-Prefix-Hash", "aa:3000,bb:1000")
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get("X-Request-Id"); got != kind+"/"+id {
		d.violation("request %s/%s received the response to %q", kind, id, got)
	}
	b, err := io.ReadAll(read(resp.Body))
	return response{resp.StatusCode, string(b), err == nil}
}
