package core

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The property tests in this file run the reducers of several entry daemons of
// the direct path against one store. They check the duties that only one of the
// daemons may perform at a time.

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
	// prompt is set if no call or message is slow.
	prompt bool
}

// duty is the history of the calls for one subject: the usage reports, or the
// role changes of one engine. Each call is an action under a lease.
type duty struct {
	epoch         msg.Epoch
	actions       []action
	holderByEpoch map[msg.Epoch]msg.HostID
}

// action is a call that a daemon made under a lease.
type action struct {
	at   time.Duration
	host msg.HostID
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
		UsageWindow:  fuzzWindow, UsageCollectTimeout: 7 * time.Second, LeaseTurn: fuzzTurn,
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
		sim.after(nil, func() { sim.onReport(n, eff) })
		sim.respond(n, msg.WindowReported{Call: eff.Call}, msg.WindowReported{Call: eff.Call, Status: msg.CallUnknown})
	case msg.ChangeRole:
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

// onReport checks a usage report as it reaches the platform.
func (sim *directSimulation) onReport(n *directNode, eff msg.ReportWindow) {
	sim.checkDuty("usage", n.host, eff.Epoch)
	sim.lastReporter = n
	if _, ok := sim.reportedAt[eff.Window]; !ok {
		sim.reportedAt[eff.Window] = sim.now
	}
	if old, ok := sim.usage[eff.Window]; ok && !maps.Equal(old, eff.Counts) {
		sim.t.Fatalf("window %d was reported with %v and then with %v", eff.Window, old, eff.Counts)
	}
	sim.usage[eff.Window] = eff.Counts
	var sum int64
	for _, n := range eff.Counts {
		sum += n
	}
	if sum > sim.startedRuns[eff.Window] {
		sim.t.Fatalf("window %d was reported with %d runs, but only %d were started", eff.Window, sum, sim.startedRuns[eff.Window])
	}
}

func (sim *directSimulation) onRoleChange(from msg.HostID, eff msg.ChangeRole) {
	sim.checkDuty("order of "+string(eff.Target), from, eff.Epoch)
	for i := range sim.engines {
		if sim.engines[i].Target == eff.Target {
			sim.engines[i].Role = eff.Role
		}
	}
}

// checkDuty checks that only one daemon at a time performs a duty: the epochs
// never decrease, each epoch has one holder, and no daemon acts again within
// fuzzTurn if another daemon has acted in between.
func (sim *directSimulation) checkDuty(subject string, from msg.HostID, epoch msg.Epoch) {
	d := sim.duties[subject]
	if d == nil {
		d = &duty{holderByEpoch: make(map[msg.Epoch]msg.HostID)}
		sim.duties[subject] = d
	}
	if epoch < d.epoch {
		sim.t.Fatalf("%s: epoch %d after %d", subject, epoch, d.epoch)
	}
	d.epoch = epoch
	if h, ok := d.holderByEpoch[epoch]; ok && h != from {
		sim.t.Fatalf("%s: %s and %s act under epoch %d", subject, h, from, epoch)
	}
	d.holderByEpoch[epoch] = from
	d.actions = append(d.actions, action{sim.now, from})
	other := false
	for _, a := range slices.Backward(d.actions) {
		switch {
		case sim.now-a.at > fuzzTurn:
			return
		case a.host != from:
			other = true
		case other:
			sim.t.Fatalf("%s: %s acts again after %s, although another daemon has acted in between", subject, from, sim.now-a.at)
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

// count records that runs have started, and reports each of them to a daemon by
// a RunCounted event.
func (sim *directSimulation) count(n *directNode, runs int) {
	for range runs {
		sim.startedRuns[sim.wall().UnixNano()/int64(fuzzWindow)]++
		sim.step(n, msg.RunCounted{Account: "acme", Wall: sim.wall()})
	}
}

// The tests use a fixed seed, so that they give the same result each time. The
// command line may set another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}

// TestDutiesUnderAnyFault kills and pauses daemons, cuts them off from the
// store, loses its responses and makes it continue from an older copy, at any time.
func TestDutiesUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		sim.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { sim.t = t; sim.advance(sim.duration(t)) },
			"kill":  func(t *rapid.T) { sim.t = t; sim.startProcess(sim.pick(t)) },
			"pause": func(t *rapid.T) { sim.t = t; sim.pick(t).pausedUntil = sim.now + sim.duration(t) },
			"cut":   func(t *rapid.T) { sim.t = t; sim.pick(t).cutUntil = sim.now + sim.duration(t) },
			"mute":  func(t *rapid.T) { sim.t = t; sim.pick(t).responsesLostUntil = sim.now + sim.duration(t) },
			"stop": func(t *rapid.T) {
				sim.t = t
				n := sim.pick(t)
				sim.step(n, msg.StopRequested{})
				sim.advance(3 * time.Second)
				sim.startProcess(n)
			},
			"count":  func(t *rapid.T) { sim.t = t; sim.count(sim.pick(t), rapid.IntRange(1, 9).Draw(t, "runs")) },
			"rewind": func(t *rapid.T) { sim.t = t; sim.rewind(rapid.IntRange(0, 6).Draw(t, "age")) },
		})
	})
}

// TestDutiesWithoutFaults checks that, without faults, every run is reported
// and the engines get their roles.
func TestDutiesWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		for range 30 {
			sim.count(sim.pick(t), rapid.IntRange(0, 5).Draw(t, "runs"))
			sim.advance(time.Second)
		}
		sim.advance(15 * time.Second)
		for window, startedRuns := range sim.startedRuns {
			var sum int64
			for _, n := range sim.usage[window] {
				sum += n
			}
			if sum != startedRuns {
				t.Fatalf("window %d: %d of %d runs were reported", window, sum, startedRuns)
			}
		}
		decoding := 0
		for _, e := range sim.engines {
			if e.Role == msg.RoleDecode {
				decoding++
			}
		}
		if decoding != 4 {
			t.Fatalf("%d of %d engines decode", decoding, len(sim.engines))
		}
	})
}
