package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	testPool    = "dispatch"
	leaseLength = 5 * time.Second
)

// simulation runs entry daemons with controllers against target agents with simulated
// engines, with one clock and a platform in memory.
type simulation struct {
	now     msg.Time
	rng     *rand.Rand
	objects *coretest.Objects
	entries []*testEntry
	sides   []*testSide
	holder  int // index of the lease holder, or -1
	epoch   msg.Epoch
	version msg.Version
	// lossRate is the share of orders, replies and responses that are lost.
	lossRate float64
	// platformDown makes calls to the object API fail.
	platformDown bool
	// changeTime is how long engines take to execute an order.
	changeTime   time.Duration
	due          []timedEvent
	violations   []string
	operatorCall msg.CallID

	// rejectsFirstToken makes the platform reject all requests with the first token,
	// which it keeps in rejectedToken.
	rejectsFirstToken bool
	rejectedToken     string

	provisioned []msg.ProvisionTarget
	released    []msg.ReleaseTarget
	listed      []msg.ProvisionedTarget
}

// timedEvent is an event that is to be delivered later.
type timedEvent struct {
	at      msg.Time
	deliver func()
}

// testEntry is an entry daemon with its controller.
type testEntry struct {
	host         msg.HostID
	ctl          *Controller
	reducer      *reducer.Reducer
	epoch        msg.Epoch
	until        msg.Time
	paused       bool
	queue        []msg.Event // events that arrived while the daemon was paused
	lines        []msg.LogLine
	drainAnswers []msg.AnswerDrainRequest
}

func newSimulation(seed uint64, m *manifest.Manifest, engines, domains int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), objects: coretest.NewObjects(), holder: -1, changeTime: 2 * time.Second}
	for i := range engines {
		sim.addSide(msg.TargetID(fmt.Sprintf("t%02d", i)), msg.FailureDomain(fmt.Sprintf("d%d", i%domains)))
	}
	for i := range 2 {
		e := &testEntry{host: msg.HostID(fmt.Sprintf("e%d", i)), ctl: New(Config{})}
		e.reducer = reducer.New(e.ctl)
		sim.entries = append(sim.entries, e)
		sim.step(e, msg.Started{Self: msg.Self{Host: e.host}, Incarnation: "1"})
		sim.configure(e, m)
	}
	return sim
}

func (sim *simulation) configure(e *testEntry, m *manifest.Manifest) {
	sim.step(e, msg.ConfigChanged{Generation: 1, Index: manifest.NewIndex(m)})
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) drawLoss() bool { return sim.rng.Float64() < sim.lossRate }

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.due = append(sim.due, timedEvent{sim.now + d, f})
}

func (sim *simulation) step(e *testEntry, ev msg.Event) {
	e.queue = append(e.queue, ev)
	for !e.paused && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		sim.handle(e, next)
	}
}

func (sim *simulation) handle(e *testEntry, ev msg.Event) {
	for _, eff := range e.reducer.Step(sim.now, ev) {
		sim.execute(e, eff)
	}
}

func (sim *simulation) execute(e *testEntry, eff msg.Effect) {
	if sim.respondToStoreCall(eff, func(ev msg.Event) { sim.step(e, ev) }) {
		return
	}
	switch eff := eff.(type) {
	case msg.LogLine:
		e.lines = append(e.lines, eff)
	case msg.AnswerDrainRequest:
		e.drainAnswers = append(e.drainAnswers, eff)
	case msg.SendOrder:
		sim.sendOrder(e, eff)
	case msg.ListTargets:
		sim.schedule(0, func() {
			sim.step(e, msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: slices.Clone(sim.listed)})
		})
	case msg.ProvisionTarget:
		sim.provisioned = append(sim.provisioned, eff)
		if sim.rejectsFirstToken && sim.rejectedToken == "" {
			sim.rejectedToken = eff.Token
		}
		if eff.Token == sim.rejectedToken {
			sim.reply(e, msg.TargetProvisionDone{Call: eff.Call, Status: msg.CallRejected})
			return
		}
		sim.provisionTarget(eff)
		sim.reply(e, msg.TargetProvisionDone{Call: eff.Call})
	case msg.ReleaseTarget:
		sim.released = append(sim.released, eff)
		sim.listed = slices.DeleteFunc(sim.listed, func(t msg.ProvisionedTarget) bool { return t.Target == eff.Target })
		sim.reply(e, msg.TargetProvisionDone{Call: eff.Call, Target: eff.Target})
	}
}

