package relay

import (
	"net"
	"syscall"
)

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
