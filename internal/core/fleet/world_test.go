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
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	testPool    = "dispatch"
	leaseLength = 5 * time.Second
)

// world runs entries with controllers against gates with modelled engines,
// under one clock and a platform in memory.
type world struct {
	now     msg.Time
	rng     *rand.Rand
	objects *coretest.Objects
	entries []*testEntry
	sides   []*testSide
	holder  int // -1 for none
	epoch   msg.Epoch
	version msg.Version
	// lose is the share of answers and orders that are lost.
	lose float64
	// platformDown makes calls to the object API fail.
	platformDown bool
	// changeTime is how long engines work on an order.
	changeTime   time.Duration
	due          []timed
	violations   []string
	operatorCall msg.CallID

	ordered   []msg.ProvisionTarget
	withdrawn []msg.ReleaseTarget
	listed    []msg.ProvisionedTarget
}

// timed is an event that is yet to be delivered.
type timed struct {
	at      msg.Time
	deliver func()
}

type testEntry struct {
	host    msg.HostID
	ctl     *Controller
	reducer *reducer.Reducer
	epoch   msg.Epoch
	until   msg.Time
	paused  bool
	queue   []msg.Event // what came while it was paused
	lines   []msg.LogLine
	drained []msg.AnswerDrainRequest
}

// testSide is a target agent and its engine.
type testSide struct {
	id     msg.TargetID
	domain msg.FailureDomain
	agent  *targetagent.Agent
	report msg.LoadReport
	down   bool
	lost   bool
	busy   *msg.Order
	epoch  msg.Epoch // of the last order that took effect
	failAt int       // crash in the middle of the next n orders
	starts int
	roles  int // role changes that took effect
}

func newWorld(seed uint64, m *manifest.Manifest, engines, domains int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), objects: coretest.NewObjects(), holder: -1, changeTime: 2 * time.Second}
	for i := range engines {
		w.addSide(msg.TargetID(fmt.Sprintf("t%02d", i)), msg.FailureDomain(fmt.Sprintf("d%d", i%domains)))
	}
	for i := range 2 {
		e := &testEntry{host: msg.HostID(fmt.Sprintf("e%d", i)), ctl: New(Config{})}
		e.reducer = reducer.New(e.ctl)
		w.entries = append(w.entries, e)
		w.step(e, msg.Started{Self: msg.Self{Host: e.host}, Incarnation: "1"})
		w.configure(e, m)
	}
	return w
}

func (w *world) configure(e *testEntry, m *manifest.Manifest) {
	w.step(e, msg.ConfigChanged{Generation: 1, Index: manifest.NewIndex(m)})
}

func (w *world) addSide(id msg.TargetID, d msg.FailureDomain) *testSide {
	s := &testSide{id: id, domain: d}
	s.report = msg.LoadReport{
		MaxBatch: 64, PrefillRate: 20_000, StepTime: 44 * time.Millisecond, Running: 64,
		Models: []msg.LoadedModel{{Model: "m", Version: "1"}},
	}
	w.sides = append(w.sides, s)
	w.startSide(s)
	return s
}

// startSide starts a fresh side daemon beside the engine.
func (w *world) startSide(s *testSide) {
	s.starts++
	s.agent = targetagent.New(targetagent.Config{LongestOrder: 10 * time.Second})
	w.stepSide(s, msg.Started{
		Self: msg.Self{
			Host: msg.HostID("h-" + s.id), Domain: s.domain,
			Target: &msg.TargetIdentity{Target: s.id, Pool: testPool},
		},
		Incarnation: msg.Incarnation(fmt.Sprint(s.starts)),
	})
}

func (w *world) side(id msg.TargetID) *testSide {
	i := slices.IndexFunc(w.sides, func(s *testSide) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return w.sides[i]
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) lost() bool { return w.rng.Float64() < w.lose }

func (w *world) later(d time.Duration, f func()) {
	w.due = append(w.due, timed{w.now + d, f})
}

func (w *world) step(e *testEntry, ev msg.Event) {
	e.queue = append(e.queue, ev)
	for !e.paused && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		w.handle(e, next)
	}
}

func (w *world) handle(e *testEntry, ev msg.Event) {
	for _, eff := range e.reducer.Step(w.now, ev) {
		w.execute(e, eff)
	}
}

