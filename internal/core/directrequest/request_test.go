package directrequest

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

func TestKeyIsCheckedAgainBeforeEachAttempt(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 100, 100), func(ev *msg.DirectRequestArrived) { ev.Timeout = 9 * time.Second })
	a := w.started().Attempt
	w.now += testLimits.AcceptMaxAge + time.Millisecond // no read of the configuration is this young
	w.end(a, msg.DirectNotRun)
	ref := w.refused()
	w.is.Equal(ref.Status, 503)
	w.is.Equal(ref.Code, "stale-config")
	w.is.Equal(ref.Outcome, msg.OutcomeNotRun)
}

func TestStaleConfigurationDeniesNothing(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/nowhere/x")
	w.is.Equal(w.refused().Status, 404)
	w.arrive("/chat/x", func(ev *msg.DirectRequestArrived) { ev.Key = "wrong" })
	w.is.Equal(w.refused().Status, 401)
	w.now += testLimits.RejectMaxAge + time.Millisecond
	w.arrive("/nowhere/x")
	w.is.Equal(w.refused().Status, 503)
	w.arrive("/chat/x", func(ev *msg.DirectRequestArrived) { ev.Key = "wrong" })
	w.is.Equal(w.refused().Status, 503)
	w.now += testLimits.AcceptMaxAge
	w.arrive("/open/x")
	w.started() // a public route needs no key
}

func TestNoConfigurationIsNotReady(t *testing.T) {
	w := newWorld(t)
	w.arrive("/chat/x")
	w.is.Equal(w.refused().Status, 503)
	w.is.True(w.refused().RetryAfter > 0)
	w.is.True(!w.m.ready)
	w.configure(testTable())
	w.is.True(!w.m.ready) // it knows no targets
	w.list(testInstances()...)
	w.is.True(w.m.ready)
	w.now += testLimits.AcceptMaxAge + time.Millisecond
	w.step(msg.Tick{})
	w.is.True(!w.m.ready) // it could refuse keyed requests only
}

func TestLongestPrefixWins(t *testing.T) {
	table := testTable()
	deep := table.Routes[4]
	deep.Name, deep.Prefix = "deep", "/open/deep/"
	table.Routes = append(table.Routes, deep)
	tab := newTable(table)
	is := readyWorld(t).is
	is.Equal(tab.route("H", "/open/deep/x").Name, msg.RouteID("deep"))
	is.Equal(tab.route("h", "/open/x").Name, msg.RouteID("open"))
	is.Equal(tab.route("h", "/open"), nil) // a prefix ends with its slash
	is.Equal(tab.route("other", "/open/x"), nil)
}

func TestSharesFollowWeights(t *testing.T) {
	table := testTable()
	table.Routes[0].Shares = []msg.ServiceShare{{Service: "llm", Weight: 90}, {Service: "app", Weight: 10}}
	tab := newTable(table)
	is := readyWorld(t).is
	is.Equal(tab.service(&table.Routes[0], 0.89), msg.ServiceID("llm"))
	is.Equal(tab.service(&table.Routes[0], 0.91), msg.ServiceID("app"))
}

func TestUnsafeRequestIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/order/x")
	w.end(w.started().Attempt, msg.DirectInterrupted)
	ref := w.refused()
	w.is.Equal(ref.Status, 502) // promises nothing
	w.is.Equal(ref.Outcome, msg.OutcomeUnknown)
	w.arrive("/order/x")
	w.end(w.started().Attempt, msg.DirectNotRun)
	w.started() // it certainly did not run
}

func TestTimeoutTellsWhetherItMayHaveRun(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/order/x")
	w.pass(2100 * time.Millisecond)
	// The refusal came with an earlier tick: no request is open.
	w.is.True(w.m.Idle())
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	w.is.Equal(w.started().Spec.Step, msg.StepPrefill)
	w.now += 5 * time.Second
	w.step(msg.RoutesConfirmed{At: w.now})
	w.step(msg.Tick{})
	w.is.Equal(w.refused().Status, 503) // reading the prompt is not a run
}

func TestBrokenStreamIsResumedWhereTheRouteAllows(t *testing.T) {
	w := readyWorld(t)
	w.list(testInstances()[:4]...) // without the engine that prefills
	w.arrive("/resume/x", prompt(1, 300, 100))
	a := w.started()
	w.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	w.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.LastEvent, ev.Streaming = 17, true })
	b := w.started()
	w.is.Equal(b.Spec.LastEvent, int64(17))
	w.is.True(b.Spec.Target != a.Spec.Target)
	w.end(b.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.LastEvent, ev.Streaming = 20, true })
	_, aborted := find[msg.AbortRequest](w)
	w.is.True(aborted) // two targets have run it

	w.arrive("/chat/x", prompt(2, 300, 100))
	a = w.started()
	w.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	w.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Streaming = true })
	_, aborted = find[msg.AbortRequest](w)
	w.is.True(aborted)
}

