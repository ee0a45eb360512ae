package httpdrain

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// listener adds the connections that it accepts to a server.
type listener struct {
	net.Listener
	server *Server
	// encrypted reports that the connections carry TLS.
	encrypted bool
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, server: l.server, idleSince: time.Now(), encrypted: l.encrypted}
	c.requests, _ = nc.(requestConn)
	l.server.add(c)
	return c, nil
}

// unwrap returns the connection that was accepted, without TLS.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*conn)
}

// conn is a connection that knows whether it carries a request. While its server drains,
// an idle connection is not read: its read deadline is in the past, so that a read either
// returns bytes, which then are served, or fails without having taken any.
type conn struct {
	net.Conn
	server *Server
	// requests is the accepted connection if it follows the requests on it, or nil.
	requests requestConn
	// encrypted reports that the connection carries TLS, so that heads can't be seen here.
	encrypted bool

	mu sync.Mutex
	// serving reports whether the head of a request has been read whose response has not
	// ended.
	serving bool
	// unanswered reports whether bytes have been read since bytes were last written: a
	// request or a part of it.
	unanswered bool
	// idleSince is when the connection was accepted or the last response ended, and kept
	// reports whether a response has.
	idleSince time.Time
	kept      bool
	// draining reports whether the connection closes when it is idle.
	draining bool
	// left reports whether the caller has closed the connection or it has failed.
	left bool
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
}

func (c *conn) idle() bool { return !c.serving && !c.unanswered }

// update changes the state of the connection and adjusts the read deadline to it.
func (c *conn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.draining && c.idle()
	change()
	if after := c.draining && c.idle(); after != before {
		c.applyDeadline()
	}
}

func (c *conn) applyDeadline() {
	deadline := c.deadline
	if c.draining && c.idle() {
		deadline = expired
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// drain makes the connection close as soon as it is idle, and reports whether it closes now
// for that reason.
func (c *conn) drain() (closes bool) {
	c.update(func() {
		closes = !c.draining && c.idle()
		c.draining = true
	})
	return closes
}

// drainIfIdleSince is like drain, for a connection that has been idle since an instant.
func (c *conn) drainIfIdleSince(at time.Time) (closes bool) {
	c.update(func() {
		closes = !c.draining && c.idle() && !c.idleSince.After(at)
		c.draining = c.draining || closes
	})
	return closes
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idle()
}

// handOver records that a handler answers for what has been read.
func (c *conn) handOver() { c.setUnanswered(false) }

// release lets the connection be read like any other again.
func (c *conn) release() { c.update(func() { c.draining = false }) }

// setServing records that a request begins to be served, or that its response has ended.
func (c *conn) setServing(serving bool) {
	if c.requests != nil {
		c.requests.SetServing(serving)
	}
	c.update(func() {
		c.serving = serving
		c.idleSince = time.Now()
		c.kept = c.kept || !serving
	})
}

// requestConn is an accepted connection that follows the requests on it.
type requestConn interface {
	// ReadHead is like Read while the head of a request is awaited. It may keep bytes until
	// the head is complete, or respond to them itself: it calls unanswered with true once
	// bytes have arrived, and with false after a response.
	ReadHead(p []byte, unanswered func(bool)) (int, error)
	// SetServing states that the head of a request has been read, or that its response has
	// ended.
	SetServing(serving bool)
}

// read reads from the accepted connection.
func (c *conn) read(p []byte) (int, error) {
	if c.requests != nil && !c.encrypted && !c.servingNow() {
		return c.requests.ReadHead(p, c.setUnanswered)
	}
	return c.Conn.Read(p)
}

func (c *conn) servingNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

func (c *conn) setUnanswered(unanswered bool) { c.update(func() { c.unanswered = unanswered }) }

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 {
		c.setUnanswered(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.update(func() { c.left = true })
	}
	return n, err
}

// Write implements [net.Conn]. A caller sends its next request after the last bytes of
// a response, so that what is read from here on belongs to it.
func (c *conn) Write(p []byte) (int, error) {
	c.setUnanswered(false)
	return c.Conn.Write(p)
}

// SetReadDeadline implements [net.Conn]. A time limit that is set while a kept connection is
// idle is the HTTP server's limit for that, and may be extended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept && c.idle() && time.Until(t) > 0 {
		t = c.server.extendIdleDeadline(t)
	}
	c.deadline = t
	c.applyDeadline()
	return nil
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.New("httpdrain: connection can't close its sending side")
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.mu.Lock()
	unanswered := c.unanswered && !c.left
	c.mu.Unlock()
	err := c.Conn.Close()
	c.server.remove(c, unanswered)
	return err
}
