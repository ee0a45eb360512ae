package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

func TestKeyIsCheckedAgainBeforeEachAttempt(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 100, 100), func(ev *msg.DirectRequestArrived) { ev.Timeout = 9 * time.Second })
	a := h.started().Attempt
	h.now += testLimits.AcceptMaxAge + time.Millisecond // the configuration is too old to accept a key
	h.end(a, msg.DirectNotRun)
	ref := h.refused()
	h.is.Equal(ref.Status, 503)
	h.is.Equal(ref.Code, "stale-config")
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
}

func TestStaleConfigurationRejectsNothing(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/nowhere/x")
	h.is.Equal(h.refused().Status, 404)
	h.arrive("/chat/x", func(ev *msg.DirectRequestArrived) { ev.Key = "wrong" })
	h.is.Equal(h.refused().Status, 401)
	h.now += testLimits.RejectMaxAge + time.Millisecond
	h.arrive("/nowhere/x")
	h.is.Equal(h.refused().Status, 503)
	h.arrive("/chat/x", func(ev *msg.DirectRequestArrived) { ev.Key = "wrong" })
	h.is.Equal(h.refused().Status, 503)
	h.now += testLimits.AcceptMaxAge
	h.arrive("/open/x")
	h.started() // a public route needs no key
}

func TestNoConfigurationIsNotReady(t *testing.T) {
	h := newHarness(t)
	h.arrive("/chat/x")
	h.is.Equal(h.refused().Status, 503)
	h.is.True(h.refused().RetryAfter > 0)
	h.is.True(!h.m.ready)
	h.configure(testTable())
	h.is.True(!h.m.ready) // it has no list of targets
	h.setInstances(testInstances()...)
	h.is.True(h.m.ready)
	h.now += testLimits.AcceptMaxAge + time.Millisecond
	h.step(msg.Tick{})
	h.is.True(!h.m.ready) // it could only refuse requests with keys
}

func TestLongestPrefixWins(t *testing.T) {
	table := testTable()
	deep := table.Routes[4]
	deep.Name, deep.Prefix = "deep", "/open/deep/"
	table.Routes = append(table.Routes, deep)
	tab := newRouteTable(table)
	is := newReadyHarness(t).is
	is.Equal(tab.route("H", "/open/deep/x").Name, msg.RouteID("deep"))
	is.Equal(tab.route("h", "/open/x").Name, msg.RouteID("open"))
	is.Equal(tab.route("h", "/open"), nil) // a prefix ends with its slash
	is.Equal(tab.route("other", "/open/x"), nil)
}

func TestSharesFollowWeights(t *testing.T) {
	table := testTable()
	table.Routes[0].Shares = []msg.ServiceShare{{Service: "llm", Weight: 90}, {Service: "app", Weight: 10}}
	tab := newRouteTable(table)
	is := newReadyHarness(t).is
	is.Equal(tab.pickService(&table.Routes[0], 0.89), msg.ServiceID("llm"))
	is.Equal(tab.pickService(&table.Routes[0], 0.91), msg.ServiceID("app"))
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectInterrupted)
	ref := h.refused()
	h.is.Equal(ref.Status, 502) // does not state that the request did not run
	h.is.Equal(ref.Outcome, msg.OutcomeUnknown)
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectNotRun)
	h.started() // it certainly did not run
}

func TestTimeoutStatusDependsOnPossibleRun(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/order/x")
	h.advance(2100 * time.Millisecond)
	// The deadline passed at an earlier tick, which refused the request.
	h.is.True(h.m.Idle())
	h.arrive("/chat/x", prompt(1, 30_000, 4000))
	h.is.Equal(h.started().Spec.Step, msg.StepPrefill)
	h.now += 5 * time.Second
	h.step(msg.RoutesConfirmed{At: h.now})
	h.step(msg.Tick{})
	h.is.Equal(h.refused().Status, 503) // a prefill is not a run
}

