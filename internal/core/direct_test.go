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
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/platformpoll"
)

// The fuzz in this file drives the reducers of several entry daemons of the
// direct path over one store and checks the duties that only one of them may
// do at a time.

const (
	fuzzTurn   = 3 * time.Second // two holders must not take turns within it
	fuzzWindow = 5 * time.Second
	// fuzzDelay is the longest that a call is under way.
	fuzzDelay = 1200 * time.Millisecond
)

// fleetWorld is a few entry daemons, a store and what the platform has seen.
type fleetWorld struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Duration
	objects *coretest.Objects
	nodes   []*fleetNode
	lives   int
	// pending holds what is under way.
	pending []delivery
	engines []msg.Instance
	// begun counts the runs that were told to daemons, by window.
	begun map[int64]int64

	usage  map[int64]map[msg.AccountID]int64
	duties map[string]*duty
}

// duty is the history of calls for one subject.
type duty struct {
	fence   msg.Epoch
	holders []turn
	byFence map[msg.Epoch]msg.HostID
}

type turn struct {
	at   time.Duration
	host msg.HostID
}

type delivery struct {
	at   time.Duration
	node *fleetNode // nil for the platform
	life int
	run  func()
}

type fleetNode struct {
	host  msg.HostID
	life  int
	start time.Duration
	d     *Direct
	// until is when a pause or a cut ends.
	paused, cut time.Duration
	mute        time.Duration // answers of the store are lost until then
}

func newFleetWorld(t *rapid.T) *fleetWorld {
	w := &fleetWorld{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), objects: coretest.NewObjects(), begun: make(map[int64]int64),
		usage: make(map[int64]map[msg.AccountID]int64), duties: make(map[string]*duty),
	}
	for i := range 8 {
		w.engines = append(w.engines, msg.Instance{
			Target: msg.TargetID(fmt.Sprint("e", i)), Service: "llm", Addr: fmt.Sprint("10.0.1.", i, ":1"),
			Domain: msg.FailureDomain(fmt.Sprint("d", i%3)), Slots: 64, Role: msg.RoleDecode,
		})
	}
	for i := range 4 {
		n := &fleetNode{host: msg.HostID(fmt.Sprint("entry-", i))}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	return w
}

// boot starts a process on a node's host.
func (w *fleetWorld) boot(n *fleetNode) {
	w.lives++
	n.life = w.lives
	n.start = w.now
	inc := msg.Incarnation(fmt.Sprint("life-", n.life))
	self := msg.Self{Host: n.host, Domain: msg.FailureDomain("d" + string(n.host[len(n.host)-1])), Kind: msg.HostEntry}
	n.d = NewDirect(DirectConfig{
		Self: self, Incarnation: inc, PeerAddr: string(n.host) + ":1",
		Limits:      msg.DirectLimits{AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second, RetryWindow: 10 * time.Second},
		Catalog:     platformpoll.Config{RoutesEvery: time.Second, InstancesEvery: time.Second},
		UsageWindow: fuzzWindow, UsageCollect: 7 * time.Second, LeaseTurn: fuzzTurn,
	})
	w.step(n, msg.Started{Self: self, Incarnation: inc, Seed: uint64(n.life), Wall: w.wall()})
}

func (w *fleetWorld) wall() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *fleetWorld) step(n *fleetNode, ev msg.Event) {
	for _, eff := range n.d.Step(w.now-n.start, ev) {
		w.execute(n, eff)
	}
}

// delay draws how long something is under way.
func (w *fleetWorld) delay() time.Duration {
	if w.rand.IntN(10) == 0 {
		return time.Duration(w.rand.Int64N(int64(fuzzDelay)))
	}
	return 5 * time.Millisecond
}

func (w *fleetWorld) later(n *fleetNode, run func()) { w.laterBy(w.delay(), n, run) }

func (w *fleetWorld) laterBy(d time.Duration, n *fleetNode, run func()) {
	w.pend(delivery{at: w.now + d, node: n, run: run})
}

func (w *fleetWorld) pend(d delivery) {
	n := d.node
	if n != nil {
		d.life = n.life
	}
	w.pending = append(w.pending, d)
}

