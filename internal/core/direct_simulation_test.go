package core

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	fuzzTurn   = 3 * time.Second // see DirectConfig.LeaseTurn
	fuzzWindow = 5 * time.Second
	// fuzzDelay is the longest time for which a call is in flight.
	fuzzDelay = 1200 * time.Millisecond
)

// directSimulation simulates several entry daemons with the platform's store,
// and records what the platform receives from the daemons.
type directSimulation struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Duration
	objects *coretest.Objects
	// era is the era of the store, and copies its earlier states, of which the oldest is
	// some seconds old.
	era           msg.StoreEra
	copies        []*coretest.Objects
	nodes         []*directNode
	lastProcessID int
	// pending lists the calls, results and messages in flight.
	pending []delivery
	engines []msg.Instance
	// startedRuns counts the runs of which daemons were told by RunCounted
	// events, by window.
	startedRuns map[int64]int64

	// usage holds the counts that the platform received, by window.
	usage  map[int64]map[msg.AccountID]int64
	duties map[string]*duty
	// reportedAt holds when each window was first reported, and lastReporter is the node
	// that made the last report.
	reportedAt   map[int64]time.Duration
	lastReporter *directNode
	storeOutage  outage
	// holdUpFor is how long a partition lasts that begins at the next report, and
	// holdOrdersFor one that begins at the next order; zero for none.
	holdUpFor, holdOrdersFor time.Duration
	// prompt is set if no call or message is slow.
	prompt bool
}

// delivery is a call, a result or a message in flight. At the time at, run
// carries it out. A delivery to a node is lost if the node's process is no
// longer the one with processID.
type delivery struct {
	at        time.Duration
	node      *directNode // nil for the platform
	processID int
	run       func()
}

// directNode is a host on which one entry daemon runs at a time.
type directNode struct {
	host      msg.HostID
	processID int
	start     time.Duration
	reducer   *Direct
	// pausedUntil and cutUntil are when a pause or a network cut ends.
	pausedUntil, cutUntil time.Duration
	responsesLostUntil    time.Duration // responses of the store are lost until then
	// reportsHeldUntil is until when reports are held up between node and platform, and
	// ordersHeldUntil until when orders are between node and engines.
	reportsHeldUntil, ordersHeldUntil time.Duration
	// era is the latest era of the store that the process has seen.
	era msg.StoreEra
}

func newDirectSimulation(t *rapid.T) *directSimulation {
	sim := &directSimulation{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), objects: coretest.NewObjects(), era: rapid.SampledFrom([]msg.StoreEra{1, 3}).Draw(t, "era"), startedRuns: make(map[int64]int64),
		usage: make(map[int64]map[msg.AccountID]int64), duties: make(map[string]*duty), reportedAt: make(map[int64]time.Duration),
	}
	for i := range 8 {
		sim.engines = append(sim.engines, msg.Instance{
			Target: msg.TargetID(fmt.Sprint("e", i)), Service: "llm", Addr: fmt.Sprint("10.0.1.", i, ":1"),
			Domain: msg.FailureDomain(fmt.Sprint("d", i%3)), Slots: 64, Role: msg.RoleDecode,
		})
	}
	for i := range 4 {
		n := &directNode{host: msg.HostID(fmt.Sprint("entry-", i))}
		sim.nodes = append(sim.nodes, n)
		sim.startProcess(n)
	}
	return sim
}

// startProcess starts a process on a node's host.
func (sim *directSimulation) startProcess(n *directNode) {
	sim.lastProcessID++
	n.processID = sim.lastProcessID
	n.start = sim.now
	n.era = 0
	inc := msg.Incarnation(fmt.Sprint("life-", n.processID))
	self := msg.Self{Host: n.host, Domain: msg.FailureDomain("d" + string(n.host[len(n.host)-1])), Kind: msg.HostEntry}
	n.reducer = NewDirect(DirectConfig{
		Self: self, Incarnation: inc, PeerAddr: string(n.host) + ":1",
		Limits:       msg.DirectLimits{AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second, RetryWindow: 10 * time.Second},
		PlatformPoll: platformpoll.Config{RoutesInterval: time.Second, InstancesInterval: time.Second},
		UsageWindow:  fuzzWindow, UsageCollectTimeout: 7 * time.Second, UsageReportDeadline: 10 * time.Second, LeaseTurn: fuzzTurn,
	})
	sim.step(n, msg.Started{Self: self, Incarnation: inc, Seed: uint64(n.processID), Wall: sim.wall()})
}