func TestInterruptedStreamIsResumedIfRouteAllows(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[:4]...) // without the prefill engine
	h.arrive("/resume/x", prompt(1, 300, 100))
	a := h.started()
	h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	h.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.LastEvent, ev.Response = 17, msg.ResponseStream })
	b := h.started()
	h.is.Equal(b.Spec.LastEvent, int64(17))
	h.is.True(b.Spec.Target != a.Spec.Target)
	h.end(b.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.LastEvent, ev.Response = 20, msg.ResponseStream })
	_, aborted := find[msg.AbortRequest](h)
	h.is.True(aborted) // two targets have run it, which is the limit of the route

	h.arrive("/chat/x", prompt(2, 300, 100))
	a = h.started()
	h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	h.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Response = msg.ResponseStream })
	_, aborted = find[msg.AbortRequest](h)
	h.is.True(aborted)
}

// The answers of two runs were joined: an idempotent request ran again behind the part of
// an answer that its caller had received.
func TestBegunResponseIsNotRunAgain(t *testing.T) {
	for _, state := range []msg.ResponseState{msg.ResponseBody, msg.ResponseStream} {
		h := newReadyHarness(t)
		h.arrive("/lookup/x")
		h.end(h.started().Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Response = state })
		_, again := find[msg.StartDirectAttempt](h)
		h.is.True(!again)
		_, aborted := find[msg.AbortRequest](h)
		h.is.True(aborted) // its caller sees that the answer is not whole
	}
}

func TestCallerDisconnectCancelsAttemptAndFreesHandle(t *testing.T) {
	h := newReadyHarness(t)
	id := h.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := h.started()
	h.step(msg.CallerDisconnected{Req: id})
	cancel, ok := find[msg.CancelAttempt](h)
	h.is.True(ok)
	h.is.Equal(cancel.Attempt, a.Attempt)
	h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h1" })
	free, ok := find[msg.FreeHandle](h)
	h.is.True(ok) // the prefill finished before the cancellation took effect
	h.is.Equal(free.Handle, "h1")
}

func TestUsageCountsEachRequestOnce(t *testing.T) {
	h := newReadyHarness(t)
	counted := func() int {
		n := 0
		for _, eff := range h.effects {
			if r, ok := eff.(msg.Raise); ok {
				if c, ok := r.Event.(msg.RunCounted); ok && c.Account == "acme" {
					n++
				}
			}
		}
		return n
	}
	h.setInstances(testInstances()[:4]...)
	h.arrive("/resume/x", prompt(1, 300, 100))
	a := h.started()
	h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	h.is.Equal(counted(), 1)
	h.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Response = msg.ResponseStream })
	h.step(msg.DirectAttemptStarted{Attempt: h.started().Attempt})
	h.is.Equal(counted(), 0)
}

// A request that crashed two targets is not sent to a third one, even if
// another caller submits it again. Other requests that were interrupted on a
// target that stays up are not counted as crashes.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	h := newReadyHarness(t)
	body := func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 }
	for range poison.CrashLimit {
		h.arrive("/order/x", body)
		h.restartUnder(h.started(), 500*time.Millisecond)
	}
	h.arrive("/order/x", body)
	h.is.Equal(h.refused().Code, "poison")
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectInterrupted)
	h.arrive("/order/x")
	h.started()
}

// restartUnder interrupts an attempt, and the list shows some time later that its target has
// restarted.
func (h *harness) restartUnder(a msg.StartDirectAttempt, after time.Duration) {
	h.end(a.Attempt, msg.DirectInterrupted)
	h.now += after
	list := testInstances()
	for i := range list {
		list[i].StartedMS = h.m.targets[list[i].Target].StartedMS
		if list[i].Target == a.Spec.Target {
			list[i].StartedMS = int64(h.now) // the target has restarted
			h.m.targets[a.Spec.Target].StartedMS = 1
		}
	}
	h.setInstances(list...)
	h.step(msg.RoutesConfirmed{At: h.now})
}

