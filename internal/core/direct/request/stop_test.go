package request

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	testAcceptFor = time.Second
	testDrainFor  = 4 * time.Second
)

// stop requests a stop with the times of the tests, a while after the start.
func (h *harness) stop() {
	h.advance(700 * time.Millisecond)
	h.step(msg.StopRequested{AcceptFor: testAcceptFor, DrainFor: testDrainFor})
}

// newStoppingHarness returns a ready harness without the prefill engine, which is asked
// to stop.
func newStoppingHarness(t *testing.T) *harness {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[:4]...)
	h.stop()
	return h
}

// refusedStopping checks that the last step refused a request as not run because the
// daemon stops, and sent nothing.
func (h *harness) refusedStopping() {
	h.t.Helper()
	ref := h.refused()
	h.is.Equal(ref.Status, 503)
	h.is.Equal(ref.Code, "stopping")
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	h.is.Equal(ref.RetryAfter, retryAfterOtherEntry)
	_, started := find[msg.StartDirectAttempt](h)
	h.is.True(!started)
}

// statuses returns the statuses of the requests that the last step refused.
func (h *harness) statuses() map[msg.RequestID]int {
	out := make(map[msg.RequestID]int)
	for _, eff := range h.effects {
		if ref, ok := eff.(msg.RefuseRequest); ok {
			out[ref.Req] = ref.Status
		}
	}
	return out
}

func remaining(d time.Duration) func(*msg.DirectRequestArrived) {
	return func(ev *msg.DirectRequestArrived) { ev.Timeout = d }
}

func TestRequestThatEndsWithinDrainIsServed(t *testing.T) {
	h := newStoppingHarness(t)
	h.advance(testDrainFor - 2*time.Second)
	h.arrive("/lookup/x") // by the timeout of its route
	h.is.Equal(h.started().Spec.Deadline, h.m.drain.endAt)
	h.advance(time.Second)
	h.arrive("/chat/x", prompt(1, 100, 100), remaining(time.Second)) // by its caller's
	h.end(h.started().Attempt, msg.DirectDone)
	_, finished := find[msg.FinishRequest](h)
	h.is.True(finished)
}

func TestRequestThatOutlivesDrainIsRefusedBeforeAnythingIsSent(t *testing.T) {
	h, _ := newQuotaHarness(t)
	h.stop()
	h.advance(testAcceptFor)
	h.arrive("/chat/x", prompt(1, 1000, 500)) // at the last instant
	h.asked()
	h.now += time.Millisecond
	h.arrive("/chat/x", prompt(2, 1000, 500), remaining(testDrainFor-testAcceptFor))
	h.refusedStopping()
	_, asked := sent[msg.QuotaAsk](h)
	h.is.True(!asked)
	h.is.Equal(h.m.requests["2"], nil)
}

func TestStopDoesNotHideRejections(t *testing.T) {
	h := newStoppingHarness(t)
	h.advance(testDrainFor)
	h.arrive("/nowhere/x")
	h.is.Equal(h.refused().Status, 404)
	h.arrive("/chat/x", func(ev *msg.DirectRequestArrived) { ev.Key = "wrong" })
	h.is.Equal(h.refused().Status, 401)
}

func TestRunThatOutlivesDrainIsNotCalledNotRun(t *testing.T) {
	h := newStoppingHarness(t)
	h.advance(testAcceptFor)
	h.arrive("/chat/x", prompt(1, 100, 100))
	a := h.started()
	h.is.True(a.Spec.Step != msg.StepPrefill)
	h.step(msg.StopRequested{AcceptFor: time.Minute, DrainFor: time.Minute}) // the first one counts
	h.advance(testDrainFor - testAcceptFor - time.Millisecond)
	h.is.Equal(len(h.m.requests), 1)
	h.advance(time.Millisecond)
	ref := h.refused()
	h.is.Equal(ref.Status, 502)
	h.is.Equal(ref.Code, "stopping")
	h.is.Equal(ref.Outcome, msg.OutcomeUnknown)
	h.is.Equal(ref.RetryAfter, 0*time.Second)
	cancel, ok := find[msg.CancelAttempt](h)
	h.is.True(ok)
	h.is.Equal(cancel.Attempt, a.Attempt)
	h.is.True(h.m.Idle())
}

func TestHeldFailureIsForwardedAtEndOfDrain(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.StopRequested{AcceptFor: time.Second, DrainFor: time.Second})
	h.arrive("/lookup/x")
	h.end(h.started().Attempt, msg.DirectFailed)
	h.started() // the second run
	h.now += time.Second
	h.step(msg.Tick{})
	_, forwarded := find[msg.ForwardFailure](h)
	h.is.True(forwarded)
}

