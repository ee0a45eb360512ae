package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/loopback"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

// scriptedTarget responds to each attempt with numbered tokens, one per step.
type scriptedTarget struct {
	tokens int
	step   time.Duration
	mu     sync.Mutex
	starts map[msg.AttemptID]int
}

func (s *scriptedTarget) run(ctx context.Context, a *attemptRun) attemptOutcome {
	s.mu.Lock()
	s.starts[a.spec.Attempt]++
	s.mu.Unlock()
	for i := a.payload.ResumeTokens; i < s.tokens; i++ {
		select {
		case <-time.After(s.step):
		case <-ctx.Done():
			out, _ := cancelOutcome(ctx, msg.TokenUsage{})
			return out
		}
		if err := a.appendFrame(&link.Frame{Chunk: &link.Chunk{Text: token(i), Tokens: 1}}); err != nil {
			return attemptOutcome{result: msg.AttemptCancelled, reason: err.Error()}
		}
	}
	return attemptOutcome{result: msg.AttemptDone, usage: msg.TokenUsage{Generated: int64(s.tokens)}}
}

func (s *scriptedTarget) read(context.Context) (msg.TargetRead, error) {
	return msg.TargetRead{Report: msg.LoadReport{MaxBatch: 8}}, nil
}

func (s *scriptedTarget) cacheEvents(context.Context, uint64) ([]msg.CacheEvent, error) {
	return nil, nil
}

func (s *scriptedTarget) apply(_ context.Context, o msg.Order) msg.OrderApplied {
	return msg.OrderApplied{Order: o.ID, Status: msg.OrderDone}
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func wholeText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(i))
	}
	return b.String()
}

// eventSink is a reducer that forwards every event except ticks to a test.
type eventSink chan msg.Event

func (s eventSink) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if _, tick := ev.(msg.Tick); !tick {
		s <- ev
	}
	return nil
}

// expectEvent waits for an event of type T and skips all others.
func expectEvent[T msg.Event](t *testing.T, s eventSink) T {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case ev := <-s:
			if want, ok := ev.(T); ok {
				return want
			}
		case <-timeout:
			var zero T
			t.Fatalf("no %T event within 30 seconds", zero)
		}
	}
}

// linkHarness is an entry daemon and a side daemon that are connected through a
// middlebox, which can drop its flows.
type linkHarness struct {
	entry     *entry
	side      *side
	target    *scriptedTarget
	events    eventSink
	middlebox *middlebox
	dir       string
}

// lastTestPort is the port that was last used on the addresses below.
var lastTestPort atomic.Int32

// newTestPort returns a port that no other test of this process uses. It lies below the
// ephemeral ports.
func newTestPort() string {
	const first = 7790
	return strconv.Itoa(first + int(lastTestPort.Add(1)))
}

// Addresses of the hosts in tests.
var (
	testSideIP        = loopback.IP(0)
	testMiddleboxIP   = loopback.IP(1)
	testEntryLinkAddr = loopback.IP(2)
)

func newLinkHarness(t *testing.T, target *scriptedTarget) *linkHarness {
	t.Helper()
	harness := &linkHarness{target: target, events: make(eventSink, 4096), dir: t.TempDir()}
	authority, err := identity.OpenAuthority(harness.dir)
	if err != nil {
		t.Fatal(err)
	}
	port := newTestPort()
	ctx, stop := context.WithCancel(context.Background())
	self := msg.Self{Host: "s1", Domain: "fd", Kind: msg.HostTarget, Target: &msg.TargetIdentity{Target: "t1", Pool: "p"}}
	harness.side = &side{
		platform: platform.New(platform.Config{}), log: slog.New(slog.DiscardHandler), ctx: ctx,
		attempts: newAttemptTable(), onStopCompleted: func() {}, observeEffect: func(msg.Time, msg.Effect) {}, target: target,
	}
	harness.side.loop = NewLoop(core.NewSide(core.SideConfig{Self: self}), harness.side.execute)
	harness.side.node = newTestNode(t, authority, link.Hello{Host: "s1", Incarnation: "i", Domain: "fd", Target: self.Target}, msg.HostTarget, testSideIP+":"+port, harness.side)
	harness.middlebox = newMiddlebox(t, testMiddleboxIP+":"+port, testSideIP+":"+port)
	harness.entry = &entry{
		log: slog.New(slog.DiscardHandler), ctx: ctx, onStopCompleted: func() {}, observeEffect: func(msg.Time, msg.Effect) {},
		exchanges: make(map[msg.RequestID]*exchange), attempts: make(map[msg.AttemptID]context.CancelCauseFunc),
		engineURLs: make(map[msg.TargetID]string),
	}
	harness.entry.loop = NewLoop(harness.events, harness.entry.execute)
	harness.entry.node = newTestNode(t, authority, link.Hello{Host: "e1", Incarnation: "j", Domain: "fd"}, msg.HostEntry, testEntryLinkAddr+":"+port, harness.entry)
	harness.entry.node.SetAddr(link.Peer{Kind: msg.HostTarget, Host: "s1"}, testMiddleboxIP)
	go harness.side.loop.Run(ctx, msg.Started{Self: self, Incarnation: "i"})
	go harness.entry.loop.Run(ctx, msg.Started{})
	t.Cleanup(func() {
		stop()
		harness.entry.node.Close()
		harness.side.node.Close()
	})
	return harness
}