// Targets that go down shortly after each other, under a request that is sent again at once,
// may do so for another reason. One copy at a time is tried then, the others wait, and are
// told to come back after a second. The trial decides.
func TestRequestUnderCloseCrashesIsTried(t *testing.T) {
	for _, sound := range []bool{true, false} {
		h := newReadyHarness(t)
		body := func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 }
		for range poison.CrashLimit {
			h.arrive("/order/x", body)
			h.restartUnder(h.started(), 20*time.Millisecond)
		}
		h.arrive("/order/x", body)
		h.is.True(h.logged("waits for the trial of a request like it"))
		h.now += 600 * time.Millisecond
		h.step(msg.Tick{Wall: time.Unix(1000, 0).Add(h.now)})
		trial := h.started()
		h.arrive("/order/x", body)
		h.is.True(h.logged("waits for the trial of a request like it"))
		if sound {
			h.end(trial.Attempt, msg.DirectDone)
			h.step(msg.Tick{Wall: time.Unix(1000, 0).Add(h.now)})
			h.started()
			continue
		}
		h.restartUnder(trial, 20*time.Millisecond)
		h.arrive("/order/x", body)
		h.is.Equal(h.refused().Code, "poison")
	}
}

func TestOverloadIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	h := newReadyHarness(t)
	var ref msg.RefuseRequest
	for range 60 {
		h.arrive("/chat/x", prompt(uint64(h.reqs+10), 10_000, 2000))
		if r, ok := find[msg.RefuseRequest](h); ok {
			ref = r
			break
		}
	}
	h.is.Equal(ref.Code, "overloaded")
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	h.is.True(ref.RetryAfter > 0)
	h.advance(4 * time.Second)
}

// A handle that no engine has fetched is still valid. After a failed connection
// or a misdirected attempt the prompt is not prefilled again.
func TestUnusedHandleIsKept(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 30_000, 4000))
	h.end(h.started().Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	a := h.started()
	h.end(a.Attempt, msg.DirectUnreachable)
	b := h.started()
	h.is.Equal(b.Spec.Step, msg.StepDecode)
	h.is.Equal(b.Spec.Handle, "h")
	h.is.True(b.Spec.Target != a.Spec.Target)
}

// The key is withdrawn between two attempts of its request. The request is
// refused with status 401 and code key-withdrawn, so that the caller does not
// retry.
func TestKeyWithdrawnBetweenTwoAttempts(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := h.started().Attempt
	table := testTable()
	table.Version = 2
	table.Accounts[0].Keys = []string{"other"}
	h.configure(table)
	h.end(a, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	h.is.Equal(h.refused().Status, 401)
	h.is.Equal(h.refused().Code, "key-withdrawn")
}

// The time of a decode step shows nothing about the speed of a target's
// prefills.
func TestSpeedIsMeasuredFromPrefills(t *testing.T) {
	h := newReadyHarness(t)
	prefills := 0
	for i := range uint64(3 * minKnownPrefills) {
		h.step(msg.RoutesConfirmed{At: h.now})
		h.arrive("/chat/x", prompt(2*i, 30_000, 4000))
		a := h.started()
		h.now += 300 * time.Millisecond
		if a.Spec.Step == msg.StepPrefill {
			prefills++
			h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
			a = h.started()
			h.now += 100 * time.Millisecond
			h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
		}
		h.end(a.Attempt, msg.DirectDone)
	}
	h.is.Equal(prefills, 3*minKnownPrefills)
	speeds := h.m.speeds.Unsent(h.now, 10)
	h.is.Equal(len(speeds), 1)
	h.is.Equal(speeds[0].Target, msg.TargetID("pre-1"))
}

// An engine that was removed from the list of targets continues to serve for a
// while. Its handle is still used, at the address that the engine had.
func TestHandleOfRemovedTarget(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := h.started()
	h.is.Equal(a.Spec.Target, msg.TargetID("pre-1"))
	h.setInstances(testInstances()[:4]...)
	h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	h.is.Equal(h.started().Spec.HandleAddr, "10.0.2.1:1")
}

// An attempt whose end is never reported must not count forever.
func TestAttemptWithoutReportedEndIsDropped(t *testing.T) {
	h := newReadyHarness(t)
	id := h.arrive("/order/x")
	a := h.started()
	h.step(msg.CallerDisconnected{Req: id})
	h.is.Equal(len(h.m.targets[a.Spec.Target].open), 1) // the target may still be working on it
	h.advance(2*time.Second + attemptGrace)
	h.is.Equal(len(h.m.targets[a.Spec.Target].open), 0)
	h.is.Equal(len(h.m.attempts), 0)
}