func TestRequestsWithoutRunAreRefusedAtEndOfDrain(t *testing.T) {
	h := newBusyHarness(t)
	h.step(msg.StopRequested{AcceptFor: time.Second, DrainFor: time.Second})
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.arrive("/chat/x", prompt(2, 300, 50))
	h.is.Equal(h.waiting(), 2)
	h.setInstances(testInstances()[4], testInstances()[2]) // a prefill is no run either
	h.arrive("/chat/x", prompt(3, 30_000, 4000))
	h.is.Equal(h.started().Spec.Step, msg.StepPrefill)
	h.now += time.Second
	h.occupy("dec-1", time.Second)
	h.step(msg.Tick{})
	h.refusedStopping()
	h.is.Equal(h.statuses(), map[msg.RequestID]int{"1": 503, "2": 503, "3": 503})
	h.is.Equal(h.waiting(), 0)
}

func TestOrderOfEndsDoesNotDependOnMaps(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.StopRequested{AcceptFor: time.Second, DrainFor: time.Second})
	for range 30 {
		h.arrive("/open/x")
	}
	h.advance(time.Second)
	var order []msg.RequestID
	for _, eff := range h.effects {
		if ref, ok := eff.(msg.RefuseRequest); ok {
			order = append(order, ref.Req)
		}
	}
	h.is.Equal(len(order), 30)
	h.is.True(slices.IsSorted(order))
}

func TestBegunStreamIsAbortedAtEndOfDrain(t *testing.T) {
	h := newStoppingHarness(t)
	h.arrive("/chat/x", prompt(1, 100, 100))
	h.step(msg.DirectAttemptStarted{Attempt: h.started().Attempt})
	h.advance(testDrainFor)
	abort, ok := find[msg.AbortRequest](h)
	h.is.True(ok)
	h.is.Equal(abort.Code, "stopping")
	h.is.Equal(abort.Outcome, msg.OutcomeUnknown)
	_, refused := find[msg.RefuseRequest](h)
	h.is.True(!refused)
}

func TestNothingIsSentOnceDrainHasEnded(t *testing.T) {
	h := newStoppingHarness(t)
	h.advance(testAcceptFor)
	h.arrive("/chat/x", prompt(1, 100, 100))
	a := h.started()
	h.now += testDrainFor - testAcceptFor // before the next tick
	h.end(a.Attempt, msg.DirectNotRun)
	h.refusedStopping()
	h.arrive("/open/x", remaining(time.Millisecond))
	h.refusedStopping()
}

func TestDrainEndsBeforeLateAcceptance(t *testing.T) {
	h, _ := newQuotaHarness(t)
	h.step(msg.StopRequested{AcceptFor: time.Minute, DrainFor: time.Second})
	h.advance(time.Second)
	h.arrive("/lookup/x")
	h.refusedStopping()
	_, asked := sent[msg.QuotaAsk](h)
	h.is.True(!asked)
}

func TestStopWithoutTimesServesOnAsBefore(t *testing.T) {
	for _, ev := range []msg.StopRequested{{}, {AcceptFor: time.Second}} {
		h := newReadyHarness(t)
		h.advance(time.Second)
		h.step(ev)
		h.is.True(!h.m.ready)
		h.arrive("/chat/x", prompt(1, 100, 100))
		h.advance(4900 * time.Millisecond)
		h.is.Equal(len(h.m.requests), 1) // up to its own deadline
		h.advance(time.Minute)
		h.arrive("/chat/x", prompt(2, 100, 100))
		h.started()
	}
}

func TestHalfOfEachDomainAcceptsLongerDuringStop(t *testing.T) {
	var entries []msg.Host
	for _, e := range []string{"d1/a", "d1/b", "d1/c", "d2/d", "d2/e"} {
		entries = append(entries, msg.Host{Domain: msg.FailureDomain(e[:2]), Host: msg.HostID(e[3:])})
	}
	longer := ""
	for _, e := range entries {
		h := newReadyHarness(t)
		h.m.self.Host, h.m.self.Domain = e.Host, e.Domain
		h.step(msg.MembersChanged{Entries: entries})
		h.step(msg.StopRequested{AcceptFor: testAcceptFor, DrainFor: testDrainFor})
		if _, ok := find[msg.AcceptLonger](h); ok {
			longer += string(e.Host)
		}
	}
	is.New(t).Equal(longer, "bd")
}
