package lab2

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Link is a link from one machine to an address, which can be cut. While it is cut, nothing
// passes. What was sent on a connection that was open before is held up, and passes when the
// link has healed unless its sender has reset the connection. A connection that is opened
// during a cut is never established, and what is sent on it is lost.
type Link struct {
	Addr string

	to string
	mu sync.Mutex
	// healed is closed when the link is not cut.
	healed chan struct{}
	cuts   int
	// watch is what CutAt waits for.
	watch []byte
	seen  chan struct{}
}

// NewLink starts a link to an address.
func NewLink(to string) *Link {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", FreePort()))
	if err != nil {
		Fail("link: %v", err)
	}
	k := &Link{Addr: l.Addr().String(), to: to, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c.(*net.TCPConn))
		}
	}()
	return k
}

// Cut cuts the link.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut()
}

func (k *Link) cut() {
	k.healed = make(chan struct{})
	k.cuts++
}

// CutAt cuts the link as soon as bytes are on their way that hold a text, and reports that
// on the channel.
func (k *Link) CutAt(text string) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch, k.seen = []byte(text), make(chan struct{})
	return k.seen
}

// Heal heals the link. What is held up passes after a delay, as it is sent again then.
func (k *Link) Heal(delay time.Duration) {
	time.Sleep(delay)
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// await returns when the link is not cut. It cuts the link first if it waits for b.
func (k *Link) await(b []byte) {
	k.mu.Lock()
	if k.watch != nil && bytes.Contains(b, k.watch) {
		k.watch = nil
		k.cut()
		close(k.seen)
	}
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *Link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.healed:
		return false
	default:
		return true
	}
}

func (k *Link) serve(from *net.TCPConn) {
	if k.isCut() {
		_, _ = io.Copy(io.Discard, from) // until the sender gives up
		_ = from.Close()
		return
	}
	c, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	go k.pass(to, from)
	k.pass(from, to)
}

// pass passes what a sends to b.
func (k *Link) pass(a, b *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			k.await(buf[:n])
			if _, werr := b.Write(buf[:n]); werr != nil {
				_ = a.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			k.await(nil)
			_ = b.CloseWrite()
			return
		case err != nil: // The sender has reset the connection.
			_ = b.SetLinger(0)
			_ = b.Close()
			return
		}
	}
}
