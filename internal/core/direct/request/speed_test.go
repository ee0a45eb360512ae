package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// answerWithPace sends a request of a plain service and lets it be answered with a pace.
func (h *harness) answerWithPace(pace float64) {
	h.arrive("/lookup/x")
	a := h.started()
	h.now += 20 * time.Millisecond
	h.end(a.Attempt, msg.DirectDone, func(ev *msg.DirectAttemptEnded) {
		ev.Load = &msg.TargetLoad{Running: 1, Slots: 6, Pace: pace}
	})
}

// paceProbes lets a tick pass and returns the targets whose health checks it asks for.
func (h *harness) paceProbes() map[msg.TargetID]msg.CallID {
	h.now += 20 * time.Millisecond
	h.step(msg.RoutesConfirmed{At: h.now})
	h.step(msg.Tick{})
	asked := make(map[msg.TargetID]msg.CallID)
	for _, eff := range h.effects {
		if p, ok := eff.(msg.ProbeTarget); ok {
			asked[p.Target] = p.Call
		}
	}
	return asked
}

// Targets of a service that reports paces are asked for them if the last one is old and
// the service has work. One daemon asks, and tells the others.
func TestOldPacesAreAskedFor(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/lookup/x")
	h.now += 2 * paceProbeInterval
	h.is.Equal(len(h.paceProbes()), 0) // no paces are reported
	for range 12 {
		h.answerWithPace(1)
	}
	h.is.Equal(len(h.paceProbes()), 0) // the paces are fresh
	h.now += paceProbeInterval
	asked := h.paceProbes()
	h.is.Equal(len(asked), 2)
	h.is.Equal(len(h.paceProbes()), 0) // the answers are due
	h.step(msg.TargetProbed{Call: asked["app-1"], Target: "app-1", Result: msg.ProbeUp, Load: &msg.TargetLoad{Pace: 3}})
	for range 4 {
		h.arrive("/lookup/x")
		h.is.Equal(h.started().Spec.Target, msg.TargetID("app-2"))
	}
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}, {Host: "entry-3"}, {Host: "entry-4"}, {Host: "entry-5"}}})
	mine := 0
	for _, target := range h.m.targets {
		if target.paceProbe.assigned {
			mine++
		}
	}
	h.is.True(mine < len(h.m.targets)/2)
}

// A pace counts once, at the time of the head that brought it: the end of a stream brings
// no new one.
func TestPaceCountsFromHeadOfResponse(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/resume/x", prompt(1, 300, 50))
	a := h.started()
	if a.Spec.Step == msg.StepPrefill {
		h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
		a = h.started()
	}
	load := &msg.TargetLoad{Running: 1, Slots: 64, Pace: 2.5}
	h.step(msg.DirectAttemptStarted{Attempt: a.Attempt, Load: load})
	h.now += time.Second
	h.end(a.Attempt, msg.DirectDone, func(ev *msg.DirectAttemptEnded) { ev.Load = load })
	age, ok := h.m.speeds.PaceAge(h.now, a.Spec.Target)
	h.is.True(ok)
	h.is.Equal(age, time.Second)
}