func TestCallerGoneCancelsAndFrees(t *testing.T) {
	w := readyWorld(t)
	id := w.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := w.started()
	w.step(msg.CallerDisconnected{Req: id})
	cancel, ok := find[msg.CancelAttempt](w)
	w.is.True(ok)
	w.is.Equal(cancel.Attempt, a.Attempt)
	w.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h1" })
	free, ok := find[msg.FreeHandle](w)
	w.is.True(ok) // the prompt was read before the call could be stopped
	w.is.Equal(free.Handle, "h1")
}

func TestUsageCountsEachRequestOnce(t *testing.T) {
	w := readyWorld(t)
	counted := func() int {
		n := 0
		for _, eff := range w.effects {
			if r, ok := eff.(msg.Raise); ok {
				if c, ok := r.Event.(msg.RunCounted); ok && c.Account == "acme" {
					n++
				}
			}
		}
		return n
	}
	w.list(testInstances()[:4]...)
	w.arrive("/resume/x", prompt(1, 300, 100))
	a := w.started()
	w.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	w.is.Equal(counted(), 1)
	w.end(a.Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Streaming = true })
	w.step(msg.DirectAttemptStarted{Attempt: w.started().Attempt})
	w.is.Equal(counted(), 0)
}

// A request that brings two targets down is not sent to a third one, whoever
// sends it again; bystanders on a target that stays up are not struck.
func TestRequestThatBringsTargetsDown(t *testing.T) {
	w := readyWorld(t)
	body := func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 }
	for range poison.CrashLimit {
		w.arrive("/order/x", body)
		a := w.started()
		w.end(a.Attempt, msg.DirectInterrupted)
		w.now += 200 * time.Millisecond
		list := testInstances()
		for i := range list {
			if list[i].Target == a.Spec.Target {
				list[i].StartedMS = int64(w.now) // it is in a new life
			}
		}
		w.m.targets[a.Spec.Target].StartedMS = 1
		w.list(list...)
	}
	w.arrive("/order/x", body)
	w.is.Equal(w.refused().Code, "poison")
	w.arrive("/order/x")
	w.end(w.started().Attempt, msg.DirectInterrupted)
	w.arrive("/order/x")
	w.started()
}

func TestOverloadIsRefusedAtOnceWithAdvice(t *testing.T) {
	w := readyWorld(t)
	var ref msg.RefuseRequest
	for range 60 {
		w.arrive("/chat/x", prompt(uint64(w.reqs+10), 10_000, 2000))
		if r, ok := find[msg.RefuseRequest](w); ok {
			ref = r
			break
		}
	}
	w.is.Equal(ref.Code, "overloaded")
	w.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	w.is.True(ref.RetryAfter > 0)
	w.pass(4 * time.Second)
}

// A handle that no engine has been asked for is still good: after a connection
// that never opened, or an answer for another target, the prompt is not read
// again.
func TestHandleIsKeptWhereNobodyTookIt(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	w.end(w.started().Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	a := w.started()
	w.end(a.Attempt, msg.DirectUnreachable)
	b := w.started()
	w.is.Equal(b.Spec.Step, msg.StepDecode)
	w.is.Equal(b.Spec.Handle, "h")
	w.is.True(b.Spec.Target != a.Spec.Target)
}

// A key that is withdrawn while its request is under way: the caller is told
// so, and not to come back.
func TestKeyWithdrawnBetweenTwoAttempts(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := w.started().Attempt
	table := testTable()
	table.Version = 2
	table.Accounts[0].Keys = []string{"other"}
	w.configure(table)
	w.end(a, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	w.is.Equal(w.refused().Status, 401)
	w.is.Equal(w.refused().Code, "key-withdrawn")
}

// The time to go on from a handle says nothing of how fast a target reads.
func TestSpeedIsLearntFromReading(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	w.end(w.started().Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	a := w.started()
	w.now += 100 * time.Millisecond
	w.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
	w.is.Equal(w.m.targets[a.Spec.Target].slow, 1.0)
}

// An engine that has left the list goes on serving for a while: a handle is
// still asked of it, by the address that it had.
func TestHandleOfATargetThatLeft(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 30_000, 4000))
	a := w.started()
	w.is.Equal(a.Spec.Target, msg.TargetID("pre-1"))
	w.list(testInstances()[:4]...)
	w.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	w.is.Equal(w.started().Spec.HandleAddr, "10.0.2.1:1")
}

// An attempt whose end is never told does not count for good.
func TestAttemptWithoutAnEndIsForgotten(t *testing.T) {
	w := readyWorld(t)
	id := w.arrive("/order/x")
	a := w.started()
	w.step(msg.CallerDisconnected{Req: id})
	w.is.Equal(len(w.m.targets[a.Spec.Target].open), 1) // it may still be at work
	w.pass(2*time.Second + forgetAfter)
	w.is.Equal(len(w.m.targets[a.Spec.Target].open), 0)
	w.is.Equal(len(w.m.attempts), 0)
}