func (sim *directSimulation) wall() time.Time { return time.Unix(1_000_000, 0).Add(sim.now) }

func (sim *directSimulation) step(n *directNode, ev msg.Event) {
	for _, eff := range n.reducer.Step(sim.now-n.start, ev) {
		sim.execute(n, eff)
	}
}

// delay draws how long a call, a result or a message is in flight.
func (sim *directSimulation) delay() time.Duration {
	if !sim.prompt && sim.rand.IntN(10) == 0 {
		return time.Duration(sim.rand.Int64N(int64(fuzzDelay)))
	}
	return 5 * time.Millisecond
}

func (sim *directSimulation) after(n *directNode, run func()) { sim.afterDelay(sim.delay(), n, run) }

func (sim *directSimulation) afterDelay(d time.Duration, n *directNode, run func()) {
	sim.schedule(delivery{at: sim.now + d, node: n, run: run})
}

func (sim *directSimulation) schedule(d delivery) {
	n := d.node
	if n != nil {
		d.processID = n.processID
	}
	sim.pending = append(sim.pending, d)
}

// execute performs an effect as the driver and the platform would.
func (sim *directSimulation) execute(n *directNode, eff msg.Effect) {
	if sim.storeOutage.contains(sim.now) && callsStore(eff) {
		sim.fail(n, eff)
		return
	}
	switch eff := eff.(type) {
	case msg.ReadRoutes:
		sim.respond(n, msg.RoutesRead{Call: eff.Call, Sent: sim.now - n.start, Table: routeTable()}, msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReadInstances:
		list := slices.Clone(sim.engines)
		sim.respond(n, msg.InstancesRead{Call: eff.Call, Sent: sim.now - n.start, Revision: msg.Revision(sim.now + 1), Instances: list}, msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReportWindow:
		if sim.holdUpFor > 0 {
			n.cutUntil, n.reportsHeldUntil = sim.now+sim.holdUpFor, sim.now+sim.holdUpFor
			sim.holdUpFor = 0
		}
		if sim.now < n.reportsHeldUntil {
			sim.afterDelay(n.reportsHeldUntil-sim.now+sim.delay()/6, nil, func() { sim.onReport(n, eff) })
			sim.after(n, func() { sim.step(n, msg.WindowReported{Call: eff.Call, Status: msg.CallUnknown}) })
			return
		}
		sim.after(nil, func() { sim.onReport(n, eff) })
		sim.respond(n, msg.WindowReported{Call: eff.Call}, msg.WindowReported{Call: eff.Call, Status: msg.CallUnknown})
	case msg.ChangeRole:
		if sim.holdOrdersFor > 0 {
			n.cutUntil, n.ordersHeldUntil = sim.now+sim.holdOrdersFor, sim.now+sim.holdOrdersFor
			sim.holdOrdersFor = 0
		}
		if sim.now < n.ordersHeldUntil {
			sim.afterDelay(n.ordersHeldUntil-sim.now+sim.delay()/6, nil, func() { sim.onRoleChange(n.host, eff) })
			sim.after(n, func() { sim.step(n, msg.RoleChangeDone{Call: eff.Call, Status: msg.OrderUnknown}) })
			return
		}
		sim.after(nil, func() { sim.onRoleChange(n.host, eff) })
		sim.respond(n, msg.RoleChangeDone{Call: eff.Call}, msg.RoleChangeDone{Call: eff.Call, Status: msg.OrderUnknown})
	case msg.SendPeer:
		sim.send(n, eff)
	default:
		sim.callStore(n, eff)
	}
}

func routeTable() *msg.RouteTable {
	return &msg.RouteTable{Version: 1, Services: []msg.DirectService{{Service: "llm", Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 100_000}}}}
}

// respond delivers ok as the result of a call. If the node is cut off or its
// responses are lost, it delivers lost, the result of a call without a response.
func (sim *directSimulation) respond(n *directNode, ok, lost msg.Event) {
	ev := ok
	if sim.now < n.cutUntil || sim.now < n.responsesLostUntil {
		ev = lost
	}
	sim.after(n, func() { sim.step(n, ev) })
}

func (sim *directSimulation) callStore(n *directNode, eff msg.Effect) {
	if put, ok := eff.(msg.PutObject); ok && put.NotAfter != 0 && sim.now-n.start >= put.NotAfter {
		sim.after(n, func() { sim.step(n, msg.PutDone{Call: put.Call, Status: msg.CallUnavailable}) })
		return
	}
	if sim.now < n.cutUntil {
		if ev, ok := coretest.Failed(eff, msg.CallUnavailable); ok {
			sim.after(n, func() { sim.step(n, ev) })
		}
		return
	}
	// The call takes effect later, even if its sender is killed.
	processID := n.processID
	sim.after(nil, func() {
		if sim.storeOutage.contains(sim.now) {
			sim.fail(n, eff)
			return
		}
		ev, ok := sim.objects.Do(eff)
		if !ok || n.processID != processID {
			return
		}
		era := sim.era
		if sim.now < n.responsesLostUntil {
			ev, era = lostResponse(eff), 0
		}
		sim.after(n, func() { sim.respondInEra(n, eff, ev, era) })
	})
}

// respondInEra delivers the response of the store to a call, as the driver does: a new
// era is reported first, and a response of an earlier one is void.
func (sim *directSimulation) respondInEra(n *directNode, eff msg.Effect, ev msg.Event, era msg.StoreEra) {
	switch {
	case era == 0:
	case era < n.era:
		ev = lostResponse(eff)
	case era > n.era:
		changed := msg.StoreEraChanged{Era: era, Previous: n.era}
		n.era = era
		sim.step(n, changed)
	}
	sim.step(n, ev)
}

// lostResponse returns the result of a call to the store without a response.
func lostResponse(eff msg.Effect) msg.Event {
	status := msg.CallUnavailable
	switch eff.(type) {
	case msg.PutObject, msg.DeleteObject:
		status = msg.CallUnknown
	}
	ev, _ := coretest.Failed(eff, status)
	return ev
}

// rewind makes the store continue from a copy that is some seconds old.
func (sim *directSimulation) rewind(age int) {
	if len(sim.copies) == 0 {
		return
	}
	sim.objects = sim.copies[max(len(sim.copies)-1-age, 0)].Snapshot()
	sim.copies = nil
	sim.era++
}

// send carries a datagram, which is lost or arrives soon.
func (sim *directSimulation) send(n *directNode, eff msg.SendPeer) {
	if sim.rand.IntN(20) == 0 {
		return
	}
	for _, to := range sim.nodes {
		if to.host == eff.To {
			sim.afterDelay(sim.delay()/6, to, func() { sim.step(to, msg.PeerReceived{From: n.host, Message: eff.Message}) })
		}
	}
}

// advance advances the time in steps of one tick.
func (sim *directSimulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += msg.TickInterval
		if sim.now%time.Second == 0 {
			sim.copies = append(sim.copies, sim.objects.Snapshot())
		}
		sim.deliver()
		for _, n := range sim.nodes {
			if sim.now >= n.pausedUntil {
				sim.step(n, msg.Tick{Wall: sim.wall()})
			}
		}
	}
}

// deliver delivers what is due. Deliveries to a process that was killed are
// lost, and those to a paused one wait until the pause ends.
func (sim *directSimulation) deliver() {
	slices.SortStableFunc(sim.pending, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	due := sim.pending
	sim.pending = nil
	for _, p := range due {
		switch {
		case p.at > sim.now, p.node != nil && sim.now < p.node.pausedUntil:
			sim.pending = append(sim.pending, p)
		case p.node == nil || p.node.processID == p.processID:
			p.run()
		}
	}
}

func (sim *directSimulation) pick(t *rapid.T) *directNode {
	return sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
}

func (sim *directSimulation) duration(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, 7000).Draw(t, "ms")) * time.Millisecond
}

// The tests use a fixed seed, so that they give the same result each time. The
// command line may set another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}
