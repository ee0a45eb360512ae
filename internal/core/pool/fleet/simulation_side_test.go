package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
)

// testSide is a target agent and its engine.
type testSide struct {
	id          msg.TargetID
	domain      msg.FailureDomain
	agent       *targetagent.Agent
	report      msg.LoadReport
	down        bool
	cutOff      bool
	busy        *msg.Order
	epoch       msg.Epoch // epoch of the last order that took effect
	crashesLeft int       // number of next orders during which the engine crashes
	starts      int
	roleChanges int // number of role changes that took effect
}

func (sim *simulation) addSide(id msg.TargetID, d msg.FailureDomain) *testSide {
	s := &testSide{id: id, domain: d}
	s.report = msg.LoadReport{
		MaxBatch: 64, PrefillRate: 20_000, StepTime: 44 * time.Millisecond, Running: 64,
		Models: []msg.LoadedModel{{Model: "m", Version: "1"}},
	}
	sim.sides = append(sim.sides, s)
	sim.startSide(s)
	return s
}

// startSide starts a new side daemon for the engine.
func (sim *simulation) startSide(s *testSide) {
	s.starts++
	s.agent = targetagent.New(targetagent.Config{MaxOrderDuration: 10 * time.Second})
	sim.stepSide(s, msg.Started{
		Self: msg.Self{
			Host: msg.HostID("h-" + s.id), Domain: s.domain,
			Target: &msg.TargetIdentity{Target: s.id, Pool: testPool},
		},
		Incarnation: msg.Incarnation(fmt.Sprint(s.starts)),
	})
}

func (sim *simulation) side(id msg.TargetID) *testSide {
	i := slices.IndexFunc(sim.sides, func(s *testSide) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return sim.sides[i]
}

func (sim *simulation) stepSide(s *testSide, ev msg.Event) {
	if s.cutOff {
		return
	}
	agent := s.agent
	for _, eff := range agent.Step(sim.now, ev) {
		if sim.respondToStoreCall(eff, func(ev msg.Event) {
			if s.agent == agent {
				sim.stepSide(s, ev)
			}
		}) {
			continue
		}
		switch eff := eff.(type) {
		case msg.ReadTarget:
			sim.readTarget(s, eff)
		case msg.ApplyOrder:
			sim.startOrder(s, agent, eff.Order)
		case msg.SendOrderReply:
			sim.replyToOrder(s, eff)
		case msg.PublishReport:
			sim.publish(s, eff.Report)
		}
	}
}

func (sim *simulation) readTarget(s *testSide, eff msg.ReadTarget) {
	ev := msg.TargetRead{Call: eff.Call, Report: s.report}
	ev.Report.Phase = msg.PhaseServing
	if s.busy != nil {
		ev.Report.Phase = msg.PhaseChanging
	}
	if s.down {
		ev = msg.TargetRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	sim.schedule(0, func() { sim.stepSide(s, ev) })
}

// startOrder lets the engine execute an order for changeTime. The engine may
// crash meanwhile, and its reply may be lost.
func (sim *simulation) startOrder(s *testSide, agent *targetagent.Agent, o msg.Order) {
	if s.busy != nil {
		sim.recordViolation("%s still executes order %s when it gets order %s", s.id, s.busy.ID, o.ID)
	}
	if o.Epoch < s.epoch {
		sim.recordViolation("%s gets an order of epoch %d after one of epoch %d", s.id, o.Epoch, s.epoch)
	}
	s.busy = &o
	sim.schedule(sim.changeTime, func() { sim.finishOrder(s, agent, o) })
}

func (sim *simulation) finishOrder(s *testSide, agent *targetagent.Agent, o msg.Order) {
	if s.busy == nil || s.busy.ID != o.ID {
		return
	}
	s.busy = nil
	status := msg.OrderDone
	switch {
	case s.crashesLeft > 0:
		s.crashesLeft--
		sim.crash(s)
		status = msg.OrderUnknown
	case s.down:
		status = msg.OrderUnknown
	default:
		s.applyOrder(o)
	}
	if s.agent == agent && !sim.drawLoss() {
		sim.stepSide(s, msg.OrderApplied{Order: o.ID, Status: status})
	}
}

func (s *testSide) applyOrder(o msg.Order) {
	s.report.Order = o.ID
	s.epoch = o.Epoch
	switch o.Kind {
	case msg.OrderSetRole:
		s.roleChanges++
		s.report.Role = o.Role
	case msg.OrderLoadModel:
		s.report.Models = []msg.LoadedModel{{Model: o.Model, Version: o.Version}}
	case msg.OrderLoadAdapter:
		s.report.Models[0].Adapters = append(slices.Clone(s.report.Models[0].Adapters), o.Adapter)
	}
}

func (sim *simulation) crash(s *testSide) {
	s.down = true
	s.busy = nil
	sim.stepSide(s, msg.TargetCrashed{})
	sim.schedule(3*time.Second, func() { s.down = false })
}

func (sim *simulation) replyToOrder(s *testSide, eff msg.SendOrderReply) {
	for _, e := range sim.entries {
		if e.host == eff.To {
			a := eff.Reply
			sim.reply(e, msg.OrderResultReceived{Target: s.id, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
		}
	}
}

func (sim *simulation) publish(s *testSide, r msg.LoadReport) {
	for _, e := range sim.entries {
		sim.step(e, msg.TargetReported{
			Target: msg.TargetIdentity{Target: s.id, Pool: testPool},
			Host:   msg.HostID("h-" + s.id), Domain: s.domain, Report: r,
		})
	}
}
