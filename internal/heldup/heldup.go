// Package heldup provides a listener for tests on whose connections most bytes are held up
// on their way, as by a network partition: they stay unacknowledged at their sender's kernel
// until they are released.
package heldup

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Size is the number of bytes from which a message is held up in part. The kernel of the
// listener acknowledges less than that.
const Size = 64 << 10

const (
	// receiveBuffer is the size in bytes of the buffer for what is acknowledged.
	receiveBuffer = 4 << 10
	// readTimeout is how long a released connection may be silent before what has
	// arrived is taken for all of it.
	readTimeout = 2 * time.Second
)

// Listener accepts connections and reads nothing from them until it is released.
type Listener struct {
	l net.Listener
	// accepted receives each accepted connection.
	accepted chan net.Conn
	done     sync.WaitGroup
}

// Listen starts a listener on loopback.
func Listen() (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) }); cerr != nil {
			return cerr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Listener{l: l, accepted: make(chan net.Conn, 1)}
	h.done.Go(func() {
		defer close(h.accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.accepted <- c
		}
	})
	return h, nil
}

// Addr returns the address of the listener.
func (h *Listener) Addr() string { return h.l.Addr().String() }

// Release lets what is held up on the first connection arrive, and returns all that has
// arrived until the connection ended.
func (h *Listener) Release() []byte {
	c, ok := <-h.accepted
	if !ok {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	b, _ := io.ReadAll(c)
	return b
}

// Close ends the listener.
func (h *Listener) Close() {
	_ = h.l.Close()
	for c := range h.accepted {
		_ = c.Close()
	}
	h.done.Wait()
}