// execute carries out an effect as the driver and the platform do.
func (w *fleetWorld) execute(n *fleetNode, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.ReadRoutes:
		w.answer(n, msg.RoutesRead{Call: eff.Call, Sent: w.now - n.start, Table: fleetTable()}, msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReadInstances:
		list := slices.Clone(w.engines)
		w.answer(n, msg.InstancesRead{Call: eff.Call, Sent: w.now - n.start, Revision: msg.Revision(w.now + 1), Instances: list}, msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReportWindow:
		w.later(nil, func() { w.onReport(n.host, eff) })
		w.answer(n, msg.WindowReported{Call: eff.Call}, msg.WindowReported{Call: eff.Call, Status: msg.CallUnknown})
	case msg.ChangeRole:
		w.later(nil, func() { w.onOrder(n.host, eff) })
		w.answer(n, msg.RoleChangeDone{Call: eff.Call}, msg.RoleChangeDone{Call: eff.Call, Status: msg.OrderUnknown})
	case msg.SendPeer:
		w.send(n, eff)
	default:
		w.callStore(n, eff)
	}
}

func fleetTable() *msg.RouteTable {
	return &msg.RouteTable{Version: 1, Services: []msg.DirectService{{Service: "llm", Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 100_000}}}}
}

// answer delivers an answer, or the sign that none came.
func (w *fleetWorld) answer(n *fleetNode, ok, lost msg.Event) {
	ev := ok
	if w.now < n.cut || w.now < n.mute {
		ev = lost
	}
	w.later(n, func() { w.step(n, ev) })
}

func (w *fleetWorld) callStore(n *fleetNode, eff msg.Effect) {
	if put, ok := eff.(msg.PutObject); ok && put.NotAfter != 0 && w.now-n.start >= put.NotAfter {
		w.later(n, func() { w.step(n, msg.PutDone{Call: put.Call, Status: msg.CallUnavailable}) })
		return
	}
	if w.now < n.cut {
		if ev, ok := coretest.Failed(eff, msg.CallUnavailable); ok {
			w.later(n, func() { w.step(n, ev) })
		}
		return
	}
	// The call takes effect somewhat later, also if its sender dies.
	life := n.life
	w.later(nil, func() {
		ev, ok := w.objects.Do(eff)
		if !ok || n.life != life {
			return
		}
		if w.now < n.mute {
			ev, _ = coretest.Failed(eff, msg.CallUnknown)
			if _, write := eff.(msg.PutObject); !write {
				ev, _ = coretest.Failed(eff, msg.CallUnavailable)
			}
		}
		w.later(n, func() { w.step(n, ev) })
	})
}

// send carries a datagram: it is lost or arrives soon.
func (w *fleetWorld) send(n *fleetNode, eff msg.SendPeer) {
	if w.rand.IntN(20) == 0 {
		return
	}
	for _, to := range w.nodes {
		if to.host == eff.To {
			w.laterBy(w.delay()/6, to, func() { w.step(to, msg.PeerReceived{From: n.host, Message: eff.Message}) })
		}
	}
}

// onReport checks a usage report as it reaches the platform.
func (w *fleetWorld) onReport(from msg.HostID, eff msg.ReportWindow) {
	w.checkDuty("usage", from, eff.Epoch)
	if old, ok := w.usage[eff.Window]; ok && !maps.Equal(old, eff.Counts) {
		w.t.Fatalf("window %d is reported with %v and %v", eff.Window, old, eff.Counts)
	}
	w.usage[eff.Window] = eff.Counts
	var sum int64
	for _, n := range eff.Counts {
		sum += n
	}
	if sum > w.begun[eff.Window] {
		w.t.Fatalf("window %d is reported with %d runs of %d", eff.Window, sum, w.begun[eff.Window])
	}
}

func (w *fleetWorld) onOrder(from msg.HostID, eff msg.ChangeRole) {
	w.checkDuty("order of "+string(eff.Target), from, eff.Epoch)
	for i := range w.engines {
		if w.engines[i].Target == eff.Target {
			w.engines[i].Role = eff.Role
		}
	}
}

