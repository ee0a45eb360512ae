package targetagent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const pool = "dispatch"

// side runs one agent with a target that answers reads at once.
type side struct {
	agent  *Agent
	now    msg.Time
	report msg.LoadReport
	// leaseEpoch is the epoch in the lease object; platformDown makes reads of
	// it fail.
	leaseEpoch   msg.Epoch
	platformDown bool
	unresponsive bool
	effects      []msg.Effect
}

func newSide(longestOrder time.Duration) *side {
	s := &side{
		agent:      New(Config{MaxOrderDuration: longestOrder}),
		leaseEpoch: 1,
		report:     msg.LoadReport{MaxBatch: 4},
	}
	s.step(msg.Started{
		Self:        msg.Self{Host: "h1", Target: &msg.TargetIdentity{Target: "t1", Pool: pool}},
		Incarnation: "i1",
	})
	return s
}

// step delivers an event to the agent, answers reads of the target and the
// lease, and records the other effects.
func (s *side) step(ev msg.Event) {
	for _, eff := range s.agent.Step(s.now, ev) {
		switch eff := eff.(type) {
		case msg.ReadTarget:
			s.answerRead(eff)
		case msg.GetObject:
			s.answerGet(eff)
		default:
			s.effects = append(s.effects, eff)
		}
	}
}

func (s *side) answerRead(eff msg.ReadTarget) {
	if s.unresponsive {
		s.step(msg.TargetRead{Call: eff.Call, Status: msg.CallUnavailable})
		return
	}
	s.step(msg.TargetRead{Call: eff.Call, Report: s.report})
}

func (s *side) answerGet(eff msg.GetObject) {
	if s.platformDown {
		s.step(msg.GetDone{Call: eff.Call, Status: msg.CallUnavailable})
		return
	}
	body, _ := json.Marshal(msg.LeaseRecord{Epoch: s.leaseEpoch})
	value, _ := json.Marshal(store.Envelope{Body: body})
	s.step(msg.GetDone{Call: eff.Call, Object: msg.Object{Kind: eff.Kind, Name: eff.Name, Version: 1, Value: value}})
}

func (s *side) wait(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += msg.TickInterval
		s.step(msg.Tick{})
	}
}

func (s *side) offer(id msg.AttemptID, gen msg.Generation, idempotent bool) {
	s.step(msg.AttemptOffered{From: "e1", Spec: msg.AttemptSpec{Attempt: id, Generation: gen, Idempotent: idempotent}})
}

func (s *side) order(id msg.OrderID, epoch msg.Epoch, seq uint64, kind msg.OrderKind) {
	s.step(msg.OrderReceived{From: "e1", Order: msg.Order{
		ID: id, Lease: LeaseName(pool), Epoch: epoch, Seq: seq, Kind: kind, Role: msg.RoleDecode,
	}})
}

// apply answers the last order that was sent to the target. With OrderDone the
// target shows its result.
func (s *side) apply(status msg.OrderStatus) {
	o := last[msg.ApplyOrder](s).Order
	if status == msg.OrderDone {
		s.report.Order = o.ID
		s.report.Role = o.Role
	}
	s.step(msg.OrderApplied{Order: o.ID, Status: status})
}

func last[T msg.Effect](s *side) T {
	var found T
	for _, eff := range s.effects {
		if t, ok := eff.(T); ok {
			found = t
		}
	}
	return found
}

func count[T msg.Effect](s *side) int {
	n := 0
	for _, eff := range s.effects {
		if _, ok := eff.(T); ok {
			n++
		}
	}
	return n
}

func (s *side) lastStatus() msg.OrderStatus { return last[msg.SendOrderReply](s).Reply.Status }

func TestAttemptRunsOnceWhileServing(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.offer("a1", 1, true)
	is.Equal(count[msg.RunAttempt](s), 1)
	s.offer("a1", 1, true)
	is.Equal(count[msg.RunAttempt](s), 1)
	is.Equal(last[msg.RefuseAttempt](s).Code, CodeDuplicate)
	is.True(last[msg.RefuseAttempt](s).MayHaveRun)
	s.step(msg.SideAttemptEnded{Attempt: "a1"})
	s.offer("a1", 1, true)
	is.Equal(count[msg.RunAttempt](s), 1)
}

