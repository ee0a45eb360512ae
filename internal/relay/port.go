package relay

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

const (
	// DefaultHeadBytes is the largest head of a request unless it is configured.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout is the time in which a head must arrive once it has begun.
	DefaultHeadTimeout = 10 * time.Second
	// receiveBufferBytes is the size of a connection's receive buffer that is asked for. The
	// kernel takes twice that, for its own bookkeeping.
	receiveBufferBytes = 16 << 10
	// KernelBytes is what the kernel keeps at most of the bytes of a connection that have
	// arrived and nobody has read. They count as memory of the process.
	KernelBytes = 2 * receiveBufferBytes
	// ConnBytes is the memory of one connection beyond what receipts and accounts count:
	// the stacks of its goroutines, the buffers of the HTTP server, an ordinary head, and
	// unread bytes.
	ConnBytes = 32<<10 + KernelBytes
	// roomCheckInterval is the time between two looks for a connection that can give way.
	roomCheckInterval = time.Millisecond
)

// ListenConfig listens for connections of which the kernel keeps few unread bytes.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		// Connections inherit the size from their listener.
		ctlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Wrap(errors.CombineErrors(ctlErr, err), "relay: receive buffer")
	}}
}

// Port accepts the connections of callers at one listener. It implements [net.Listener].
//
// While as many are open as it may have, a connection that carries no request in progress
// gives way to the next: the one that has waited the longest for a request, or for the rest
// of one. If there is none, the one gives way whose caller has been behind the longest with
// taking its response. Otherwise the next connection waits in the kernel until a response
// ends: its connection gives way, also if its caller has sent more requests ahead.
type Port struct {
	net.Listener
	name   string
	budget *Budget
	// limit is the number of connections that may be open; 0 means any.
	limit     int
	headBytes atomic.Int64
	log       rate.Sometimes
	// left is signalled when a connection has been closed, and closed is closed with the
	// listener.
	left, closed chan struct{}
	closeOnce    sync.Once

	mu sync.Mutex
	// open counts the connections that hold a descriptor, with the one that Accept waits
	// for, and leaving those of them that have given way.
	open, leaving int
	// wanted reports that a connection waits while none can give way.
	wanted bool
	// waiting holds the connections without a whole request, and behind those whose callers
	// have not taken what was written, each in the order in which that began.
	waiting, behind list.List
	// gaveWay counts connections that have, and largeHeads heads beyond their limit.
	gaveWay, largeHeads int64
}

// Listener returns a port without a limit on connections.
func (b *Budget) Listener(l net.Listener) *Port { return b.Port("", l, 0) }

// Port returns a port that accepts connections of a listener, of which limit may be open at
// once, or any number if that is 0. The name stands in metrics and logs.
func (b *Budget) Port(name string, l net.Listener, limit int) *Port {
	p := &Port{
		Listener: l, name: name, budget: b, limit: limit, log: rate.Sometimes{Interval: logInterval},
		left: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	p.headBytes.Store(DefaultHeadBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ports = append(b.ports, p)
	return p
}

// SetHeadBytes sets the largest head of a request. Zero sets the default.
func (p *Port) SetHeadBytes(n int64) {
	if n <= 0 {
		n = DefaultHeadBytes
	}
	p.headBytes.Store(n)
}

// PortStats is a snapshot of a port: its connections, their limit, which is 0 if there is
// none, how many have given way to others since the start, and how many heads were refused
// because of their size.
type PortStats struct {
	Name                string
	Open, Limit         int
	GaveWay, LargeHeads int64
}

func (p *Port) stats() PortStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PortStats{Name: p.name, Open: p.open, Limit: p.limit, GaveWay: p.gaveWay, LargeHeads: p.largeHeads}
}

func (p *Port) countLargeHead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largeHeads++
}

// Accept implements [net.Listener].
func (p *Port) Accept() (net.Conn, error) {
	if err := p.takePlace(); err != nil {
		return nil, err
	}
	c, err := p.Listener.Accept()
	if err != nil {
		p.leavePlace(nil)
		return nil, err
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		p.leavePlace(nil)
		return c, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = c.Close()
		p.leavePlace(nil)
		return nil, err
	}
	k := newConn(c, raw, p)
	p.await(k)
	return k, nil
}

// Close implements [net.Listener].
func (p *Port) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.Listener.Close()
}

// takePlace counts a connection that is about to be accepted. It waits while there is no
// place for it.
func (p *Port) takePlace() error {
	for {
		c, ok := p.tryPlace()
		switch {
		case ok:
			return nil
		case c != nil:
			p.log.Do(func() {
				p.budget.log.Info("relay: a connection gave way to the next", "port", p.name, "limit", p.limit)
			})
			c.giveWay()
			continue
		}
		select {
		case <-p.left:
		case <-p.closed:
			p.stopWaiting()
			return net.ErrClosed
		case <-time.After(roomCheckInterval):
		}
	}
}

// tryPlace takes a place if there is one. Otherwise it returns the connection that gives
// way, unless none can or one is just doing so.
func (p *Port) tryPlace() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 || p.open < p.limit {
		p.open++
		p.wanted = false
		return nil, true
	}
	if p.open-p.leaving < p.limit {
		return nil, false
	}
	for _, l := range []*list.List{&p.waiting, &p.behind} {
		for e := l.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); l == &p.behind || c.starving() {
				p.markLeaving(c)
				return c, false
			}
		}
	}
	p.wanted = true
	return nil, false
}

// markLeaving records that a connection gives way. The caller holds mu.
func (p *Port) markLeaving(c *conn) {
	p.unlist(c)
	c.leaving = true
	p.leaving++
	p.gaveWay++
}

// mustGiveWay reports whether a connection gives way whose response has just ended, since all
// others have requests in progress and a new one waits. It may have sent its next request.
func (p *Port) mustGiveWay(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wanted || c.list != &p.waiting {
		return false
	}
	p.wanted = false
	p.markLeaving(c)
	return true
}

// stopWaiting records that no connection waits any more.
func (p *Port) stopWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = false
}

// leavePlace counts a connection that is closed, or nil for one that was not accepted.
func (p *Port) leavePlace(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if c != nil {
		p.unlist(c)
		c.gone = true
	}
	if c != nil && c.leaving {
		p.leaving--
	}
	select {
	case p.left <- struct{}{}:
	default:
	}
}

// await records that a connection carries no whole request from now on.
func (p *Port) await(c *conn) { p.update(c, func() { c.serving = false }, true) }

// serve records that a request on a connection has arrived whole.
func (p *Port) serve(c *conn) { p.update(c, func() { c.serving = true }, false) }

// setBehind records whether the caller of a connection is behind.
func (p *Port) setBehind(c *conn, behind bool) { p.update(c, func() { c.behind = behind }, false) }

// update changes the state of a connection and puts it at the end of the list that it then
// belongs to. One that stays on a list keeps its place there unless anew is set.
func (p *Port) update(c *conn, change func(), anew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	var l *list.List
	switch {
	case c.leaving || c.gone:
	case c.behind:
		l = &p.behind
	case !c.serving:
		l = &p.waiting
	}
	if l == c.list && (l == nil || !anew) {
		return
	}
	p.unlist(c)
	if l != nil {
		c.list, c.element = l, l.PushBack(c)
	}
}

func (p *Port) unlist(c *conn) {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}
