package link

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
	// offered is the number of broadcast frames that may wait per connection.
	offered = 64
)

// conn is an established connection: both ends have said hello.
type conn struct {
	q       *quic.Conn
	peer    Peer
	hello   *Hello
	control *Stream
	out     chan *Frame
	done    chan struct{}
}

func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.q.CloseWithError(code, reason)
}

// offer queues a frame for the control stream, or drops it when the other end
// is slow: broadcast state is replaced by the next one.
func (c *conn) offer(f *Frame) {
	select {
	case c.out <- f:
	default:
	}
}

func (c *conn) writeOffered() {
	for {
		select {
		case f := <-c.out:
			if c.control.Write(f, writeLimit) != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// conn returns the connection to a host, dialing if there is none.
func (n *Node) conn(ctx context.Context, host msg.HostID) (*conn, error) {
	if c := n.current(host); c != nil {
		return c, nil
	}
	dial := n.dialLock(host)
	dial.Lock()
	defer dial.Unlock()
	if c := n.current(host); c != nil {
		return c, nil
	}
	n.mu.Lock()
	addr := n.addrs[host]
	n.mu.Unlock()
	if addr.udp == "" {
		return nil, errors.WithDetail(ErrNoAddress, string(host))
	}
	return n.dial(ctx, Peer{Kind: addr.kind, Host: host}, addr.udp)
}

func (n *Node) current(host msg.HostID) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[host]
}

func (n *Node) dialLock(host msg.HostID) *sync.Mutex {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.dials[host]
	if m == nil {
		m = new(sync.Mutex)
		n.dials[host] = m
	}
	return m
}

func (n *Node) dial(ctx context.Context, want Peer, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	// Each dial binds a local port of its own.
	q, err := quic.DialAddr(ctx, addr, n.cfg.ClientTLS(want), quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	peer, err := n.identify(q)
	if err != nil || peer != want {
		_ = q.CloseWithError(codeUnknownPeer, "unknown peer")
		return nil, errors.WithSecondaryError(ErrUnknownPeer, err)
	}
	s, err := q.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "control stream")
	}
	control := newControl(s)
	if err := control.Write(&Frame{Hello: &n.cfg.Hello}, writeLimit); err != nil {
		return nil, errors.Wrap(err, "hello")
	}
	return n.greet(q, peer, control)
}

func (n *Node) identify(q *quic.Conn) (Peer, error) {
	return n.cfg.Identify(q.ConnectionState().TLS)
}

// greet reads the other end's hello and puts the connection to use.
func (n *Node) greet(q *quic.Conn, peer Peer, control *Stream) (*conn, error) {
	f, err := control.Read()
	if err == nil && (f.Hello == nil || f.Hello.Host != peer.Host) {
		err = ErrUnknownPeer
	}
	if err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no hello")
		return nil, errors.Wrap(err, "hello")
	}
	c := &conn{
		q: q, peer: peer, hello: f.Hello, control: control,
		out: make(chan *Frame, offered), done: make(chan struct{}),
	}
	return n.add(c), nil
}

// add makes c the connection to its host and starts serving it. The newest
// connection wins: an older one may be silent without knowing.
func (n *Node) add(c *conn) *conn {
	n.mu.Lock()
	old := n.conns[c.peer.Host]
	n.conns[c.peer.Host] = c
	n.all[c] = struct{}{}
	n.mu.Unlock()
	if old == nil {
		n.cfg.Handler.PeerUp(c.peer, c.hello)
	}
	n.wg.Go(func() { c.control.SendHeartbeats(c.done) })
	n.wg.Go(c.writeOffered)
	n.wg.Go(func() { n.readControl(c) })
	n.wg.Go(func() { n.acceptStreams(c) })
	return c
}

// remove takes c out of use and reports whether it was in use.
func (n *Node) remove(c *conn) {
	n.mu.Lock()
	current := n.conns[c.peer.Host] == c
	if current {
		delete(n.conns, c.peer.Host)
	}
	n.mu.Unlock()
	if current {
		n.cfg.Handler.PeerDown(c.peer, c.hello)
	}
}

func (n *Node) readControl(c *conn) {
	defer n.forget(c)
	for {
		f, err := c.control.Read()
		if err != nil {
			n.remove(c)
			// Attempt streams have limits of their own; a connection that was
			// replaced is left to finish them.
			n.closeIfSilent(c, err)
			return
		}
		n.cfg.Handler.Control(c.peer, c.hello, f)
	}
}

// forget ends what belongs to a connection whose control stream has ended.
func (n *Node) forget(c *conn) {
	close(c.done)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, c)
}

func (n *Node) closeIfSilent(c *conn, err error) {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.close(codeSilent, "silent")
	}
}

func (n *Node) acceptStreams(c *conn) {
	for {
		s, err := c.q.AcceptStream(c.q.Context())
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveAttempt(c.peer, newStream(s, c)) })
	}
}

func (n *Node) serveAttempt(p Peer, s *Stream) {
	first, err := s.Read()
	if err != nil {
		s.Reset()
		return
	}
	if first.Open == nil && first.Resume == nil {
		s.Reset()
		return
	}
	n.cfg.Handler.Attempt(p, s, first)
	s.CloseWrite()
}

func (n *Node) acceptConns() {
	for {
		q, err := n.ln.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.acceptConn(q) })
	}
}

func (n *Node) acceptConn(q *quic.Conn) {
	peer, err := n.identify(q)
	if err != nil {
		n.cfg.Log.Warn("link: refused unknown peer", "addr", q.RemoteAddr().String(), "reason", err.Error())
		_ = q.CloseWithError(codeUnknownPeer, "unknown peer")
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeLimit)
	defer cancel()
	s, err := q.AcceptStream(ctx)
	if err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no control stream")
		return
	}
	control := newControl(s)
	if err := control.Write(&Frame{Hello: &n.cfg.Hello}, writeLimit); err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no hello")
		return
	}
	if _, err := n.greet(q, peer, control); err != nil {
		n.cfg.Log.Warn("link: refused peer", "host", string(peer.Host), "reason", err.Error())
	}
}

// keepOpen dials a host whenever it is not connected, until ctx ends.
func (n *Node) keepOpen(ctx context.Context, host msg.HostID) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialMin, redialMax
	for ctx.Err() == nil {
		delay := wait.NextBackOff()
		if c, err := n.conn(ctx, host); err == nil {
			wait.Reset()
			select {
			case <-c.done:
			case <-ctx.Done():
			}
			delay = redialMin
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// DecodePeer decodes the peer message of a frame.
func DecodePeer(f *Frame) (msg.PeerMessage, error) { return wire.UnmarshalPeer(f.PeerMessage) }

// Protocol is the ALPN name of the frames between daemons.
const Protocol = "verbenaspur/1"
