package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// moved returns the attempt that a tick after the given time starts in place of
// another one.
func (h *harness) moved(after time.Duration) (msg.StartDirectAttempt, bool) {
	h.now += after
	tick(h)
	return find[msg.StartDirectAttempt](h)
}

// An idempotent request leaves a target that does not respond, once, and what may have
// run is then never called not run. A request that must not run twice stays.
func TestIdempotentRequestLeavesSilentTarget(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/lookup/x")
	first := h.started()
	a, ok := h.moved(300 * time.Millisecond)
	h.is.True(ok)
	h.is.True(a.Spec.Target != first.Spec.Target)
	_, ok = h.moved(600 * time.Millisecond)
	h.is.True(!ok) // the route allows two attempts
	h.end(a.Attempt, msg.DirectNotRun)
	h.is.Equal(h.refused().Status, statusBadGateway)

	h = newReadyHarness(t)
	h.arrive("/order/x")
	_, ok = h.moved(600 * time.Millisecond)
	h.is.True(!ok)
}

// The answers of two runs were joined: a request was taken back from a slow target while
// the answer was being passed on.
func TestBegunResponseIsNotTakenBack(t *testing.T) {
	for name, begin := range map[string]func(msg.AttemptID) msg.Event{
		"body":   func(id msg.AttemptID) msg.Event { return msg.DirectBodyStarted{Attempt: id} },
		"stream": func(id msg.AttemptID) msg.Event { return msg.DirectAttemptStarted{Attempt: id} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.arrive("/lookup/x")
			a := h.started()
			h.step(begin(a.Attempt))
			_, moved := h.moved(time.Second)
			h.is.True(!moved)
			h.end(a.Attempt, msg.DirectDone)
			_, finished := find[msg.FinishRequest](h)
			h.is.True(finished)
		})
	}
}

// The begin of a response and the decision to take its request back may cross. The response
// was cut then, although its target was sound.
func TestResponseThatBeginsAsItIsTakenBackGoesOn(t *testing.T) {
	for name, begin := range map[string]func(msg.AttemptID) msg.Event{
		"body":  func(id msg.AttemptID) msg.Event { return msg.DirectBodyStarted{Attempt: id} },
		"whole": func(id msg.AttemptID) msg.Event { return msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectDone} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.arrive("/lookup/x")
			first := h.started()
			second, ok := h.moved(300 * time.Millisecond)
			h.is.True(ok)
			taken, _ := find[msg.CancelAttempt](h)
			h.is.True(taken.Attempt == first.Attempt && taken.UnlessBegun)
			h.step(begin(first.Attempt))
			given, ok := find[msg.CancelAttempt](h)
			h.is.True(ok && given.Attempt == second.Attempt)
			if name == "body" {
				h.end(first.Attempt, msg.DirectDone)
			}
			_, finished := find[msg.FinishRequest](h)
			h.is.True(finished)
			h.end(second.Attempt, msg.DirectCancelled)
			h.is.Equal(len(h.m.attempts), 0)
		})
	}
}

// An attempt that has begun to answer goes on after its request was taken back, and would
// outlive a request that ends meanwhile.
func TestTakenBackAttemptEndsWithItsRequest(t *testing.T) {
	h := newReadyHarness(t)
	id := h.arrive("/lookup/x")
	first := h.started()
	_, ok := h.moved(300 * time.Millisecond)
	h.is.True(ok)
	h.step(msg.CallerDisconnected{Req: id})
	h.step(msg.DirectBodyStarted{Attempt: first.Attempt})
	cancel, ok := find[msg.CancelAttempt](h)
	h.is.True(ok && cancel.Attempt == first.Attempt && !cancel.UnlessBegun)
}
