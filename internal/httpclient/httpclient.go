// Package httpclient is an HTTP/1.1 client with persistent connections that
// sends each request at most once.
//
// It never retries: after any failure the caller decides whether the request
// may be sent again. A connection is reused only if the request was written
// completely, its response was framed, was read to its end and echoed the
// request's ID, and no further bytes have arrived. It is not reused for another
// request with the ID of the last one. A request may be meant for one process of its
// target (see [Confirmation]).
//
// Error texts begin with "kept:". They appear in the recorded reasons of
// attempts and therefore do not follow the package's name.
package httpclient

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/tcpabort"
	"github.com/verbenaspur/verbenaspur/internal/tcpreset"
)

const (
	dialTimeout = 800 * time.Millisecond
	// defaultIdleTime is how long a connection may be idle and still be reused
	// if its target announces no timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the timeout that a target announces, so that
	// a connection is not used while the target closes it.
	idleMargin = time.Second
	// asyncWriteSize is the size in bytes from which a request is written
	// concurrently with the wait for its response.
	asyncWriteSize = 4096
	// maxMismatched is the number of responses to other requests after which an
	// exchange is given up. Interim (1xx) responses count too.
	maxMismatched = 3
	bufferSize    = 4096
)

// Limits of what is read of a response.
const (
	// maxHeadBytes limits a head, and maxDiscardedBytes a body that nobody wants.
	maxHeadBytes      = 64 << 10
	maxDiscardedBytes = 1 << 20
	// maxBodyBytes limits any other body.
	maxBodyBytes = 64 << 20
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("kept: not sent")

// ErrResponseMismatch means that the responses that arrived belong to other
// requests.
var ErrResponseMismatch = errors.New("kept: answers of other requests")

// ErrTooLong means that a response exceeds a limit. The target may send bytes without
// end.
var ErrTooLong = errors.New("kept: answer is too long")

// Pool sends requests and keeps idle connections by address. It is safe for
// concurrent use.
type Pool struct {
	// Opened is the number of connections opened so far.
	Opened atomic.Int64

	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveProbes},
		idle:   make(map[string][]*conn),
	}
}

// NewVoidingPool returns an empty pool for requests that must not arrive after they were
// given up. What a target's host has not acknowledged when its connection ends is never
// delivered, also if this process has been paused or killed. A connection ends at the
// latest when something has been unacknowledged for unacked (see [tcpabort.Control]).
func NewVoidingPool(unacked time.Duration) *Pool {
	p := NewPool()
	p.dialer.Control = tcpabort.Control(unacked)
	return p
}

// Do sends a request and returns the head of its response. Cancelling the
// context at any point of the exchange closes the connection. After an error
// other than [ErrNotSent], the target may or may not have received the request.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	if err := req.check(); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c, err := p.acquireConfirmed(ctx, addr, req)
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
		p.putUnused(c)
		return nil, ErrNotSent
	}
	c.setPatient(req.Patient)
	c.send(req)
	resp, err := c.readResponse(req)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	resp.pool = p
	resp.stop = stop
	return resp, nil
}

// acquire returns an idle connection that can be reused for a request with the ID, or
// opens a new one.
func (p *Pool) acquire(ctx context.Context, addr, id string) (*conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		sameID := id != "" && id == c.lastID
		if !sameID && time.Now().Before(c.expires) && c.noPendingInput() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) popIdle(addr string) *conn {
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

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// putUnused returns a connection to the pool over which no request was sent.
func (p *Pool) putUnused(c *conn) {
	if c.expires.IsZero() {
		c.expires = time.Now().Add(defaultIdleTime)
	}
	p.putIdle(c)
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

// CloseExpired closes the connections whose idle time has passed at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for addr, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				live = append(live, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[addr] = live
		if len(live) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

const (
	keepAliveTime  = time.Second
	keepAliveCount = 2
	// SilenceLimit is how long the host of a target may be silent until the exchange
	// with it ends, unless the request is patient.
	SilenceLimit = (1 + keepAliveCount) * keepAliveTime
)

// keepAliveProbes configures TCP keep-alive probes, which detect targets that no
// longer respond.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveCount}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	rc := tcpreset.NewConn(nc)
	input := &limitedReader{r: rc}
	return &conn{Conn: rc, addr: addr, input: input, r: bufio.NewReaderSize(input, bufferSize)}, nil
}
