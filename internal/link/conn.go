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
	// minRedialDelay and maxRedialDelay bound the delay between attempts to
	// dial a host.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// maxQueuedBroadcasts is the number of broadcast frames that may be queued
	// on one connection.
	maxQueuedBroadcasts = 64
)

// conn is an established connection: both ends have sent a [Hello].
type conn struct {
	quicConn   *quic.Conn
	peer       Peer
	hello      *Hello
	control    *Stream
	broadcasts chan *Frame
	done       chan struct{}
}

func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.quicConn.CloseWithError(code, reason)
}

// queueBroadcast queues a frame for the control stream. If the queue is full
// because the other end is slow, the frame is dropped: a later load report
// replaces a dropped one, and gaps in the cache events are allowed.
func (c *conn) queueBroadcast(f *Frame) {
	select {
	case c.broadcasts <- f:
	default:
	}
}

// writeBroadcasts writes queued broadcasts to the control stream until a write
// fails or the control stream has ended.
func (c *conn) writeBroadcasts() {
	for {
		select {
		case f := <-c.broadcasts:
			if c.control.Write(f, writeTimeout) != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// conn returns the connection to a host and dials the host if there is none.
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

// current returns the connection in use to a host, or nil.
func (n *Node) current(host msg.HostID) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[host]
}

// dialLock returns the lock that serializes the dials to a host.
func (n *Node) dialLock(host msg.HostID) *sync.Mutex {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.dialLocks[host]
	if m == nil {
		m = new(sync.Mutex)
		n.dialLocks[host] = m
	}
	return m
}

// dial connects to a host and checks that the peer is the expected one.
func (n *Node) dial(ctx context.Context, want Peer, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	// DialAddr binds a new local port for each connection.
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
		return nil, errors.Wrap(err, "open control stream")
	}
	control := newControlStream(s)
	if err := control.Write(&Frame{Hello: &n.cfg.Hello}, writeTimeout); err != nil {
		return nil, errors.Wrap(err, "hello")
	}
	return n.establish(q, peer, control)
}

func (n *Node) identify(q *quic.Conn) (Peer, error) {
	return n.cfg.Identify(q.ConnectionState().TLS)
}

// establish reads the Hello of the other end, checks that it matches the
// certificate and puts the connection into use.
func (n *Node) establish(q *quic.Conn, peer Peer, control *Stream) (*conn, error) {
	f, err := control.Read()
	if err == nil && (f.Hello == nil || f.Hello.Host != peer.Host) {
		err = ErrUnknownPeer
	}
	if err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no hello")
		return nil, errors.Wrap(err, "hello")
	}
	c := &conn{
		quicConn: q, peer: peer, hello: f.Hello, control: control,
		broadcasts: make(chan *Frame, maxQueuedBroadcasts), done: make(chan struct{}),
	}
	return n.add(c), nil
}

// add makes c the connection in use to its host and starts its goroutines. The
// newest connection replaces an older one, which may be broken without either
// end having detected it.
func (n *Node) add(c *conn) *conn {
	n.mu.Lock()
	old := n.conns[c.peer.Host]
	n.conns[c.peer.Host] = c
	n.live[c] = struct{}{}
	n.mu.Unlock()
	if old == nil {
		n.cfg.Handler.PeerUp(c.peer, c.hello)
	}
	n.wg.Go(func() { c.control.SendHeartbeats(c.done) })
	n.wg.Go(c.writeBroadcasts)
	n.wg.Go(func() { n.readControl(c) })
	n.wg.Go(func() { n.acceptStreams(c) })
	return c
}

// remove takes c out of use. If c was the connection in use to its host, the
// handler is notified.
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

// readControl passes the frames of the control stream to the handler until the
// stream fails.
func (n *Node) readControl(c *conn) {
	defer close(c.done) // ends the goroutines that write to the control stream
	for {
		f, err := c.control.Read()
		if err != nil {
			n.remove(c)
			// Only a timeout closes the connection. Otherwise it may have been
			// replaced, and stays open so that its attempt streams, which have
			// their own timeouts, can finish.
			n.closeOnTimeout(c, err)
			return
		}
		n.cfg.Handler.Control(c.peer, c.hello, f)
	}
}

// forget removes a connection that is closed.
func (n *Node) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.live, c)
}

// closeOnTimeout closes a connection if its control stream has timed out.
func (n *Node) closeOnTimeout(c *conn, err error) {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.close(codeIdleTimeout, "silent")
	}
}

// acceptStreams serves the attempts of a connection until that is closed.
func (n *Node) acceptStreams(c *conn) {
	defer n.forget(c)
	for {
		s, err := c.quicConn.AcceptStream(c.quicConn.Context())
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveAttempt(c.peer, newAttemptStream(s, c)) })
	}
}

// serveAttempt passes an attempt stream to the handler if its first frame is
// Open or Resume, and resets it otherwise.
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
		q, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.acceptConn(q) })
	}
}

func (n *Node) acceptConn(q *quic.Conn) {
	peer, err := n.identify(q)
	if err != nil {
		n.cfg.Log.Warn("link: refused connection from unknown peer", "addr", q.RemoteAddr().String(), "reason", err.Error())
		_ = q.CloseWithError(codeUnknownPeer, "unknown peer")
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	s, err := q.AcceptStream(ctx)
	if err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no control stream")
		return
	}
	control := newControlStream(s)
	if err := control.Write(&Frame{Hello: &n.cfg.Hello}, writeTimeout); err != nil {
		_ = q.CloseWithError(codeUnknownPeer, "no hello")
		return
	}
	if _, err := n.establish(q, peer, control); err != nil {
		n.cfg.Log.Warn("link: refused connection without valid hello", "host", string(peer.Host), "reason", err.Error())
	}
}

// keepOpen dials a host whenever there is no connection to it, until ctx ends.
func (n *Node) keepOpen(ctx context.Context, host msg.HostID) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minRedialDelay, maxRedialDelay
	for ctx.Err() == nil {
		delay := wait.NextBackOff()
		if c, err := n.conn(ctx, host); err == nil {
			wait.Reset()
			select {
			case <-c.done:
			case <-ctx.Done():
			}
			delay = minRedialDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// DecodePeer decodes the peer message in a frame.
func DecodePeer(f *Frame) (msg.PeerMessage, error) { return wire.UnmarshalPeer(f.PeerMessage) }

// Protocol is the ALPN protocol name of connections between daemons.
const Protocol = "verbenaspur/1"
