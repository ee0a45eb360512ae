package relay

import (
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errCallerLeft means that the caller closed the connection while a writer was waiting
// for it.
var errCallerLeft = errors.New("relay: the caller has disconnected")

// errGaveWay means that the connection was closed to make room for another.
var errGaveWay = errors.New("relay: the connection gave way to another")

// conn is the connection of a caller, with the request on it. Write returns as soon as all bytes are sent or
// held. A write deadline limits only the time for which Write waits for room. Close and
// CloseWrite take effect when all that is held has been sent. Close after CloseWrite reads
// on for a while: see linger.
type conn struct {
	net.Conn
	port    *Port
	budget  *Budget
	raw     syscall.RawConn
	receipt *Receipt
	head    head
	// reading reports that a read waits for bytes.
	reading atomic.Bool

	deadlines readDeadlines
	// writeOnce and sendHeld are methods of this connection, for raw.Write.
	writeOnce, sendHeld func(fd uintptr) bool

	// writing keeps concurrent calls of Write apart.
	writing sync.Mutex

	mu sync.Mutex
	// direct is what writeOnce sends, and directErr its error.
	direct    []byte
	directErr error
	queue     queue
	// lent are bytes of a waiting writer. They follow those in the queue and are sent
	// from where they are.
	lent []byte
	// sending reports whether the goroutine that sends what is held is running, and
	// progressAt is when the caller last took something.
	sending    bool
	progressAt time.Time
	// progress wakes a waiting writer.
	progress chan struct{}
	deadline time.Time
	// err is the error after which nothing more is sent.
	err error
	// left reports that reading from the caller failed or ended, closed that Close was
	// called, and ended that the descriptor was closed.
	left, closed, writeClosed, ended bool

	// The following are guarded by the port's mutex. Serving reports that a request has
	// arrived whole and its response has not ended, behind that the caller has not taken
	// what was written, leaving that the connection gives way, and gone that it is closed.
	serving, behind, leaving, gone bool
	// list is the port's list that holds the connection, or nil, and element its place.
	list    *list.List
	element *list.Element
}

func newConn(c net.Conn, raw syscall.RawConn, p *Port) *conn {
	b := p.budget
	k := &conn{Conn: c, port: p, budget: b, raw: raw, progress: make(chan struct{}, 1)}
	k.deadlines.set = c.SetReadDeadline
	k.receipt = b.Receipt(k.deadlines.expire)
	k.queue.account = b.Account()
	k.writeOnce = k.tryDirect
	k.sendHeld = k.trySend
	return k
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.writeClosed {
		return 0, net.ErrClosed
	}
	rest := c.writeDirectly(p)
	for waited := false; len(rest) > 0 && c.err == nil; waited = true {
		rest = rest[c.queue.push(rest):]
		c.startSending()
		if len(rest) == 0 {
			break
		}
		if !waited {
			c.budget.countHeldBack()
		}
		var err error
		if rest, err = c.waitForCaller(rest); err != nil {
			return len(p) - len(rest), err
		}
	}
	if len(rest) > 0 {
		return len(p) - len(rest), c.err
	}
	return len(p), nil
}

// writeDirectly sends what the connection takes at once and returns the rest. It sends
// nothing if bytes are held, which come first.
func (c *conn) writeDirectly(p []byte) []byte {
	if c.sending || c.err != nil {
		return p
	}
	c.direct = p
	err := c.raw.Write(c.writeOnce)
	rest := c.direct
	c.direct = nil
	if err == nil {
		err = c.directErr
	}
	if err != nil {
		c.fail(err)
	}
	return rest
}

// tryDirect writes without waiting.
func (c *conn) tryDirect(fd uintptr) bool {
	n, err := writeFD(fd, c.direct)
	c.direct = c.direct[n:]
	c.directErr = err
	return true
}

// waitForCaller lends bytes to the sender until the caller has taken something. It
// returns those that are left.
func (c *conn) waitForCaller(rest []byte) ([]byte, error) {
	if c.left || c.closed {
		return rest, errCallerLeft
	}
	c.lent = rest
	var expired <-chan time.Time
	if !c.deadline.IsZero() {
		timer := time.NewTimer(time.Until(c.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	var err error
	c.mu.Unlock()
	select {
	case <-c.progress:
	case <-expired:
		err = os.ErrDeadlineExceeded
	}
	c.mu.Lock()
	rest = c.lent
	c.lent = nil
	return rest, err
}

// wake wakes a waiting writer.
func (c *conn) wake() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	if n := c.head.take(p); n > 0 {
		return n, nil
	}
	return c.receive(p)
}

// receive reads from the caller. A caller that has gone is not waited for.
func (c *conn) receive(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.left = true
		c.mu.Unlock()
		c.wake()
	}
	return n, err
}

// starving reports whether a read waits although all bytes that have arrived were read.
func (c *conn) starving() bool {
	if !c.reading.Load() {
		return false
	}
	unread := 0
	err := c.raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err != nil || unread == 0
}

// SetServing records that the head of a request has been read, or that its response has
// ended.
func (c *conn) SetServing(serving bool) {
	c.head.reset(serving)
	if serving {
		return
	}
	c.receipt.Release()
	c.port.await(c)
	if c.port.mustGiveWay(c) {
		c.giveWay()
	}
}

// arrived records that a request has arrived whole. It returns false if the request has lost
// its room before.
func (c *conn) arrived() bool {
	if !c.receipt.Arrived() {
		return false
	}
	c.port.serve(c)
	return true
}

// giveWay closes the connection, so that another can be accepted.
func (c *conn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(errGaveWay)
	_ = c.end()
}

// end closes the descriptor. The place of the connection is free once its server has closed
// it too: until then a read may hold the descriptor. The caller holds mu.
func (c *conn) end() error {
	if c.ended {
		return nil
	}
	c.ended = true
	err := c.Conn.Close()
	if c.closed {
		c.port.leavePlace(c)
	}
	return err
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error { return c.deadlines.setServer(t) }

// SetWriteDeadline implements [net.Conn]. It does not affect a Write that waits.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// CloseWrite closes the sending side when all that is held has been sent.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	if c.sending {
		return nil
	}
	return c.closeWrite()
}

func (c *conn) closeWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection when all that is held has been sent. No reader gets more of
// what arrives.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closed
	c.closed = true
	c.receipt.Release()
	c.wake()
	switch {
	case c.ended && first:
		c.port.leavePlace(c)
		return nil
	case c.sending:
		return c.SetReadDeadline(expired)
	case first && c.startLinger():
		return nil
	}
	return c.end()
}

// writeFD writes to a descriptor without waiting. It returns no error if nothing can be
// written now.
func writeFD(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), p)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		}
		return n, nil
	}
}