func TestAttemptRefusals(t *testing.T) {
	cases := []struct {
		name string
		code string
		prep func(*side)
	}{
		{"down", CodeDown, func(s *side) { s.unresponsive = true; s.wait(time.Second) }},
		{"crashed", CodeDown, func(s *side) { s.step(msg.TargetCrashed{}) }},
		{"changing", CodeChanging, func(s *side) { s.wait(time.Second); s.order("o1", 1, 1, msg.OrderSetRole) }},
		{"draining", CodeDraining, func(s *side) { s.order("o1", 1, 1, msg.OrderDrain) }},
		{"stopping", CodeDraining, func(s *side) { s.step(msg.StopRequested{}) }},
		{"capacity", CodeCapacity, func(s *side) {
			for i := range 8 {
				s.offer(msg.AttemptID(fmt.Sprint("b", i)), 1, true)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSide(time.Second)
			c.prep(s)
			s.offer("a1", 1, true)
			is.Equal(last[msg.RefuseAttempt](s).Code, c.code)
			is.Equal(last[msg.RefuseAttempt](s).Attempt, msg.AttemptID("a1"))
			is.True(!last[msg.RefuseAttempt](s).MayHaveRun)
		})
	}
}

func TestTargetIsNotUsedBeforeItsFirstRead(t *testing.T) {
	is := is.New(t)
	a := New(Config{})
	a.Step(0, msg.Started{Self: msg.Self{Target: &msg.TargetIdentity{Target: "t1", Pool: pool}}})
	effs := a.Step(0, msg.AttemptOffered{Spec: msg.AttemptSpec{Attempt: "a1"}})
	is.Equal(effs[0].(msg.RefuseAttempt).Code, CodeStarting)
	effs = a.Step(0, msg.OrderReceived{Order: msg.Order{ID: "o1", Lease: LeaseName(pool), Kind: msg.OrderDrain}})
	is.Equal(effs[1].(msg.SendOrderReply).Reply.Status, msg.OrderNotReady)
}

func TestStaleGenerationIsRefusedAfterTheLimit(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.offer("a1", 7, true)
	s.offer("a2", 6, true)
	is.Equal(count[msg.RunAttempt](s), 2)
	s.wait(staleGenerationGrace + msg.TickInterval)
	s.offer("a3", 6, true)
	is.Equal(last[msg.RefuseAttempt](s).Code, CodeStaleGeneration)
	s.offer("a4", 7, true)
	is.Equal(count[msg.RunAttempt](s), 3)
}

func TestOrderFencing(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.wait(time.Second)
	s.leaseEpoch = 5
	s.order("o1", 4, 1, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderStale) // the lease shows a newer holder
	s.order("o2", 5, 1, msg.OrderSetRole)
	s.apply(msg.OrderDone)
	is.Equal(s.lastStatus(), msg.OrderDone)
	s.platformDown = true
	s.order("o3", 4, 9, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderStale) // the epoch is below the highest one seen
	s.order("o4", 5, 2, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderNotReady) // the lease can't be confirmed
	s.platformDown = false
	s.order("o5", 5, 1, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderStale) // a later order was executed before it arrived
	is.Equal(count[msg.ApplyOrder](s), 1)
}

func TestNewAgentWaitsForOrderOfPreviousProcess(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.order("o1", 1, 1, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderNotReady)
	s.wait(time.Second)
	s.order("o1", 1, 1, msg.OrderSetRole)
	is.Equal(count[msg.ApplyOrder](s), 1)
}

func TestOneOrderAtATimeAndRepeatsGetSameReply(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.wait(time.Second)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.order("o2", 1, 2, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderBusy)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.apply(msg.OrderDone)
	is.Equal(count[msg.ApplyOrder](s), 1)
	is.Equal(s.lastStatus(), msg.OrderDone)
	s.order("o1", 1, 1, msg.OrderSetRole)
	is.Equal(count[msg.ApplyOrder](s), 1)
	is.Equal(s.lastStatus(), msg.OrderDone)
}

func TestUnknownOrderResultIsSettledByReadBack(t *testing.T) {
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprint(executed), func(t *testing.T) {
			is := is.New(t)
			s := newSide(time.Second)
			s.wait(time.Second)
			s.order("o1", 1, 1, msg.OrderSetRole)
			s.report.Phase = msg.PhaseChanging
			s.apply(msg.OrderUnknown)
			s.wait(100 * time.Millisecond)
			is.Equal(count[msg.SendOrderReply](s), 0) // the target is still changing
			s.report.Phase = msg.PhaseServing
			if executed {
				s.report.Order = "o1"
			}
			s.wait(time.Second)
			is.Equal(s.lastStatus() == msg.OrderDone, executed)
			is.Equal(s.lastStatus() == msg.OrderFailed, !executed)
		})
	}
}

