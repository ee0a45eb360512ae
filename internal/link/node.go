package link

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	// QUIC application error codes of reset streams and closed connections.
	codeReset       = 1
	codeUnknownPeer = 2
	codeShutdown    = 3
	codeIdleTimeout = 4

	// retireDelay is the time after which a connection that was taken out of
	// use is closed.
	retireDelay         = 30 * time.Second
	handshakeTimeout    = 3 * time.Second
	maxStreams          = 4096
	connReceiveWindow   = 16 << 20
	streamReceiveWindow = 1 << 20
)

// Errors of connections.
var (
	// ErrNoAddress is returned for a host whose address was not set.
	ErrNoAddress = errors.New("host has no known address")
	// ErrUnknownPeer is returned if the peer is not the expected one.
	ErrUnknownPeer = errors.New("peer is not one of this deployment's hosts")
	// ErrNotSent marks errors that occurred before anything was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrAuthorityExpired is returned by [Node.SendIf] if the condition no
	// longer holds when the frame could be sent.
	ErrAuthorityExpired = errors.New("authority ended before the frame was sent")
)

// Peer is the process at the other end of a connection, as identified by its
// certificate.
type Peer struct {
	Kind msg.HostKind
	Host msg.HostID
}

// Handler processes what arrives on connections. Its methods are called
// concurrently.
type Handler interface {
	// PeerUp reports that the control stream of a connection is open and that no
	// other connection to the peer was in use.
	PeerUp(p Peer, h *Hello)
	// PeerDown reports that the connection in use has failed.
	PeerDown(p Peer, h *Hello)
	// Control processes a frame of a control stream.
	Control(p Peer, h *Hello, f *Frame)
	// Attempt processes an attempt stream whose first frame is Open or Resume.
	// The sending direction of the stream is closed when it returns.
	Attempt(p Peer, s *Stream, first *Frame)
}

// Config configures a node.
type Config struct {
	Hello     Hello
	Addr      string // UDP address on which the node listens
	ServerTLS *tls.Config
	// ClientTLS returns the TLS configuration for a connection to a peer.
	ClientTLS func(Peer) *tls.Config
	// Identify returns the peer of a completed handshake.
	Identify func(tls.ConnectionState) (Peer, error)
	Handler  Handler
	Log      *slog.Logger
}

// Node manages the connections of one process.
type Node struct {
	cfg   Config
	port  string
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	mu    sync.Mutex
	addrs map[msg.HostID]address
	conns map[msg.HostID]*conn
	// live holds the connections that are not closed: those in use, and those whose
	// control stream has ended while their attempts finish.
	live map[*conn]struct{}
	// dialLocks serialize the dials to each host.
	dialLocks map[msg.HostID]*sync.Mutex
	// reconnects holds the functions that end the goroutines of KeepConnected.
	reconnects map[msg.HostID]context.CancelFunc
	listener   *quic.Listener
	socket     net.PacketConn
}

// New binds the UDP address of the node for its exclusive use and starts to
// accept connections.
func New(cfg Config) (*Node, error) {
	_, port, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse link address")
	}
	socket, err := net.ListenPacket("udp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "bind link address")
	}
	listener, err := quic.Listen(socket, cfg.ServerTLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "start link listener")
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, port: port, ctx: ctx, stop: stop, listener: listener, socket: socket,
		addrs:      make(map[msg.HostID]address),
		conns:      make(map[msg.HostID]*conn),
		live:       make(map[*conn]struct{}),
		dialLocks:  make(map[msg.HostID]*sync.Mutex),
		reconnects: make(map[msg.HostID]context.CancelFunc),
	}
	n.wg.Go(n.acceptConns)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:   handshakeTimeout,
		MaxIdleTimeout:         IdleTimeout,
		KeepAlivePeriod:        HeartbeatInterval,
		MaxIncomingStreams:     maxStreams,
		MaxIncomingUniStreams:  -1,
		MaxStreamReceiveWindow: streamReceiveWindow,
		// Credit bounds the unread frames of each stream. The window of the
		// connection is large enough for many streams from the start.
		InitialConnectionReceiveWindow: connReceiveWindow,
		MaxConnectionReceiveWindow:     connReceiveWindow,
	}
}

// Close closes all connections and waits for the goroutines of the node.
func (n *Node) Close() {
	n.stop()
	n.mu.Lock()
	for c := range n.live {
		c.close(codeShutdown, "shutdown")
	}
	n.mu.Unlock()
	_ = n.listener.Close()
	_ = n.socket.Close()
	n.wg.Wait()
}

// address is the UDP address of a host and the kind of process that runs there.
type address struct {
	udp  string
	kind msg.HostKind
}

// SetAddr records the IP address of a host and the kind of process that runs
// there.
func (n *Node) SetAddr(p Peer, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs[p.Host] = address{udp: net.JoinHostPort(ip, n.port), kind: p.Kind}
}

// KeepConnected keeps a connection to a host open, and dials the host again
// when the connection is lost, until [Node.StopReconnecting].
func (n *Node) KeepConnected(host msg.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.reconnects[host]; ok {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.reconnects[host] = cancel
	n.wg.Go(func() { n.keepOpen(ctx, host) })
}

// StopReconnecting ends [Node.KeepConnected] for a host. It does not close the
// connection, so that attempts on it continue.
func (n *Node) StopReconnecting(host msg.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.reconnects[host]; ok {
		cancel()
		delete(n.reconnects, host)
	}
}

// Send writes a frame to the control stream of a host and dials the host if
// there is no connection.
func (n *Node) Send(ctx context.Context, host msg.HostID, f *Frame) error {
	c, err := n.conn(ctx, host)
	if err != nil {
		return err
	}
	return c.control.Write(f, writeTimeout)
}

// SendIf writes a frame to the control stream of a host if valid returns true
// when the connection is established and the frame is about to be written.
// [ErrAuthorityExpired] and [ErrNotSent] mean that nothing was sent.
func (n *Node) SendIf(ctx context.Context, host msg.HostID, f *Frame, valid func() bool) error {
	c, err := n.conn(ctx, host)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	return c.control.writeIf(f, writeTimeout, valid)
}

// SendPeer writes a peer message to the control stream of a host.
func (n *Node) SendPeer(ctx context.Context, host msg.HostID, m msg.PeerMessage) error {
	b, err := wire.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode peer message")
	}
	return n.Send(ctx, host, &Frame{PeerMessage: b})
}

// Broadcast queues a frame on every connection in use without blocking. The
// frame is dropped on connections whose queue is full.
func (n *Node) Broadcast(f *Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.queueBroadcast(f)
	}
}

// OpenAttempt opens an attempt stream to a host. If stale is not nil, the
// connection of that stream is taken out of use first: the new stream is opened
// on another connection, which has its own local port.
func (n *Node) OpenAttempt(ctx context.Context, host msg.HostID, stale *Stream) (*Stream, *Hello, error) {
	if stale != nil {
		n.retire(stale.conn)
	}
	c, err := n.conn(ctx, host)
	if err != nil {
		return nil, nil, err
	}
	s, err := c.quicConn.OpenStreamSync(ctx)
	if err != nil {
		n.remove(c)
		return nil, nil, errors.Wrap(err, "open attempt stream")
	}
	return newAttemptStream(s, c), c.hello, nil
}

// retire takes a connection out of use and closes it after retireDelay. Until
// then, the attempts on it can detect the loss by their own timeouts.
func (n *Node) retire(c *conn) {
	n.remove(c)
	time.AfterFunc(retireDelay, func() { c.close(codeIdleTimeout, "retired") })
}