// checkDuty checks that one acts at a time.
func (w *fleetWorld) checkDuty(subject string, from msg.HostID, fence msg.Epoch) {
	d := w.duties[subject]
	if d == nil {
		d = &duty{byFence: make(map[msg.Epoch]msg.HostID)}
		w.duties[subject] = d
	}
	if fence < d.fence {
		w.t.Fatalf("%s: fence %d after %d", subject, fence, d.fence)
	}
	d.fence = fence
	if h, ok := d.byFence[fence]; ok && h != from {
		w.t.Fatalf("%s: %s and %s act under fence %d", subject, h, from, fence)
	}
	d.byFence[fence] = from
	d.holders = append(d.holders, turn{w.now, from})
	other := false
	for _, t := range slices.Backward(d.holders) {
		switch {
		case w.now-t.at > fuzzTurn:
			return
		case t.host != from:
			other = true
		case other:
			w.t.Fatalf("%s: %s acts again %s after it, with another in between", subject, from, w.now-t.at)
		}
	}
}

// pass lets time go on in steps of a tick.
func (w *fleetWorld) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += msg.TickInterval
		w.deliver()
		for _, n := range w.nodes {
			if w.now >= n.paused {
				w.step(n, msg.Tick{Wall: w.wall()})
			}
		}
	}
}

// deliver delivers what is due. What was meant for a dead process is lost, and
// a paused one gets it when it wakes.
func (w *fleetWorld) deliver() {
	slices.SortStableFunc(w.pending, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	due := w.pending
	w.pending = nil
	for _, p := range due {
		switch {
		case p.at > w.now, p.node != nil && w.now < p.node.paused:
			w.pending = append(w.pending, p)
		case p.node == nil || p.node.life == p.life:
			p.run()
		}
	}
}

func (w *fleetWorld) pick(t *rapid.T) *fleetNode {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

func (w *fleetWorld) duration(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, 7000).Draw(t, "ms")) * time.Millisecond
}

// count tells a daemon of runs.
func (w *fleetWorld) count(n *fleetNode, runs int) {
	for range runs {
		w.begun[w.wall().UnixNano()/int64(fuzzWindow)]++
		w.step(n, msg.RunCounted{Account: "acme", Wall: w.wall()})
	}
}

// The same verdict every time; the command line may choose another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}

// TestDutiesUnderAnyFault lets daemons be killed, paused, cut off from the
// store or not answered by it, at any time.
func TestDutiesUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t)
		w.pass(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { w.t = t; w.pass(w.duration(t)) },
			"kill":  func(t *rapid.T) { w.t = t; w.boot(w.pick(t)) },
			"pause": func(t *rapid.T) { w.t = t; w.pick(t).paused = w.now + w.duration(t) },
			"cut":   func(t *rapid.T) { w.t = t; w.pick(t).cut = w.now + w.duration(t) },
			"mute":  func(t *rapid.T) { w.t = t; w.pick(t).mute = w.now + w.duration(t) },
			"stop": func(t *rapid.T) {
				w.t = t
				n := w.pick(t)
				w.step(n, msg.StopRequested{})
				w.pass(3 * time.Second)
				w.boot(n)
			},
			"count": func(t *rapid.T) { w.t = t; w.count(w.pick(t), rapid.IntRange(1, 9).Draw(t, "runs")) },
		})
	})
}

// TestDutiesOnACalmDay reports every run and brings the engines into their
// roles.
func TestDutiesOnACalmDay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t)
		for range 30 {
			w.count(w.pick(t), rapid.IntRange(0, 5).Draw(t, "runs"))
			w.pass(time.Second)
		}
		w.pass(15 * time.Second)
		for window, begun := range w.begun {
			var sum int64
			for _, n := range w.usage[window] {
				sum += n
			}
			if sum != begun {
				t.Fatalf("window %d: %d of %d runs were reported", window, sum, begun)
			}
		}
		decoding := 0
		for _, e := range w.engines {
			if e.Role == msg.RoleDecode {
				decoding++
			}
		}
		if decoding != 4 {
			t.Fatalf("%d of %d engines decode", decoding, len(w.engines))
		}
	})
}
