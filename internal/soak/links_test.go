package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// Requests take from minLinkDelay to maxLinkDelay over a callerLink.
	minLinkDelay, maxLinkDelay = 200 * time.Millisecond, 700 * time.Millisecond
	// resetWait is how long the reset that answers a late request may take on loopback.
	resetWait = 20 * time.Millisecond
)

// callerLink forwards connections between callers and an entry daemon. Requests
// and the end of a connection arrive late at the other side, as on a slow link,
// while connections are opened at once. A caller sends one request at a time.
type callerLink struct {
	addr, target string

	mu sync.Mutex
	// open is the number of open connections, answered that of complete responses,
	// and unread that of connections that ended with endUnread.
	open, answered, unread int
	unanswered             []unansweredRequest
}

// unansweredRequest is a request that the daemon has read and to which it sent no
// complete response before it closed the connection.
type unansweredRequest struct {
	id            string
	written, end  time.Time
	requests      int // requests on the connection
	responseBytes int
}

// newCallerLink starts a link to target, whose delays are drawn from r.
func newCallerLink(t testing.TB, target string, r *rand.Rand) *callerLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &callerLink{addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.open++
			p.mu.Unlock()
			go p.serve(c, newRand(r.Uint64(), 0))
		}
	}()
	return p
}

// linkConn is a connection over a callerLink.
type linkConn struct {
	caller, daemon net.Conn
	// rand is used by forwardRequests, and closeDelay by forwardResponses.
	rand       *rand.Rand
	closeDelay time.Duration

	mu sync.Mutex
	// begun and written are the requests of which the first and the last byte was
	// written to the daemon, answered the complete responses.
	begun, written, answered int
	// id and at belong to the last written request.
	id string
	at time.Time
	// responseBytes is what was received since the last complete response.
	responseBytes int
	// end is when the daemon's side of the connection ended, and endErr the error if
	// it was not an orderly close.
	end    time.Time
	endErr error
	// callerClosed is set if the caller closed the connection before the daemon.
	callerClosed bool
}

// serve forwards a connection until both sides have ended it.
func (p *callerLink) serve(caller net.Conn, r *rand.Rand) {
	k := &linkConn{caller: caller, rand: r}
	end := k.forward(p.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.answered += k.answered
	switch end {
	case endUnread:
		p.unread++
	case endUnanswered:
		p.unanswered = append(p.unanswered, unansweredRequest{k.id, k.at, k.end, k.written, k.responseBytes})
	}
}

// wait waits until all connections have ended. Their callers must have closed them.
func (p *callerLink) wait() {
	for {
		p.mu.Lock()
		open := p.open
		p.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// forward forwards a connection and returns how it ended.
func (k *linkConn) forward(target string) connEnd {
	daemon, err := net.Dial("tcp", target)
	if err != nil {
		closeWithReset(k.caller)
		return endComplete
	}
	k.daemon, k.closeDelay = daemon, k.delay()
	defer func() { _ = daemon.Close() }()
	var both sync.WaitGroup
	both.Go(k.forwardRequests)
	both.Go(k.forwardResponses)
	both.Wait()
	time.Sleep(resetWait)
	return k.classify()
}

// delay returns how long a message takes over the link.
func (k *linkConn) delay() time.Duration {
	return minLinkDelay + time.Duration(k.rand.Int64N(int64(maxLinkDelay-minLinkDelay)))
}

// forwardRequests forwards whole requests, also after the daemon has closed the
// connection, until the caller closes it.
func (k *linkConn) forwardRequests() {
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(k.caller, &raw))
	for {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil {
			k.leaveCaller()
			return
		}
		time.Sleep(k.delay())
		k.mu.Lock()
		k.begun++
		k.mu.Unlock()
		if k.write(raw.Bytes()) != nil {
			return
		}
		raw.Reset()
		k.mu.Lock()
		k.written, k.id, k.at = k.written+1, req.Header.Get("X-Request-Id"), time.Now()
		k.mu.Unlock()
	}
}

// write writes a request to the daemon, one in four in two parts.
func (k *linkConn) write(request []byte) error {
	if k.rand.IntN(4) == 0 {
		n := k.rand.IntN(len(request))
		if _, err := k.daemon.Write(request[:n]); err != nil {
			return err
		}
		time.Sleep(time.Duration(k.rand.IntN(100)) * time.Millisecond)
		request = request[n:]
	}
	_, err := k.daemon.Write(request)
	return err
}

// leaveCaller closes the daemon's side if it is open when the caller's has ended.
func (k *linkConn) leaveCaller() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end.IsZero() {
		k.callerClosed = true
		_ = k.daemon.Close()
	}
}

// Read reads from the daemon and passes on what it reads to the caller.
func (k *linkConn) Read(b []byte) (int, error) {
	n, err := k.daemon.Read(b)
	k.mu.Lock()
	k.responseBytes += n
	if err != nil && k.end.IsZero() {
		k.end = time.Now()
		if !errors.Is(err, io.EOF) {
			k.endErr = err
		}
	}
	k.mu.Unlock()
	if n > 0 {
		_, _ = k.caller.Write(b[:n]) // that the caller has closed is seen by forwardRequests
	}
	return n, err
}

// forwardResponses forwards responses until the connection ends, and its end after
// the delay of the link.
func (k *linkConn) forwardResponses() {
	in := bufio.NewReader(k)
	for k.forwardResponse(in) == nil {
		k.mu.Lock()
		k.answered = min(k.answered+1, k.begun) // a response to no request answers none
		k.responseBytes = in.Buffered()
		k.mu.Unlock()
	}
	for { // after bytes that are no response
		if _, err := k.Read(make([]byte, 4096)); err != nil {
			break
		}
	}
	time.Sleep(k.closeDelay)
	if k.endErr != nil {
		closeWithReset(k.caller)
		return
	}
	_ = k.caller.Close()
}

// forwardResponse returns an error if no complete response arrives.
func (k *linkConn) forwardResponse(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// connEnd is how a connection ended.
type connEnd int

const (
	// endComplete means that no whole request was left without a response, or that the
	// caller closed the connection first.
	endComplete connEnd = iota
	// endUnread means that the last request was reset: the daemon did not read all of
	// it, or its response was cut by a reset.
	endUnread
	// endUnanswered means that the daemon read the last request and closed the
	// connection without a complete response.
	endUnanswered
)

// classify returns how the connection ended.
func (k *linkConn) classify() connEnd {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.callerClosed || k.begun > k.written || k.written <= k.answered:
		return endComplete
	case k.endErr != nil || wasReset(k.daemon):
		return endUnread
	}
	return endUnanswered
}

// wasReset reports whether the peer's kernel reset a connection after its end was
// read. It does so when bytes arrive that the peer's process never read.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	code := 0
	cerr := raw.Control(func(fd uintptr) {
		code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return cerr != nil || err != nil || code != 0
}

// String implements [fmt.Stringer].
func (u unansweredRequest) String() string {
	return fmt.Sprintf("%s was read and the connection closed %d ms later after %d bytes of a response (request %d of the connection)",
		u.id, u.end.Sub(u.written).Milliseconds(), u.responseBytes, u.requests)
}
