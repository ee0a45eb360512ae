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
	codeAbandoned      = 1
	codeUnknownPeer    = 2
	codeShutdown       = 3
	codeSilent         = 4
	retireAfter        = 30 * time.Second
	handshakeLimit     = 3 * time.Second
	maxStreams         = 4096
	maxReceiveWindow   = 16 << 20
	streamReceiveLimit = 1 << 20
)

// Errors of connections.
var (
	ErrNoAddress        = errors.New("host has no known address")
	ErrUnknownPeer      = errors.New("peer is not one of this deployment's hosts")
	ErrNotSent          = errors.New("nothing was sent")
	ErrAuthorityExpired = errors.New("authority ended before the frame was sent")
)

// Peer is a process at the other end, as its certificate names it.
type Peer struct {
	Kind msg.HostKind
	Host msg.HostID
}

// Handler receives what arrives. Its methods are called from many goroutines.
type Handler interface {
	// PeerUp and PeerDown tell when a control stream opens and closes.
	PeerUp(p Peer, h *Hello)
	PeerDown(p Peer, h *Hello)
	// Control receives a frame of a control stream.
	Control(p Peer, h *Hello, f *Frame)
	// Attempt serves a stream whose first frame is Open or Resume. The stream
	// ends when it returns.
	Attempt(p Peer, s *Stream, first *Frame)
}

// Config configures a node.
type Config struct {
	Hello     Hello
	Addr      string // own UDP address
	ServerTLS *tls.Config
	// ClientTLS returns the configuration for a connection to a peer.
	ClientTLS func(Peer) *tls.Config
	// Identify names the peer of a finished handshake.
	Identify func(tls.ConnectionState) (Peer, error)
	Handler  Handler
	Log      *slog.Logger
}

// Node is a process's end of all its connections.
type Node struct {
	cfg   Config
	port  string
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	mu    sync.Mutex
	addrs map[msg.HostID]address
	conns map[msg.HostID]*conn
	// all holds the connections in use and the replaced ones that still live.
	all map[*conn]struct{}
	// dials serializes the dials to one host.
	dials map[msg.HostID]*sync.Mutex
	keeps map[msg.HostID]context.CancelFunc
	ln    *quic.Listener
	sock  net.PacketConn
}

// New binds the node's UDP address, exclusively, and starts to accept
// connections.
func New(cfg Config) (*Node, error) {
	_, port, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "link address")
	}
	sock, err := net.ListenPacket("udp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "link address")
	}
	ln, err := quic.Listen(sock, cfg.ServerTLS, quicConfig())
	if err != nil {
		_ = sock.Close()
		return nil, errors.Wrap(err, "link listener")
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, port: port, ctx: ctx, stop: stop, ln: ln, sock: sock,
		addrs: make(map[msg.HostID]address),
		conns: make(map[msg.HostID]*conn),
		all:   make(map[*conn]struct{}),
		dials: make(map[msg.HostID]*sync.Mutex),
		keeps: make(map[msg.HostID]context.CancelFunc),
	}
	n.wg.Go(n.acceptConns)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:   handshakeLimit,
		MaxIdleTimeout:         IdleTimeout,
		KeepAlivePeriod:        HeartbeatInterval,
		MaxIncomingStreams:     maxStreams,
		MaxIncomingUniStreams:  -1,
		MaxStreamReceiveWindow: streamReceiveLimit,
		// The streams' unread frames are bounded by Credit; the connection's
		// window has room for many of them from the start.
		InitialConnectionReceiveWindow: maxReceiveWindow,
		MaxConnectionReceiveWindow:     maxReceiveWindow,
	}
}

// Close ends all connections and waits for the node's goroutines.
func (n *Node) Close() {
	n.stop()
	n.mu.Lock()
	for c := range n.all {
		c.close(codeShutdown, "shutdown")
	}
	n.mu.Unlock()
	_ = n.ln.Close()
	_ = n.sock.Close()
	n.wg.Wait()
}

// address is where a host can be reached, and what runs there.
type address struct {
	udp  string
	kind msg.HostKind
}

// SetAddr records a host's IP address and what runs there.
func (n *Node) SetAddr(p Peer, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs[p.Host] = address{udp: net.JoinHostPort(ip, n.port), kind: p.Kind}
}

// KeepConnected holds a connection to a host open until Drop.
func (n *Node) KeepConnected(host msg.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.keeps[host]; ok {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.keeps[host] = cancel
	n.wg.Go(func() { n.keepOpen(ctx, host) })
}

// StopReconnecting ends what Keep began. Attempts that run on the connection go on.
func (n *Node) StopReconnecting(host msg.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.keeps[host]; ok {
		cancel()
		delete(n.keeps, host)
	}
}

// Send writes a frame to a host's control stream, dialing if need be.
func (n *Node) Send(ctx context.Context, host msg.HostID, f *Frame) error {
	c, err := n.conn(ctx, host)
	if err != nil {
		return err
	}
	return c.control.Write(f, writeLimit)
}

// SendIf writes a frame to a host's control stream if valid still holds
// when the connection stands and the frame is about to leave. ErrTooLate and
// ErrNotSent mean that nothing was sent.
func (n *Node) SendIf(ctx context.Context, host msg.HostID, f *Frame, valid func() bool) error {
	c, err := n.conn(ctx, host)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	return c.control.writeIf(f, writeLimit, valid)
}

// SendPeer writes a peer message to a host's control stream.
func (n *Node) SendPeer(ctx context.Context, host msg.HostID, m msg.PeerMessage) error {
	b, err := wire.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "peer message")
	}
	return n.Send(ctx, host, &Frame{PeerMessage: b})
}

// Broadcast writes a frame to every open control stream. It waits for none.
func (n *Node) Broadcast(f *Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.offer(f)
	}
}

// OpenAttempt opens a stream to a host. With stale set, the connection of that
// stream is no longer used: a new one is dialed from a new local port.
func (n *Node) OpenAttempt(ctx context.Context, host msg.HostID, stale *Stream) (*Stream, *Hello, error) {
	if stale != nil {
		n.retire(host, stale.via)
	}
	c, err := n.conn(ctx, host)
	if err != nil {
		return nil, nil, err
	}
	s, err := c.q.OpenStreamSync(ctx)
	if err != nil {
		n.remove(c)
		return nil, nil, errors.Wrap(err, "attempt stream")
	}
	return newStream(s, c), c.hello, nil
}

// retire takes a connection out of use. What still runs on it has until
// retireAfter to notice for itself.
func (n *Node) retire(host msg.HostID, c *conn) {
	n.mu.Lock()
	if n.conns[host] == c {
		delete(n.conns, host)
	}
	n.mu.Unlock()
	time.AfterFunc(retireAfter, func() { c.close(codeSilent, "retired") })
}
