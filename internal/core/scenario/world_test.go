// Package scenario tests the parts that carry authority together: several
// daemons, the platform and the network between them, in virtual time.
package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	peerLatency     = 1500 * time.Microsecond
	platformLatency = 3 * time.Millisecond
	dialTimeout     = time.Second
	callTimeout     = 2 * time.Second
	tick            = 20 * time.Millisecond
	// platformHost is the platform's name in network cuts.
	platformHost msg.HostID = "platform"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the whole deployment.
type world struct {
	now    time.Duration
	queue  eventQueue
	seq    uint64
	rand   *rand.Rand
	nodes  map[msg.HostID]*node
	order  []*node
	hosts  []msg.Host
	cut    func(from, to msg.HostID) bool
	store  *platform
	parts  func(n *node) []reducer.Component
	meters bool
}

// node is one process on a host.
type node struct {
	world       *world
	host        msg.Host
	incarnation int
	reducer     *reducer.Reducer
	parts       []reducer.Component
	started     time.Duration
	dead        bool
	paused      bool
	deferred    []func()

	seen       []seen
	answers    []msg.AnswerConfigProposal
	answeredAt time.Duration
	stopReady  bool
	sentBytes  int
	sentMsgs   int
	gotBytes   int
	gotMsgs    int
	cpu        time.Duration
}

// seen is an event that a node's parts raised.
type seen struct {
	at time.Duration
	ev msg.Event
}

// probe records the internal events of a node.
type probe struct{ n *node }

// Step implements a reducer's part.
func (p probe) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	switch ev.(type) {
	case msg.LeaseChanged, msg.ConfigChanged, msg.ConfigConfirmed, msg.MembersChanged, msg.AggregateReceived:
		p.n.seen = append(p.n.seen, seen{p.n.world.now, ev})
	}
	return nil
}

type scheduled struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, hosts []msg.Host, parts func(n *node) []reducer.Component) *world {
	w := &world{
		rand:  rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[msg.HostID]*node),
		hosts: hosts,
		cut:   func(_, _ msg.HostID) bool { return false },
		parts: parts,
	}
	w.store = newPlatform(w)
	for _, h := range hosts {
		w.start(h, 0)
	}
	return w
}

// entryHosts returns n entry hosts over the given number of failure domains.
func entryHosts(n, domains int) []msg.Host {
	var out []msg.Host
	for i := range n {
		d := i % domains
		out = append(out, msg.Host{
			Host:   msg.HostID(fmt.Sprintf("e%03d", i)),
			Addr:   fmt.Sprintf("10.0.%d.%d", i/250, i%250),
			Domain: msg.FailureDomain(fmt.Sprintf("d%d", d)),
			Region: msg.Region(fmt.Sprintf("r%d", d*2/domains)),
		})
	}
	return out
}

func (w *world) at(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{w.now + d, w.seq, run})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// until runs the world until the condition holds or the limit has passed, and
// returns the time that it took.
func (w *world) until(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := w.now
	for w.now-start < limit {
		if holds() {
			return w.now - start, true
		}
		w.run(tick / 4)
	}
	return limit, false
}

func (w *world) start(h msg.Host, incarnation int) *node {
	n := &node{world: w, host: h, incarnation: incarnation, started: w.now}
	n.parts = w.parts(n)
	n.reducer = reducer.New(append(slices.Clone(n.parts), probe{n})...)
	w.nodes[h.Host] = n
	w.order = append(w.order, n)
	self := msg.Self{Host: h.Host, Domain: h.Domain, Region: h.Region, Kind: h.Kind}
	w.at(0, func() {
		n.deliver(msg.Started{Self: self, Incarnation: n.inc(), Seed: w.rand.Uint64(), Wall: epochStart.Add(w.now)})
	})
	w.at(time.Duration(w.rand.Int64N(int64(tick))), n.tick)
	return n
}

func (n *node) inc() msg.Incarnation { return msg.Incarnation(fmt.Sprintf("i%d", n.incarnation)) }

func (n *node) self() msg.Self {
	return msg.Self{Host: n.host.Host, Domain: n.host.Domain, Region: n.host.Region, Kind: n.host.Kind}
}

func (n *node) clock() msg.Time { return n.world.now - n.started }

func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.deliver(msg.Tick{Wall: epochStart.Add(n.world.now)})
	}
	n.world.at(tick, n.tick)
}

// kill ends the process at once.
func (n *node) kill() { n.dead = true }

// pause stops the process; what arrives meanwhile waits.
func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	late := n.deferred
	n.deferred = nil
	for _, run := range late {
		run()
	}
}

// do runs something on the node when it is not paused.
func (n *node) do(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

func (n *node) deliver(ev msg.Event) {
	n.do(func() {
		started := time.Now()
		effs := n.reducer.Step(n.clock(), ev)
		n.cpu += time.Since(started)
		for _, eff := range effs {
			n.world.at(0, func() { n.do(func() { n.execute(eff) }) })
		}
	})
}

func (n *node) execute(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.SendPeer:
		n.send(eff)
	case msg.AnswerConfigProposal:
		n.answers = append(n.answers, eff)
	case msg.StopCompleted:
		n.stopReady = true
	case msg.LogLine, msg.Connect, msg.SetHostAddr, msg.Disconnect:
	default:
		n.world.store.call(n, eff)
	}
}

func (n *node) send(eff msg.SendPeer) {
	w := n.world
	var b []byte
	if w.meters {
		b = n.encode(eff.Message)
	}
	if w.cut(n.host.Host, eff.To) {
		return
	}
	from := n.host.Host
	w.at(peerLatency, func() {
		to := w.nodes[eff.To]
		if to == nil || to.dead {
			return
		}
		m := eff.Message
		if b != nil {
			m = to.decode(b)
		}
		to.deliver(msg.PeerReceived{From: from, Message: m})
	})
}

// encode and decode put a message through the codec and count its bytes and
// the time that this takes.
func (n *node) encode(m msg.PeerMessage) []byte {
	started := time.Now()
	b, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	n.cpu += time.Since(started)
	n.sentBytes += len(b)
	n.sentMsgs++
	return b
}

func (n *node) decode(b []byte) msg.PeerMessage {
	started := time.Now()
	m, err := wire.UnmarshalPeer(b)
	if err != nil {
		panic(err)
	}
	n.cpu += time.Since(started)
	n.gotBytes += len(b)
	n.gotMsgs++
	return m
}

// holders returns the nodes that believe to hold a lease now.
func (w *world) holders(name msg.LeaseName) []*node {
	var out []*node
	for _, n := range w.order {
		if !n.dead && n.holds(name) {
			out = append(out, n)
		}
	}
	return out
}

// lease returns the last change of a lease that the node raised.
func (n *node) lease(name msg.LeaseName) (msg.LeaseChanged, bool) {
	for i := len(n.seen) - 1; i >= 0; i-- {
		if c, ok := n.seen[i].ev.(msg.LeaseChanged); ok && c.Name == name {
			return c, true
		}
	}
	return msg.LeaseChanged{}, false
}

// holds reports whether the node may act under the lease. A paused process
// does not act; what it was about to send is held up with it.
func (n *node) holds(name msg.LeaseName) bool {
	c, ok := n.lease(name)
	return ok && c.Held && n.clock() < c.Until
}
