package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A request's second prefill and the decode step that follows it are both
// retries.
func TestBudgetCountsSecondPrefillAndItsDecode(t *testing.T) {
	h := newReadyHarness(t)
	handle := func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" }
	h.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := h.started()
	h.is.Equal(a.Spec.Step, msg.StepPrefill)
	h.end(a.Attempt, msg.DirectPrefilled, handle)
	a = h.started()
	h.is.Equal(a.Spec.Step, msg.StepDecode)
	h.is.Equal(len(h.m.retryBudgets["llm"].retries), 0) // neither the first prefill nor the first run is a retry
	h.end(a.Attempt, msg.DirectNotRun, func(ev *msg.DirectAttemptEnded) { ev.Status = 503 })
	a = h.started()
	h.is.Equal(a.Spec.Step, msg.StepPrefill)
	h.is.Equal(len(h.m.retryBudgets["llm"].retries), 1)
	h.end(a.Attempt, msg.DirectPrefilled, handle)
	h.is.Equal(h.started().Spec.Step, msg.StepDecode)
	h.is.Equal(len(h.m.retryBudgets["llm"].retries), 2)
}

// An attempt that could not connect to its target does not count, so that the
// next attempt is not a retry.
func TestBudgetIgnoresUnreachableTargets(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/lookup/x")
	h.end(h.started().Attempt, msg.DirectUnreachable)
	h.is.Equal(len(h.m.retryBudgets["app"].retries), 0)
	h.end(h.started().Attempt, msg.DirectFailed)
	h.is.Equal(len(h.m.retryBudgets["app"].retries), 0) // the request ends because both targets failed it
	_, ok := find[msg.ForwardFailure](h)
	h.is.True(ok)
}

func TestExhaustedBudgetPreventsRetries(t *testing.T) {
	h := newHarness(t)
	h.m.limits.RetryRatio = 0
	h.m.limits.RetrySlack = 3
	h.configure(testTable())
	h.setInstances(testInstances()...)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	h.arrive("/lookup/a")
	h.end(h.started().Attempt, msg.DirectNotRun)
	h.end(h.started().Attempt, msg.DirectDone)
	h.arrive("/lookup/b")
	h.end(h.started().Attempt, msg.DirectNotRun)
	ref := h.refused()
	h.is.Equal(ref.Status, 503)
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	h.is.Equal(ref.Code, "no-budget")
	h.advance(11 * time.Second)
	h.arrive("/lookup/c")
	h.end(h.started().Attempt, msg.DirectNotRun)
	h.started() // the earlier retries have left the time window
}

// The list of counted requests must not grow with time.
func TestBudgetKeepsOnlyRecentRequests(t *testing.T) {
	h := newReadyHarness(t)
	for range 200 {
		h.now += testLimits.RetryWindow / 10
		h.step(msg.RoutesConfirmed{At: h.now})
		h.arrive("/lookup/x")
		h.end(h.started().Attempt, msg.DirectDone)
	}
	h.is.True(len(h.m.retryBudgets["app"].requests) <= 11)
}
