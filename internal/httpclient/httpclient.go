// Package kept speaks HTTP/1.1 to targets over kept connections.
//
// A request is written once: no failure makes the package send it again, so
// that its caller decides what may be repeated. A connection is used again
// only after an answer that was framed, whole and echoed the request's id,
// when the request was written whole and nothing else has arrived.
package httpclient

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout = 800 * time.Millisecond
	// defaultIdle is the age of an idle connection up to which it is used
	// where its target announces no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin keeps a connection from being used as its target closes it.
	idleMargin = time.Second
	// asyncBody is the size in bytes from which a request is written beside
	// the wait for its answer.
	asyncBody = 4096
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 3
	bufferSize = 4096
)

// ErrNotSent means that no byte of the request left.
var ErrNotSent = errors.New("kept: not sent")

// ErrResponseMismatch means that the answers that arrived belong to other requests.
var ErrResponseMismatch = errors.New("kept: answers of other requests")

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	// Opened counts the connections that were opened.
	Opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// Do sends a request and returns the head of its answer. The context ends the
// exchange at any point by closing the connection. An error that is not
// [ErrNotSent] leaves open whether the target got the request.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.close)
	if ctx.Err() != nil {
		c.close()
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	if req.Allowed != nil && !req.Allowed() {
		stop()
		p.putBack(c)
		return nil, ErrNotSent
	}
	c.send(req)
	a, err := c.receive(req)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	a.pool = p
	a.stop = stop
	return a, nil
}

// take returns an idle connection or opens one.
func (p *Pool) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// putBack keeps a connection that was not used.
func (p *Pool) putBack(c *conn) {
	if c.until.IsZero() {
		c.until = time.Now().Add(defaultIdle)
	}
	p.put(c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for addr, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				live = append(live, c)
				continue
			}
			old = append(old, c)
		}
		p.idle[addr] = live
		if len(live) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// probes finds connections on which a target no longer answers.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, bufferSize)}, nil
}
