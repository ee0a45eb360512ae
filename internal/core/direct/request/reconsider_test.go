package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// newSlowPrefill returns a harness in which a prefill has been sent to one of two
// prefill engines.
func newSlowPrefill(t *testing.T) (*harness, msg.StartDirectAttempt) {
	h := newReadyHarness(t)
	list := testInstances()
	other := list[4]
	other.Target, other.Addr = "pre-2", "10.0.2.2:1"
	h.setInstances(list[2], list[4], other)
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: time.Minute})
	h.arrive("/chat/x", prompt(1, 4000, 1000))
	return h, h.started()
}

// moved returns the attempt that a tick after the given time starts in place of
// another one.
func (h *harness) moved(after time.Duration) (msg.StartDirectAttempt, bool) {
	h.now += after
	tick(h)
	return find[msg.StartDirectAttempt](h)
}

// A prefill at an engine that has turned slow starts again elsewhere while its
// objective can still be met, and not later.
func TestPrefillLeavesSlowEngineWhileInTime(t *testing.T) {
	h, slow := newSlowPrefill(t)
	_, ok := h.moved(250 * time.Millisecond)
	h.is.True(!ok) // not yet overdue beyond chance
	a, ok := h.moved(100 * time.Millisecond)
	h.is.True(ok)
	h.is.True(a.Spec.Target != slow.Spec.Target)
	cancelled, ok := find[msg.CancelAttempt](h)
	h.is.True(ok)
	h.is.Equal(cancelled.Attempt, slow.Attempt)

	h, _ = newSlowPrefill(t)
	_, ok = h.moved(750 * time.Millisecond)
	h.is.True(!ok) // no engine can be in time
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
