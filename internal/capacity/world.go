// Package capacity measures how the cost of a daemon grows with the size of the
// deployment. It runs the reducers of whole deployments in virtual time against
// small fakes of the platform and the targets, and fits straight lines through
// the results.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/virtualtime"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

// Simulated latencies.
const (
	// peerLatency is that of a message between two daemons.
	peerLatency = 1500 * time.Microsecond
	// platformLatency is that of a platform call.
	platformLatency = 3 * time.Millisecond
	// targetLatency is that of reading a target's state.
	targetLatency = time.Millisecond
	// orderTime is the time that a target takes to execute an order.
	orderTime = 2 * time.Second
)

const (
	// domains and regions are the numbers of failure domains and regions.
	domains = 4
	regions = 2
	// pool is the engine pool that all targets belong to.
	pool = "engines"
)

// wallStart is the wall clock at virtual time 0.
var wallStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Size is the size of a deployment.
type Size struct {
	Entries  int
	Targets  int
	Accounts int
	// Rate is the number of requests per second.
	Rate float64
}

// Scale returns the given share of a size, with at least one entry, target and
// account.
func (s Size) Scale(share float64) Size {
	part := func(n int) int { return max(1, int(float64(n)*share+0.5)) }
	return Size{part(s.Entries), part(s.Targets), part(s.Accounts), s.Rate * share}
}

// reducer is an entry's or a side's reducer.
type reducer interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// node is a daemon.
type node struct {
	host    msg.Host
	target  *msg.TargetIdentity
	reducer reducer
	cost    Cost
	// connected is the set of hosts to whose daemons this one is connected.
	connected map[msg.HostID]bool
}

// Cost is the work that a daemon has done during the measurement.
type Cost struct {
	// CPU is the real time spent in the reducer.
	CPU time.Duration
	// Messages and Bytes count what was sent to other daemons. Bytes counts
	// encoded messages without the overhead of the transport.
	Messages, Bytes int
	// Received counts the messages from other daemons.
	Received int
	// Reads and Writes count platform calls, and ReadBytes and WrittenBytes the
	// object values that they carried.
	Reads, Writes int
	ReadBytes     int
	WrittenBytes  int
	// LargestRead is the size of the largest response to a read in bytes.
	LargestRead int
}

// Simulation is a deployment that runs in virtual time.
type Simulation struct {
	now      time.Duration
	queue    virtualtime.Queue
	seq      uint64
	rng      *rand.Rand
	nodes    map[msg.HostID]*node
	nodeList []*node
	hosts    []msg.Host
	objects  *coretest.Objects
	watches  []watch
	manifest []byte
	requests requests
	// measuring reports whether costs are counted.
	measuring bool
	// Unhandled counts refused and aborted requests by code, and effects that
	// the simulation does not support by type.
	Unhandled map[string]int
}

// watch is a watch of the object API that has no response yet.
type watch struct {
	n        *node
	eff      msg.WatchObjects
	deadline time.Duration
}

// NewSimulation returns a deployment of the given size whose daemons start when
// virtual time advances.
func NewSimulation(size Size, seed uint64) *Simulation {
	sim := &Simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), nodes: make(map[msg.HostID]*node),
		objects: coretest.NewObjects(), manifest: Manifest(size), Unhandled: make(map[string]int),
	}
	for i := range size.Entries {
		sim.addEntry(i)
	}
	for i := range size.Targets {
		sim.addSide(i)
	}
	sim.requests = requests{sim: sim, rate: size.Rate, accounts: size.Accounts, attempts: make(map[msg.AttemptID]*attempt)}
	for _, n := range sim.nodeList {
		sim.start(n)
	}
	return sim
}

// placement returns the failure domain and region of the i-th entry or target.
func placement(i int) (msg.FailureDomain, msg.Region) {
	d := i % domains
	return msg.FailureDomain(fmt.Sprintf("fd-%d", d)), msg.Region(fmt.Sprintf("region-%d", d%regions))
}

func (sim *Simulation) addEntry(i int) {
	domain, region := placement(i)
	h := msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%03d", i)), Addr: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Domain: domain, Region: region}
	n := &node{host: h}
	n.reducer = core.NewEntry(core.EntryConfig{Self: n.self(), Incarnation: "i1"})
	sim.add(n)
}

func (sim *Simulation) addSide(i int) {
	domain, region := placement(i)
	name := fmt.Sprintf("target-%03d", i)
	h := msg.Host{Host: msg.HostID(name), Addr: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Domain: domain, Region: region, Kind: msg.HostTarget}
	n := &node{host: h, target: &msg.TargetIdentity{Target: msg.TargetID(name), Pool: pool}}
	n.reducer = core.NewSide(core.SideConfig{Self: n.self(), Incarnation: "i1"})
	sim.add(n)
}

func (sim *Simulation) add(n *node) {
	n.connected = make(map[msg.HostID]bool)
	sim.nodes[n.host.Host] = n
	sim.nodeList = append(sim.nodeList, n)
	sim.hosts = append(sim.hosts, n.host)
}

func (n *node) self() msg.Self {
	return msg.Self{Host: n.host.Host, Domain: n.host.Domain, Region: n.host.Region, Kind: n.host.Kind, Target: n.target}
}

// start schedules the start of a daemon, at a random time within the first tick
// interval so that the ticks of daemons do not coincide.
func (sim *Simulation) start(n *node) {
	offset := time.Duration(sim.rng.Int64N(int64(msg.TickInterval)))
	seed := sim.rng.Uint64()
	sim.at(offset, func() {
		sim.deliver(n, msg.Started{Self: n.self(), Incarnation: "i1", Seed: seed, Wall: sim.wall()})
		sim.tick(n)
	})
}

func (sim *Simulation) wall() time.Time { return wallStart.Add(sim.now) }

func (sim *Simulation) tick(n *node) {
	sim.deliver(n, msg.Tick{Wall: sim.wall()})
	sim.at(msg.TickInterval, func() { sim.tick(n) })
}

// at schedules run after d.
func (sim *Simulation) at(d time.Duration, run func()) {
	sim.seq++
	sim.queue.Add(virtualtime.Event{At: sim.now + d, Seq: sim.seq, Run: run})
}

// Run advances virtual time by d.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now + d
	for ev, ok := sim.queue.Next(end); ok; ev, ok = sim.queue.Next(end) {
		sim.now = ev.At
		ev.Run()
	}
	sim.now = end
}

// deliver passes an event to a daemon's reducer and performs its effects.
func (sim *Simulation) deliver(n *node, ev msg.Event) {
	began := time.Now()
	effs := n.reducer.Step(sim.now, ev)
	if sim.measuring {
		n.cost.CPU += time.Since(began)
	}
	for _, eff := range effs {
		sim.execute(n, eff)
	}
}

// encodedSize returns the encoded length of a message between daemons in bytes.
func encodedSize(v any) int {
	b, err := wire.Marshal(v)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return len(b)
}

// Target is the deployment size that the design has to support.
var Target = Size{Entries: 390, Targets: 600, Accounts: 2200, Rate: 4300}
