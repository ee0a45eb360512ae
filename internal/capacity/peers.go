package capacity

import (
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/standin/platform"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	// LinkPort is the UDP port of all daemons for connections between them.
	LinkPort = 9000
	// reportInterval is the time between two load reports of a stand-in side.
	reportInterval = 500 * time.Millisecond
	// pollInterval is the time between two polls of a stand-in entry. All
	// connected stand-in entries poll, which is more than in a real deployment.
	pollInterval = 250 * time.Millisecond
	// replyAge is the age of the state in a stand-in entry's reply, in
	// milliseconds.
	replyAge = 100
)

// Peers stands in for all other daemons of a deployment. It terminates their
// connections and sends their heartbeats and load reports.
type Peers struct {
	// Traffic counts the datagrams between the measured daemon and its peers.
	Traffic Traffic
	// Hosts is the host list of the stand-ins.
	Hosts  []platform.Host
	nodes  []*link.Node
	relays []*relay
	stop   chan struct{}
}

// StartPeers starts the stand-ins for all daemons of a deployment except the
// measured entry, with certificates of the authority. The measured daemon reaches
// each stand-in at 127.10.x.y, from where a relay forwards to 127.20.x.y.
func StartPeers(a *identity.Authority, size Size) (*Peers, error) {
	p := &Peers{stop: make(chan struct{})}
	for i := range size.Entries - 1 + size.Targets {
		side := i >= size.Entries-1
		if err := p.start(a, i, side); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

// start starts the i-th stand-in with its relay.
func (p *Peers) start(a *identity.Authority, i int, side bool) error {
	domain, region := placement(i)
	peer := identity.Peer{Kind: identity.KindEntry, Host: fmt.Sprintf("peer-%03d", i)}
	hostKind := "entry"
	if side {
		peer.Kind, hostKind = identity.KindSide, "target"
	}
	relayAddr, peerAddr := fmt.Sprintf("127.10.%d.%d", i/250, i%250+1), fmt.Sprintf("127.20.%d.%d", i/250, i%250+1)
	files, err := a.Issue(peer, netip.MustParseAddr(peerAddr))
	if err != nil {
		return err
	}
	credentials, err := identity.LoadCredentials(files, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	hello := link.Hello{Host: msg.HostID(peer.Host), Incarnation: "i1", Domain: domain}
	if side {
		hello.Target = &msg.TargetIdentity{Target: msg.TargetID(peer.Host), Pool: pool}
	}
	h := &peerHandler{hello: hello}
	node, err := link.New(link.Config{
		Hello: hello, Addr: fmt.Sprintf("%s:%d", peerAddr, LinkPort),
		ServerTLS: identity.TLSServer(credentials, link.Protocol),
		ClientTLS: func(link.Peer) *tls.Config { return nil },
		Identify:  identifyPeer, Handler: h, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		return err
	}
	h.node = node
	p.nodes = append(p.nodes, node)
	r, err := newRelay(fmt.Sprintf("%s:%d", relayAddr, LinkPort), fmt.Sprintf("%s:%d", peerAddr, LinkPort), &p.Traffic)
	if err != nil {
		return err
	}
	p.relays = append(p.relays, r)
	p.Hosts = append(p.Hosts, platform.Host{
		Host: peer.Host, Addr: relayAddr, FailureDomain: string(domain), Region: string(region), Kind: hostKind, State: "live",
	})
	if side {
		r := engineReport()
		go p.broadcastEvery(node, reportInterval, &link.Frame{LoadReport: &r})
		return nil
	}
	go p.broadcastEvery(node, pollInterval, peerFrame(msg.ExchangePoll{Nonce: 1}))
	return nil
}

// broadcastEvery periodically sends a frame to all connected daemons until Close.
func (p *Peers) broadcastEvery(node *link.Node, interval time.Duration, f *link.Frame) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			node.Broadcast(f)
		}
	}
}

// Close stops the stand-ins and their relays.
func (p *Peers) Close() {
	close(p.stop)
	for _, n := range p.nodes {
		n.Close()
	}
	for _, r := range p.relays {
		r.close()
	}
}

// identifyPeer identifies the measured daemon, which is an entry, by its
// certificate.
func identifyPeer(state tls.ConnectionState) (link.Peer, error) {
	id, err := identity.PeerOfState(state)
	return link.Peer{Kind: msg.HostEntry, Host: msg.HostID(id.Host)}, err
}

// peerHandler replies to a daemon's queries and polls.
type peerHandler struct {
	node  *link.Node
	hello link.Hello
}

// PeerUp implements [link.Handler].
func (h *peerHandler) PeerUp(link.Peer, *link.Hello) {}

// PeerDown implements [link.Handler].
func (h *peerHandler) PeerDown(link.Peer, *link.Hello) {}

// Attempt implements [link.Handler]. Stand-ins run no attempts.
func (h *peerHandler) Attempt(link.Peer, *link.Stream, *link.Frame) {}

// Control implements [link.Handler]. It confirms any configuration that the daemon
// queries.
func (h *peerHandler) Control(_ link.Peer, _ *link.Hello, f *link.Frame) {
	if f.PeerMessage == nil {
		return
	}
	m, err := wire.UnmarshalPeer(f.PeerMessage)
	if err != nil {
		return
	}
	switch m := m.(type) {
	case msg.ConfigQuery:
		h.node.Broadcast(peerFrame(msg.ConfigQueryReply(m)))
	case msg.ExchangePoll:
		h.node.Broadcast(peerFrame(msg.ExchangeReply{Nonce: m.Nonce, Config: m.Config, Hosts: m.Hosts, Confirmed: true, AgeMS: replyAge}))
	}
}

// peerFrame returns a frame that carries a peer message.
func peerFrame(m msg.PeerMessage) *link.Frame {
	b, err := wire.Marshal(m)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return &link.Frame{PeerMessage: b}
}