func (w *world) execute(e *testEntry, eff msg.Effect) {
	if w.platform(eff, func(ev msg.Event) { w.step(e, ev) }) {
		return
	}
	switch eff := eff.(type) {
	case msg.LogLine:
		e.lines = append(e.lines, eff)
	case msg.AnswerDrainRequest:
		e.drained = append(e.drained, eff)
	case msg.SendOrder:
		w.sendOrder(e, eff)
	case msg.ListTargets:
		w.later(0, func() { w.step(e, msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: slices.Clone(w.listed)}) })
	case msg.ProvisionTarget:
		w.ordered = append(w.ordered, eff)
		w.orderTarget(eff)
		w.answer(e, msg.TargetProvisionDone{Call: eff.Call})
	case msg.ReleaseTarget:
		w.withdrawn = append(w.withdrawn, eff)
		w.listed = slices.DeleteFunc(w.listed, func(t msg.ProvisionedTarget) bool { return t.Target == eff.Target })
		w.answer(e, msg.TargetProvisionDone{Call: eff.Call, Target: eff.Target})
	}
}

func (w *world) answer(e *testEntry, ev msg.Event) {
	if !w.lost() {
		w.later(0, func() { w.step(e, ev) })
	}
}

// orderTarget delivers a target at once, once for each token.
func (w *world) orderTarget(eff msg.ProvisionTarget) {
	same := func(t msg.ProvisionedTarget) bool { return t.Token == eff.Token }
	if slices.ContainsFunc(w.listed, same) {
		return
	}
	id := msg.TargetID(fmt.Sprintf("n%02d", len(w.ordered)))
	w.listed = append(w.listed, msg.ProvisionedTarget{Target: id, Pool: eff.Pool, Domain: eff.Domain, Token: eff.Token, Ready: true})
}

// platform answers calls of the object API, after a short while.
func (w *world) platform(eff msg.Effect, reply func(msg.Event)) bool {
	if ev, ok := coretest.Failed(eff, msg.CallUnavailable); ok && w.platformDown {
		w.later(20*time.Millisecond, func() { reply(ev) })
		return true
	}
	ev, ok := w.objects.Do(eff)
	if !ok {
		return false
	}
	if _, put := eff.(msg.PutObject); put && w.lost() {
		ev, _ = coretest.Failed(eff, msg.CallUnknown)
	}
	w.later(20*time.Millisecond, func() { reply(ev) })
	return true
}

func (w *world) sendOrder(e *testEntry, eff msg.SendOrder) {
	s := w.side(eff.Target)
	if s == nil || w.now > eff.NotAfter || w.lost() {
		return
	}
	w.later(10*time.Millisecond, func() { w.stepSide(s, msg.OrderReceived{From: e.host, Order: eff.Order}) })
}

func (w *world) stepSide(s *testSide, ev msg.Event) {
	if s.lost {
		return
	}
	g := s.agent
	for _, eff := range g.Step(w.now, ev) {
		if w.platform(eff, func(ev msg.Event) {
			if s.agent == g {
				w.stepSide(s, ev)
			}
		}) {
			continue
		}
		switch eff := eff.(type) {
		case msg.ReadTarget:
			w.readTarget(s, eff)
		case msg.ApplyOrder:
			w.apply(s, g, eff.Order)
		case msg.SendOrderReply:
			w.answerOrder(s, eff)
		case msg.PublishReport:
			w.publish(s, eff.Report)
		}
	}
}