func TestChangingTargetTakesNoFurtherOrder(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.wait(time.Second)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.report.Phase = msg.PhaseChanging
	s.wait(10 * time.Second)
	is.Equal(s.lastStatus(), msg.OrderUnknown)
	s.order("o2", 1, 2, msg.OrderSetRole)
	is.Equal(s.lastStatus(), msg.OrderBusy)
	is.Equal(count[msg.ApplyOrder](s), 1)
}

func TestCrashDuringOrderFailsTheOrder(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.wait(time.Second)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.unresponsive = true
	s.step(msg.TargetCrashed{})
	s.apply(msg.OrderUnknown)
	s.wait(500 * time.Millisecond)
	is.Equal(count[msg.SendOrderReply](s), 0)
	s.unresponsive = false
	s.wait(time.Second)
	is.Equal(s.lastStatus(), msg.OrderFailed)
	is.Equal(s.agent.phase(), msg.PhaseServing)
}

func TestRoleChangeWaitsForNonIdempotentAttempts(t *testing.T) {
	is := is.New(t)
	s := newSide(20 * time.Second)
	s.wait(20 * time.Second)
	s.offer("a1", 1, true)
	s.offer("a2", 1, false)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.wait(defaultMoveAfter)
	is.Equal(last[msg.StopAttempt](s), msg.StopAttempt{Attempt: "a1", Move: true, Reason: "the target is draining"})
	is.Equal(count[msg.StopAttempt](s), 1)
	s.step(msg.SideAttemptEnded{Attempt: "a1", Result: msg.AttemptMoved})
	s.wait(time.Second)
	is.Equal(count[msg.ApplyOrder](s), 0) // a2 is not idempotent and still runs
	s.step(msg.SideAttemptEnded{Attempt: "a2"})
	is.Equal(count[msg.ApplyOrder](s), 1)
}

func TestDrainTimeoutFailsOrderWithoutEffect(t *testing.T) {
	is := is.New(t)
	s := newSide(10 * time.Second)
	s.wait(10 * time.Second)
	s.offer("a1", 1, false)
	s.order("o1", 1, 1, msg.OrderSetRole)
	s.wait(10 * time.Second)
	is.Equal(s.lastStatus(), msg.OrderFailed)
	is.Equal(count[msg.ApplyOrder](s), 0)
	s.offer("a2", 1, true)
	is.Equal(count[msg.RunAttempt](s), 2)
}

func TestDrainHoldsUntilResume(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.order("o1", 1, 1, msg.OrderDrain)
	is.Equal(s.lastStatus(), msg.OrderDone)
	s.wait(time.Minute)
	s.offer("a1", 1, true)
	is.Equal(count[msg.RunAttempt](s), 0)
	s.order("o2", 1, 2, msg.OrderResume)
	s.offer("a2", 1, true)
	is.Equal(count[msg.RunAttempt](s), 1)
}

func TestStopWaitsForRunningAttempts(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.offer("a1", 1, false)
	s.step(msg.StopRequested{})
	s.wait(time.Minute)
	is.Equal(count[msg.StopCompleted](s), 0)
	s.step(msg.SideAttemptEnded{Attempt: "a1"})
	is.Equal(count[msg.StopCompleted](s), 0)
	s.wait(stopQuietPeriod)
	is.Equal(count[msg.StopCompleted](s), 1)
	is.Equal(last[msg.PublishReport](s).Report.Phase, msg.PhaseDraining)
}

// An entry daemon that has not yet received the draining report offers an
// attempt. If the side daemon exits before it refuses the offer, the attempt's
// outcome is unknown (found by TestPlannedStopsCutNothing, rapid.seed=20262856).
func TestStopWaitsForOffersInTransit(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.step(msg.StopRequested{})
	s.wait(stopQuietPeriod / 2)
	s.offer("late", 1, false)
	is.Equal(count[msg.RefuseAttempt](s), 1)
	s.wait(stopQuietPeriod * 3 / 4)
	is.Equal(count[msg.StopCompleted](s), 0) // the quiet period lets the refusal arrive
	s.wait(stopQuietPeriod / 2)
	is.Equal(count[msg.StopCompleted](s), 1)
}

func TestIdempotentAttemptsOfDisconnectedEntryAreStopped(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	s.offer("a1", 1, true)
	s.offer("a2", 1, false)
	s.step(msg.EntryDisconnected{Host: "e1"})
	s.wait(defaultEntryGrace)
	is.Equal(count[msg.StopAttempt](s), 0)
	s.wait(time.Second)
	is.Equal(last[msg.StopAttempt](s).Attempt, msg.AttemptID("a1"))
	is.Equal(count[msg.StopAttempt](s), 1)
}