func newTestNode(t *testing.T, a *identity.Authority, hello link.Hello, kind msg.HostKind, addr string, h link.Handler) *link.Node {
	t.Helper()
	files, err := a.Issue(peerIdentity(link.Peer{Kind: kind, Host: hello.Host}), netip.MustParseAddrPort(addr).Addr())
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := identity.LoadCredentials(files, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n, err := link.New(link.Config{
		Hello: hello, Addr: addr, Handler: h, Log: slog.New(slog.DiscardHandler),
		ServerTLS: identity.TLSServer(credentials, link.Protocol),
		ClientTLS: func(want link.Peer) *tls.Config {
			return identity.TLSClient(credentials, link.Protocol, peerIdentity(want))
		},
		Identify: identify,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// start starts an attempt and returns its exchange.
func (h *linkHarness) start(ctx context.Context, id msg.AttemptID) *exchange {
	x := newExchange(ctx, msg.RequestID("r-"+id), true, link.Payload{Method: "POST", Path: "/x"})
	h.entry.open(x)
	h.entry.loop.Query(func(now msg.Time) {
		h.entry.execute(now, msg.StartAttempt{
			Req: x.id, Attempt: id, Target: "t1", Host: "s1",
			Spec: msg.AttemptSpec{Attempt: id, Idempotent: true, Timeout: time.Minute},
		})
	})
	return x
}

// readChunks reads n chunks of a response and returns their text.
func (x *exchange) readChunks(n int) string {
	var text strings.Builder
	for range n {
		text.WriteString((<-x.chunks).Text)
	}
	return text.String()
}

// middlebox relays datagrams, as a NAT gateway does, and can forget its flows.
type middlebox struct {
	sock      *net.UDPConn
	to        *net.UDPAddr
	mu        sync.Mutex
	flows     map[netip.AddrPort]*net.UDPConn
	forgotten map[netip.AddrPort]bool
}

func newMiddlebox(t *testing.T, listen, to string) *middlebox {
	t.Helper()
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(listen)))
	if err != nil {
		t.Fatal(err)
	}
	m := &middlebox{
		sock: sock, to: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to)),
		flows: make(map[netip.AddrPort]*net.UDPConn), forgotten: make(map[netip.AddrPort]bool),
	}
	go m.relay()
	t.Cleanup(func() {
		_ = sock.Close()
		m.forget()
	})
	return m
}

func (m *middlebox) relay() {
	buf := make([]byte, 2048)
	for {
		n, from, err := m.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if flow := m.flow(from); flow != nil {
			_, _ = flow.Write(buf[:n])
		}
	}
}

func (m *middlebox) flow(from netip.AddrPort) *net.UDPConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.forgotten[from] {
		return nil
	}
	if f := m.flows[from]; f != nil {
		return f
	}
	f, err := net.DialUDP("udp", nil, m.to)
	if err != nil {
		return nil
	}
	m.flows[from] = f
	go func() {
		buf := make([]byte, 2048)
		for {
			n, err := f.Read(buf)
			if err != nil {
				return
			}
			_, _ = m.sock.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	return f
}

// forget silently drops all present flows for good and returns their number. Flows
// from new addresses work.
func (m *middlebox) forget() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.flows)
	for from, f := range m.flows {
		m.forgotten[from] = true
		_ = f.Close()
	}
	clear(m.flows)
	return n
}