func (sim *simulation) reply(e *testEntry, ev msg.Event) {
	if !sim.drawLoss() {
		sim.schedule(0, func() { sim.step(e, ev) })
	}
}

// provisionTarget delivers a target at once, but only one for each token.
func (sim *simulation) provisionTarget(eff msg.ProvisionTarget) {
	same := func(t msg.ProvisionedTarget) bool { return t.Token == eff.Token }
	if slices.ContainsFunc(sim.listed, same) {
		return
	}
	id := msg.TargetID(fmt.Sprintf("n%02d", len(sim.provisioned)))
	sim.listed = append(sim.listed, msg.ProvisionedTarget{Target: id, Pool: eff.Pool, Domain: eff.Domain, Token: eff.Token, Ready: true})
}

// respondToStoreCall responds to calls of the object API after 20
// milliseconds, and reports whether the effect is one.
func (sim *simulation) respondToStoreCall(eff msg.Effect, reply func(msg.Event)) bool {
	if ev, ok := coretest.Failed(eff, msg.CallUnavailable); ok && sim.platformDown {
		sim.schedule(20*time.Millisecond, func() { reply(ev) })
		return true
	}
	ev, ok := sim.objects.Do(eff)
	if !ok {
		return false
	}
	if _, put := eff.(msg.PutObject); put && sim.drawLoss() {
		ev, _ = coretest.Failed(eff, msg.CallUnknown)
	}
	sim.schedule(20*time.Millisecond, func() { reply(ev) })
	return true
}

func (sim *simulation) sendOrder(e *testEntry, eff msg.SendOrder) {
	s := sim.side(eff.Target)
	if s == nil || sim.now > eff.NotAfter || sim.drawLoss() {
		return
	}
	sim.schedule(10*time.Millisecond, func() { sim.stepSide(s, msg.OrderReceived{From: e.host, Order: eff.Order}) })
}

// grantLease gives the lease to an entry daemon. The former holder notices only
// when its lease expires.
func (sim *simulation) grantLease(i int) {
	sim.epoch++
	sim.holder = i
	body, _ := json.Marshal(msg.LeaseRecord{Holder: sim.entries[i].host, Epoch: sim.epoch})
	value, _ := json.Marshal(store.Envelope{Body: body})
	done, _ := sim.objects.Do(msg.PutObject{Kind: msg.KindLease, Name: "fleet/" + testPool, Value: value, IfVersion: sim.version})
	sim.version = done.(msg.PutDone).Version
	sim.entries[i].epoch = sim.epoch
	sim.renewLease()
}

// moveLease lets the lease expire and gives it to the other entry daemon.
func (sim *simulation) moveLease() {
	sim.holder = -1
	sim.advance(leaseLength + time.Second)
	next := 0
	if sim.entries[0].epoch == sim.epoch {
		next = 1
	}
	sim.grantLease(next)
}

func (sim *simulation) renewLease() {
	if sim.holder < 0 {
		return
	}
	e := sim.entries[sim.holder]
	e.until = sim.now + leaseLength
	sim.step(e, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: e.epoch, Until: e.until})
}

// advance runs the simulation for the given time.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += 100 * time.Millisecond
		sim.deliverDue()
		if sim.now%time.Second == 0 {
			sim.renewLease()
		}
		for i, e := range sim.entries {
			if i != sim.holder && e.until != 0 && sim.now >= e.until {
				e.until = 0
				sim.step(e, msg.LeaseChanged{Name: "fleet/" + testPool})
			}
			if !e.paused {
				sim.step(e, msg.Tick{})
			}
		}
		for _, s := range sim.sides {
			sim.stepSide(s, msg.Tick{})
		}
		sim.deliverDue()
	}
}

func (sim *simulation) deliverDue() {
	for len(sim.due) > 0 {
		i := -1
		for j, t := range sim.due {
			if t.at <= sim.now && (i < 0 || t.at < sim.due[i].at) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		t := sim.due[i]
		sim.due = slices.Delete(sim.due, i, i+1)
		t.deliver()
	}
}

// holderController returns the controller of the lease holder.
func (sim *simulation) holderController() *Controller { return sim.entries[sim.holder].ctl }

func (sim *simulation) record() *Record {
	return sim.holderController().pools[testPool].authority.record
}
