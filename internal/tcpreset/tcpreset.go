// Package tcpreset lets the reader of a TCP connection see that it was reset.
//
// A socket reports the error of a reset once, to the call that comes first. If that is a write
// in the background, the next read sees an end as if the other side had closed the connection
// in order. A response that lasts until the end of its connection then looks complete though
// its rest was lost.
package tcpreset

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of a connection after a reset, in linux/tcp_states.h. A
// connection that the other side has closed in order is in another state until this side
// closes it too.
const tcpClose = 7

// Conn is a connection whose Read returns [syscall.ECONNRESET] in place of [io.EOF] after a
// reset.
type Conn struct {
	net.Conn

	// writeMu is held during a write, of which writeErr is the last error.
	writeMu  sync.Mutex
	writeErr error
}

// NewConn returns a connection over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements [net.Conn].
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.New("tcpreset: not a connection of the system")
}

// SetKeepAlive turns keep-alive probes on or off, if the connection has any.
func (c *Conn) SetKeepAlive(on bool) error {
	if k, ok := c.Conn.(interface{ SetKeepAlive(on bool) error }); ok {
		return k.SetKeepAlive(on)
	}
	return nil
}

// wasReset reports whether the end that a read has seen is that of a reset. If a write may
// have taken its error, it waits for that write. A write fails with EPIPE if the end was in
// order and the reset came after it.
func (c *Conn) wasReset() bool {
	state, known := c.state()
	if known && state != tcpClose {
		return false
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	inOrder := known && errors.Is(c.writeErr, syscall.EPIPE)
	return c.writeErr != nil && !inOrder
}

// state returns the state of the connection, and whether the system tells it.
func (c *Conn) state() (state uint8, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, known = info.State, info.State != 0
		}
	})
	return state, known && err == nil
}