func (w *world) readTarget(s *testSide, eff msg.ReadTarget) {
	ev := msg.TargetRead{Call: eff.Call, Report: s.report}
	ev.Report.Phase = msg.PhaseServing
	if s.busy != nil {
		ev.Report.Phase = msg.PhaseChanging
	}
	if s.down {
		ev = msg.TargetRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	w.later(0, func() { w.stepSide(s, ev) })
}

// apply lets the engine work on an order for two seconds. It may crash on the
// way, and its answer may be lost.
func (w *world) apply(s *testSide, g *targetagent.Agent, o msg.Order) {
	if s.busy != nil {
		w.violate("%s works on %s when %s comes", s.id, s.busy.ID, o.ID)
	}
	if o.Epoch < s.epoch {
		w.violate("%s: epoch %d after %d", s.id, o.Epoch, s.epoch)
	}
	s.busy = &o
	w.later(w.changeTime, func() { w.applied(s, g, o) })
}

func (w *world) applied(s *testSide, g *targetagent.Agent, o msg.Order) {
	if s.busy == nil || s.busy.ID != o.ID {
		return
	}
	s.busy = nil
	status := msg.OrderDone
	switch {
	case s.failAt > 0:
		s.failAt--
		w.crash(s)
		status = msg.OrderUnknown
	case s.down:
		status = msg.OrderUnknown
	default:
		s.take(o)
	}
	if s.agent == g && !w.lost() {
		w.stepSide(s, msg.OrderApplied{Order: o.ID, Status: status})
	}
}

func (s *testSide) take(o msg.Order) {
	s.report.Order = o.ID
	s.epoch = o.Epoch
	switch o.Kind {
	case msg.OrderSetRole:
		s.roles++
		s.report.Role = o.Role
	case msg.OrderLoadModel:
		s.report.Models = []msg.LoadedModel{{Model: o.Model, Version: o.Version}}
	case msg.OrderLoadAdapter:
		s.report.Models[0].Adapters = append(slices.Clone(s.report.Models[0].Adapters), o.Adapter)
	}
}

func (w *world) crash(s *testSide) {
	s.down = true
	s.busy = nil
	w.stepSide(s, msg.TargetCrashed{})
	w.later(3*time.Second, func() { s.down = false })
}

func (w *world) answerOrder(s *testSide, eff msg.SendOrderReply) {
	for _, e := range w.entries {
		if e.host == eff.To {
			a := eff.Reply
			w.answer(e, msg.OrderResultReceived{Target: s.id, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
		}
	}
}

func (w *world) publish(s *testSide, r msg.LoadReport) {
	for _, e := range w.entries {
		w.step(e, msg.TargetReported{
			Target: msg.TargetIdentity{Target: s.id, Pool: testPool},
			Host:   msg.HostID("h-" + s.id), Domain: s.domain, Report: r,
		})
	}
}

// grant hands the lease to an entry. The former holder learns of it when its
// time is over.
func (w *world) grant(i int) {
	w.epoch++
	w.holder = i
	body, _ := json.Marshal(msg.LeaseRecord{Holder: w.entries[i].host, Epoch: w.epoch})
	value, _ := json.Marshal(store.Envelope{Body: body})
	done, _ := w.objects.Do(msg.PutObject{Kind: msg.KindLease, Name: "fleet/" + testPool, Value: value, IfVersion: w.version})
	w.version = done.(msg.PutDone).Version
	w.entries[i].epoch = w.epoch
	w.renew()
}

// takeOver lets the lease lapse and hands it to the other entry.
func (w *world) takeOver() {
	w.holder = -1
	w.run(leaseLength + time.Second)
	next := 0
	if w.entries[0].epoch == w.epoch {
		next = 1
	}
	w.grant(next)
}

func (w *world) renew() {
	if w.holder < 0 {
		return
	}
	e := w.entries[w.holder]
	e.until = w.now + leaseLength
	w.step(e, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: e.epoch, Until: e.until})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		w.deliver()
		if w.now%time.Second == 0 {
			w.renew()
		}
		for i, e := range w.entries {
			if i != w.holder && e.until != 0 && w.now >= e.until {
				e.until = 0
				w.step(e, msg.LeaseChanged{Name: "fleet/" + testPool})
			}
			if !e.paused {
				w.step(e, msg.Tick{})
			}
		}
		for _, s := range w.sides {
			w.stepSide(s, msg.Tick{})
		}
		w.deliver()
	}
}

func (w *world) deliver() {
	for len(w.due) > 0 {
		i := -1
		for j, t := range w.due {
			if t.at <= w.now && (i < 0 || t.at < w.due[i].at) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		t := w.due[i]
		w.due = slices.Delete(w.due, i, i+1)
		t.deliver()
	}
}

// active returns the controller that holds the pool.
func (w *world) active() *Controller { return w.entries[w.holder].ctl }

func (w *world) record() *Record { return w.active().pools[testPool].authority.record }
