// Package capacity measures what a daemon costs as the deployment grows. It
// runs the reducers of whole deployments in virtual time on small fakes of the
// platform and the targets, and fits straight lines through the results.
package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

// Latencies of the fakes.
const (
	peerLatency     = 1500 * time.Microsecond
	platformLatency = 3 * time.Millisecond
	targetLatency   = time.Millisecond
	orderTime       = 2 * time.Second
)

const (
	domains = 4
	regions = 2
	// pool is the engine pool of all targets.
	pool = "engines"
)

var wallStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Size is the size of a deployment.
type Size struct {
	Entries  int
	Targets  int
	Accounts int
	// Rate is the number of requests a second.
	Rate float64
}

// Scale returns a share of a size.
func (s Size) Scale(share float64) Size {
	part := func(n int) int { return max(1, int(float64(n)*share+0.5)) }
	return Size{part(s.Entries), part(s.Targets), part(s.Accounts), s.Rate * share}
}

// reducer is what the world drives.
type reducer interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// node is one daemon.
type node struct {
	host    msg.Host
	target  *msg.TargetIdentity
	reducer reducer
	cost    Cost
	// linked holds the daemons that this one is connected to.
	linked map[msg.HostID]bool
}

// Cost is what one daemon did.
type Cost struct {
	CPU time.Duration
	// Messages and Bytes are sent to other daemons; bytes are encoded frames
	// without the transport's own.
	Messages, Bytes int
	Received        int
	Reads, Writes   int
	ReadBytes       int
	WrittenBytes    int
	// LargestRead is the largest answer to one read in bytes.
	LargestRead int
}

// World is a deployment in virtual time.
type World struct {
	now      time.Duration
	queue    eventQueue
	seq      uint64
	rng      *rand.Rand
	nodes    map[msg.HostID]*node
	order    []*node
	hosts    []msg.Host
	objects  *coretest.Objects
	watches  []watch
	manifest []byte
	requests requests
	// metered is set while costs count.
	metered bool
	// Unhandled counts refusals by code, and effects that the world has no
	// answer to.
	Unhandled map[string]int
}

// watch is a waiting watch of the object API.
type watch struct {
	n     *node
	eff   msg.WatchObjects
	until time.Duration
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

// Push implements [heap.Interface].
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

// Pop implements [heap.Interface].
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// NewWorld returns a deployment of a size in which nothing has happened yet.
func NewWorld(size Size, seed uint64) *World {
	w := &World{
		rng: rand.New(rand.NewPCG(seed, 0)), nodes: make(map[msg.HostID]*node),
		objects: coretest.NewObjects(), manifest: Manifest(size), Unhandled: make(map[string]int),
	}
	for i := range size.Entries {
		w.addEntry(i)
	}
	for i := range size.Targets {
		w.addSide(i)
	}
	w.requests = requests{w: w, rate: size.Rate, accounts: size.Accounts, open: make(map[msg.AttemptID]*request)}
	for _, n := range w.order {
		w.start(n)
	}
	return w
}

func place(i int) (msg.FailureDomain, msg.Region) {
	d := i % domains
	return msg.FailureDomain(fmt.Sprintf("fd-%d", d)), msg.Region(fmt.Sprintf("region-%d", d%regions))
}

func (w *World) addEntry(i int) {
	domain, region := place(i)
	h := msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%03d", i)), Addr: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Domain: domain, Region: region}
	n := &node{host: h}
	n.reducer = core.NewEntry(core.EntryConfig{Self: n.self(), Incarnation: "i1"})
	w.add(n)
}

func (w *World) addSide(i int) {
	domain, region := place(i)
	name := fmt.Sprintf("target-%03d", i)
	h := msg.Host{Host: msg.HostID(name), Addr: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Domain: domain, Region: region, Kind: msg.HostTarget}
	n := &node{host: h, target: &msg.TargetIdentity{Target: msg.TargetID(name), Pool: pool}}
	n.reducer = core.NewSide(core.SideConfig{Self: n.self(), Incarnation: "i1"})
	w.add(n)
}

func (w *World) add(n *node) {
	n.linked = make(map[msg.HostID]bool)
	w.nodes[n.host.Host] = n
	w.order = append(w.order, n)
	w.hosts = append(w.hosts, n.host)
}

func (n *node) self() msg.Self {
	return msg.Self{Host: n.host.Host, Domain: n.host.Domain, Region: n.host.Region, Kind: n.host.Kind, Target: n.target}
}

func (w *World) start(n *node) {
	offset := time.Duration(w.rng.Int64N(int64(msg.TickInterval)))
	seed := w.rng.Uint64()
	w.at(offset, func() {
		w.deliver(n, msg.Started{Self: n.self(), Incarnation: "i1", Seed: seed, Wall: w.wall()})
		w.tick(n)
	})
}

func (w *World) wall() time.Time { return wallStart.Add(w.now) }

func (w *World) tick(n *node) {
	w.deliver(n, msg.Tick{Wall: w.wall()})
	w.at(msg.TickInterval, func() { w.tick(n) })
}

func (w *World) at(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{w.now + d, w.seq, run})
}

// Run advances virtual time.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// deliver hands an event to a daemon and carries out what it wants done.
func (w *World) deliver(n *node, ev msg.Event) {
	began := time.Now()
	effs := n.reducer.Step(w.now, ev)
	if w.metered {
		n.cost.CPU += time.Since(began)
	}
	for _, eff := range effs {
		w.execute(n, eff)
	}
}

// encodedSize is the length of a message between daemons in bytes.
func encodedSize(v any) int {
	b, err := wire.Marshal(v)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return len(b)
}

// Target is the size that the design has to carry.
var Target = Size{Entries: 390, Targets: 600, Accounts: 2200, Rate: 4300}
