package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards connections between processes on loopback and injects network
// faults.
type proxy struct {
	addr   string
	target string
	// delay is added to each forwarded chunk, in nanoseconds.
	delay atomic.Int64
	// refusing makes the proxy reset new connections.
	refusing atomic.Bool
	// partition holds up what is sent.
	partition partition

	mu    sync.Mutex
	conns map[*connection]bool
}

// connection is a connection through a proxy.
type connection struct {
	caller, target net.Conn
	// stalled holds back all bytes of this connection permanently. New
	// connections are not affected.
	stalled atomic.Bool
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{addr: l.Addr().String(), target: target, conns: make(map[*connection]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(caller net.Conn) {
	if p.refusing.Load() {
		closeWithReset(caller)
		return
	}
	if p.partition.active() {
		_, _ = io.Copy(io.Discard, caller) // A connection is never established; what is sent is lost.
		_ = caller.Close()
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		closeWithReset(caller)
		return
	}
	k := &connection{caller: caller, target: target}
	p.mu.Lock()
	p.conns[k] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(k, target, caller) })
	both.Go(func() { p.forward(k, caller, target) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, k)
	p.mu.Unlock()
}

// forward copies bytes in one direction of a connection. It passes on the end of
// the stream as a close and errors as a reset.
func (p *proxy) forward(k *connection, dst, src net.Conn) {
	buf := make([]byte, 8192)
	for {
		n, err := src.Read(buf)
		for k.stalled.Load() {
			time.Sleep(20 * time.Millisecond)
			if err != nil {
				break
			}
		}
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !p.partition.pass(src, buf[:n]) {
			closeWithReset(dst)
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				closeWithReset(dst)
				return
			}
			_ = dst.Close()
			return
		}
	}
}

// reset resets the open connections on both sides.
func (p *proxy) reset() {
	for _, k := range p.connections() {
		closeWithReset(k.caller)
		closeWithReset(k.target)
	}
}

// stall permanently holds back all bytes of the open connections.
func (p *proxy) stall() {
	for _, k := range p.connections() {
		k.stalled.Store(true)
	}
}

func (p *proxy) connections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*connection, 0, len(p.conns))
	for k := range p.conns {
		out = append(out, k)
	}
	return out
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
