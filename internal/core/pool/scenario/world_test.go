// Package scenario tests the components for leases, membership, configuration
// and exchange together: several daemons, the platform and the network between
// them, in virtual time.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/virtualtime"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	peerLatency     = 1500 * time.Microsecond
	platformLatency = 3 * time.Millisecond
	dialTimeout     = time.Second
	callTimeout     = 2 * time.Second
	tick            = 20 * time.Millisecond
	// platformHost is the name of the platform in network cuts.
	platformHost msg.HostID = "platform"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a whole deployment in virtual time. cut reports whether calls
// and messages from one host to another are lost.
type simulation struct {
	now            time.Duration
	queue          virtualtime.Queue
	seq            uint64
	rand           *rand.Rand
	nodes          map[msg.HostID]*node
	allNodes       []*node
	hosts          []msg.Host
	cut            func(from, to msg.HostID) bool
	store          *platform
	components     func(n *node) []reducer.Component
	measureTraffic bool
}

// node is one process on a host.
type node struct {
	sim         *simulation
	host        msg.Host
	incarnation int
	reducer     *reducer.Reducer
	components  []reducer.Component
	started     time.Duration
	dead        bool
	paused      bool
	delayed     []func()

	recorded      []recorded
	answers       []msg.AnswerConfigProposal
	answeredAt    time.Duration
	stopCompleted bool
	sentBytes     int
	sentMsgs      int
	receivedBytes int
	receivedMsgs  int
	cpu           time.Duration
}

// recorded is an internal event that a node raised, and when.
type recorded struct {
	at time.Duration
	ev msg.Event
}

// eventRecorder records the internal events of a node.
type eventRecorder struct{ n *node }

// Step implements reducer.Component.
func (r eventRecorder) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	switch ev.(type) {
	case msg.LeaseChanged, msg.ConfigChanged, msg.ConfigConfirmed, msg.MembersChanged, msg.AggregateReceived:
		r.n.recorded = append(r.n.recorded, recorded{r.n.sim.now, ev})
	}
	return nil
}

func newSimulation(seed uint64, hosts []msg.Host, components func(n *node) []reducer.Component) *simulation {
	sim := &simulation{
		rand:       rand.New(rand.NewPCG(seed, 1)),
		nodes:      make(map[msg.HostID]*node),
		hosts:      hosts,
		cut:        func(_, _ msg.HostID) bool { return false },
		components: components,
	}
	sim.store = newPlatform(sim)
	for _, h := range hosts {
		sim.start(h, 0)
	}
	return sim
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

func (sim *simulation) at(d time.Duration, run func()) {
	sim.seq++
	sim.queue.Add(virtualtime.Event{At: sim.now + d, Seq: sim.seq, Run: run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for ev, ok := sim.queue.Next(end); ok; ev, ok = sim.queue.Next(end) {
		sim.now = ev.At
		ev.Run()
	}
	sim.now = end
}

// until runs the simulation until the condition holds or the limit has passed,
// and returns the time that this took.
func (sim *simulation) until(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := sim.now
	for sim.now-start < limit {
		if holds() {
			return sim.now - start, true
		}
		sim.run(tick / 4)
	}
	return limit, false
}

func (sim *simulation) start(h msg.Host, incarnation int) *node {
	n := &node{sim: sim, host: h, incarnation: incarnation, started: sim.now}
	n.components = sim.components(n)
	n.reducer = reducer.New(append(slices.Clone(n.components), eventRecorder{n})...)
	sim.nodes[h.Host] = n
	sim.allNodes = append(sim.allNodes, n)
	self := msg.Self{Host: h.Host, Domain: h.Domain, Region: h.Region, Kind: h.Kind}
	sim.at(0, func() {
		n.deliver(msg.Started{Self: self, Incarnation: n.incarnationID(), Seed: sim.rand.Uint64(), Wall: startTime.Add(sim.now)})
	})
	sim.at(time.Duration(sim.rand.Int64N(int64(tick))), n.tick)
	return n
}

func (n *node) incarnationID() msg.Incarnation {
	return msg.Incarnation(fmt.Sprintf("i%d", n.incarnation))
}

func (n *node) self() msg.Self {
	return msg.Self{Host: n.host.Host, Domain: n.host.Domain, Region: n.host.Region, Kind: n.host.Kind}
}

func (n *node) clock() msg.Time { return n.sim.now - n.started }

func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.deliver(msg.Tick{Wall: startTime.Add(n.sim.now)})
	}
	n.sim.at(tick, n.tick)
}

// kill ends the process immediately.
func (n *node) kill() { n.dead = true }

// pause stops the process. Events that arrive during the pause are delivered
// when it resumes.
func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	delayed := n.delayed
	n.delayed = nil
	for _, run := range delayed {
		run()
	}
}

// do runs a function on the node, after the end of a pause if the node is
// paused.
func (n *node) do(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.delayed = append(n.delayed, run)
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
			n.sim.at(0, func() { n.do(func() { n.execute(eff) }) })
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
		n.stopCompleted = true
	case msg.LogLine, msg.Connect, msg.SetHostAddr, msg.Disconnect:
	default:
		n.sim.store.call(n, eff)
	}
}

func (n *node) send(eff msg.SendPeer) {
	sim := n.sim
	var b []byte
	if sim.measureTraffic {
		b = n.encode(eff.Message)
	}
	if sim.cut(n.host.Host, eff.To) {
		return
	}
	from := n.host.Host
	sim.at(peerLatency, func() {
		to := sim.nodes[eff.To]
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

// encode encodes a message as it is sent, and measures the bytes and the
// processor time. decode does the reverse.
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
	n.receivedBytes += len(b)
	n.receivedMsgs++
	return m
}

// holders returns the nodes that may act under a lease by their own state.
func (sim *simulation) holders(name msg.LeaseName) []*node {
	var out []*node
	for _, n := range sim.allNodes {
		if !n.dead && n.holds(name) {
			out = append(out, n)
		}
	}
	return out
}

// lease returns the last change of a lease that the node raised.
func (n *node) lease(name msg.LeaseName) (msg.LeaseChanged, bool) {
	for i := len(n.recorded) - 1; i >= 0; i-- {
		if c, ok := n.recorded[i].ev.(msg.LeaseChanged); ok && c.Name == name {
			return c, true
		}
	}
	return msg.LeaseChanged{}, false
}

// holds reports whether the node may act under the lease. A paused process does
// not act: what it was about to send is delayed until it resumes.
func (n *node) holds(name msg.LeaseName) bool {
	c, ok := n.lease(name)
	return ok && c.Held && n.clock() < c.Until
}
