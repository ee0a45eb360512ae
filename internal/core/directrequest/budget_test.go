package directrequest

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A second prefill and the decode that follows it are both arrivals beyond
// the request's first.
func TestBudgetCountsSecondPrefillAndItsDecode(t *testing.T) {
	w := readyWorld(t)
	handle := func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" }
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := w.started()
	w.is.Equal(a.Spec.Step, msg.StepPrefill)
	w.end(a.Attempt, msg.DirectPrefilled, handle)
	a = w.started()
	w.is.Equal(a.Spec.Step, msg.StepDecode)
	w.is.Equal(len(w.m.budgets["llm"].repeats), 0) // neither the prefill nor the first run is a repeat
	w.end(a.Attempt, msg.DirectNotRun, func(ev *msg.DirectAttemptEnded) { ev.Status = 503 })
	a = w.started()
	w.is.Equal(a.Spec.Step, msg.StepPrefill)
	w.is.Equal(len(w.m.budgets["llm"].repeats), 1)
	w.end(a.Attempt, msg.DirectPrefilled, handle)
	w.is.Equal(w.started().Spec.Step, msg.StepDecode)
	w.is.Equal(len(w.m.budgets["llm"].repeats), 2)
}

// A connection that never opened is no arrival.
func TestBudgetDoesNotCountUnreached(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/lookup/x")
	w.end(w.started().Attempt, msg.DirectUnreachable)
	w.is.Equal(len(w.m.budgets["app"].repeats), 0)
	w.end(w.started().Attempt, msg.DirectFailed)
	w.is.Equal(len(w.m.budgets["app"].repeats), 0) // both targets failed it: it ends
	_, ok := find[msg.ForwardFailure](w)
	w.is.True(ok)
}

func TestBudgetEnds(t *testing.T) {
	w := newWorld(t)
	w.m.limits.RetryRatio = 0
	w.m.limits.RetrySlack = 3
	w.configure(testTable())
	w.list(testInstances()...)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	w.arrive("/lookup/a")
	w.end(w.started().Attempt, msg.DirectNotRun)
	w.end(w.started().Attempt, msg.DirectDone)
	w.arrive("/lookup/b")
	w.end(w.started().Attempt, msg.DirectNotRun)
	ref := w.refused()
	w.is.Equal(ref.Status, 503)
	w.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	w.is.Equal(ref.Code, "no-budget")
	w.pass(11 * time.Second)
	w.arrive("/lookup/c")
	w.end(w.started().Attempt, msg.DirectNotRun)
	w.started() // the window has moved on
}

// The counts of requests do not grow with time.
func TestBudgetForgets(t *testing.T) {
	w := readyWorld(t)
	for range 200 {
		w.now += testLimits.RetryWindow / 10
		w.step(msg.RoutesConfirmed{At: w.now})
		w.arrive("/lookup/x")
		w.end(w.started().Attempt, msg.DirectDone)
	}
	w.is.True(len(w.m.budgets["app"].requests) <= 11)
}
