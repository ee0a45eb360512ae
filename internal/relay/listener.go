package relay

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// receiveBufferBytes is what the kernel keeps of the bytes that a caller has sent and
// nobody has read. They count as memory of the process.
const receiveBufferBytes = 32 << 10

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

// Listener returns a listener whose connections hold what their callers have not yet
// read, within the budget.
func (b *Budget) Listener(l net.Listener) net.Listener { return &listener{l, b} }

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return newConn(c, raw, l.budget), nil
}
