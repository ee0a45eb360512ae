package request

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

// logged reports whether the last step logged a line with the given text.
func (h *harness) logged(text string) bool {
	for _, eff := range h.effects {
		if l, ok := eff.(msg.LogLine); ok && l.Text == text {
			return true
		}
	}
	return false
}

func TestUnexplainedInterruptionIsLogged(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectInterrupted)
	h.now += crashWindow + time.Millisecond
	h.step(msg.Tick{})
	h.is.True(h.logged("response was cut short, target was not seen to go down"))
}

func TestCrashRecordOfPeerIsLogged(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.CrashNotice{Crashes: []msg.CrashRecord{{Fingerprint: 1, ID: "a"}}}})
	h.is.True(h.logged("crash record received"))
}

// interruptOrder sends the same order again and interrupts its attempt. It returns the
// attempt, and the probe that follows.
func (h *harness) interruptOrder() (msg.StartDirectAttempt, msg.ProbeTarget) {
	h.t.Helper()
	h.advance(500 * time.Millisecond) // so that its crash is independent of the one before
	h.arrive("/order/x", func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 })
	a := h.started()
	h.end(a.Attempt, msg.DirectInterrupted)
	probe, _ := find[msg.ProbeTarget](h)
	return a, probe
}

// A daemon must not depend on its next request to a target to see that the target has
// crashed.
func TestProbeShowsCrash(t *testing.T) {
	h := newReadyHarness(t)
	a, probe := h.interruptOrder()
	h.is.Equal(probe.Target, a.Spec.Target)
	h.is.Equal(probe.HealthPath, "/health")
	h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeDown})
	h.is.True(!h.m.targets[probe.Target].usable(h.now))
	a, probe = h.interruptOrder()
	h.is.True(a.Spec.Target != "")
	h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeDown})
	h.now += maxBackoff
	h.arrive("/order/x", func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 })
	h.is.Equal(h.refused().Code, "poison")
}

// A target that only broke off a response is no evidence against the request.
func TestProbeClearsRunningTarget(t *testing.T) {
	h := newReadyHarness(t)
	for range 3 {
		_, probe := h.interruptOrder()
		h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeUp})
		h.is.True(h.logged("response was cut short, target is running"))
	}
	h.is.Equal(len(h.m.probing), 0)
}

// A request waits while probes are to show whether it has crashed too many targets.
func TestRequestWaitsForProbes(t *testing.T) {
	for _, result := range []msg.ProbeResult{msg.ProbeUp, msg.ProbeDown} {
		h := newReadyHarness(t)
		_, first := h.interruptOrder()
		_, second := h.interruptOrder()
		h.arrive("/order/x", func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 })
		_, placed := find[msg.StartDirectAttempt](h)
		h.is.True(!placed)
		h.step(msg.Tick{})
		h.is.True(!h.logged("waits for the probe of a target")) // It is logged once.
		var refused, started bool
		for _, probe := range []msg.ProbeTarget{first, second} {
			if probe.Call == 0 {
				probe, _ = find[msg.ProbeTarget](h) // the same target again
			}
			h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: result})
			_, r := find[msg.RefuseRequest](h)
			_, s := find[msg.StartDirectAttempt](h)
			refused, started = refused || r, started || s
		}
		h.is.Equal(refused, result == msg.ProbeDown)
		h.is.Equal(started, result == msg.ProbeUp)
	}
}

// A target that does not respond to probes is probed again. If it responds later, its
// process may be a new one, which only the list of targets shows.
func TestRestartAfterSilenceShowsCrash(t *testing.T) {
	h := newReadyHarness(t)
	a, probe := h.interruptOrder()
	h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeUnknown})
	for {
		h.advance(100 * time.Millisecond)
		if again, ok := find[msg.ProbeTarget](h); ok {
			h.step(msg.TargetProbed{Call: again.Call, Target: again.Target, Result: msg.ProbeUp})
			break
		}
	}
	list := testInstances()
	for i := range list {
		if list[i].Target == a.Spec.Target {
			list[i].StartedMS = 5
		}
	}
	h.m.targets[a.Spec.Target].StartedMS = 4
	h.setInstances(list...)
	h.is.True(h.logged("target went down while it was running a request"))
}

// A request that completes did not cause the crash that once interrupted it.
func TestCompletionClearsCrash(t *testing.T) {
	h := newReadyHarness(t)
	for range 3 {
		_, probe := h.interruptOrder()
		h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeDown})
		h.now += maxBackoff
		h.step(msg.RoutesConfirmed{At: h.now})
		h.arrive("/order/x", func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 })
		h.end(h.started().Attempt, msg.DirectDone)
	}
}

// A target that falls silent under a request, and starts again, has crashed.
func TestRestartShowsCrashUnderOpenAttempt(t *testing.T) {
	h := newReadyHarness(t)
	for i := range poison.CrashLimit {
		list := testInstances()
		h.setInstances(list...)
		h.arrive("/order/x", func(ev *msg.DirectRequestArrived) { ev.BodyHash = 99 })
		a := h.started()
		h.now += 200 * time.Millisecond
		for j := range list {
			h.m.targets[list[j].Target].StartedMS = 1
			list[j].StartedMS = 1
			if list[j].Target == a.Spec.Target {
				list[j].StartedMS = int64(i + 2)
			}
		}
		h.setInstances(list...)
		h.is.Equal(h.m.poison.CrashCount(h.m.attempts[a.Attempt].fingerprint), i+1)
	}
}

// crashUnderPrompts crashes decode engines under prompts with the segment 7, sent one
// after the other, and returns the event that ended the last of them.
func (h *harness) crashUnderPrompts(n int, began time.Duration) {
	h.t.Helper()
	for i := range n {
		h.arrive("/chat/x", prompt(7, 1000, 100))
		a := h.started()
		if a.Spec.Step == msg.StepPrefill {
			h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = fmt.Sprint("h", i) })
			a = h.started()
		}
		if began > 0 {
			h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
		}
		h.advance(began + 100*time.Millisecond)
		h.end(a.Attempt, msg.DirectInterrupted)
		probe, _ := find[msg.ProbeTarget](h)
		h.step(msg.TargetProbed{Call: probe.Call, Target: probe.Target, Result: msg.ProbeDown})
		h.m.targets[probe.Target].StartedMS++
		h.advance(maxBackoff)
	}
}

func TestPromptWithCrashingSegmentIsRefusedAtOnce(t *testing.T) {
	h := newReadyHarness(t)
	h.crashUnderPrompts(poison.SegmentCrashLimit, 0)
	h.arrive("/chat/x", prompt(7, 1000, 100))
	r := h.refused()
	h.is.Equal(r.Status, statusUnavailable)
	h.is.Equal(r.Code, "poison")
	h.is.Equal(r.Outcome, msg.OutcomeNotRun)
	h.is.Equal(r.RetryAfter, time.Duration(0))
	h.arrive("/chat/x", prompt(8, 1000, 100))
	h.started()
}

// A prompt that a target has long begun to answer did not crash it.
func TestPromptThatHadLongBegunIsNotSuspected(t *testing.T) {
	h := newReadyHarness(t)
	h.crashUnderPrompts(poison.SegmentCrashLimit, beginTime)
	h.arrive("/chat/x", prompt(7, 1000, 100))
	h.started()
}

// The end of an unframed response may be that of the process, and clears the prompt's
// segments only once the process has responded again.
func TestUnframedResponseClearsOnlyIfTargetRunsOn(t *testing.T) {
	for _, gone := range []bool{false, true} {
		h := newReadyHarness(t)
		h.crashUnderPrompts(1, 0)
		h.arrive("/chat/x", prompt(7, 1000, 100))
		a := h.started()
		if a.Spec.Step == msg.StepPrefill {
			h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
			a = h.started()
		}
		h.end(a.Attempt, msg.DirectDone, func(ev *msg.DirectAttemptEnded) { ev.Unframed = true })
		h.is.Equal(h.m.poison.CrashCount(7), 1)
		if gone {
			h.setInstances(slices.DeleteFunc(testInstances(), func(in msg.Instance) bool { return in.Target == a.Spec.Target })...)
			h.is.Equal(h.m.poison.CrashCount(7), 2)
			continue
		}
		s := &stepContext{Manager: h.m, now: h.now + time.Second}
		target := h.m.targets[a.Spec.Target]
		s.confirmCompleted(target, &attempt{sentAt: s.now, process: target.StartedMS})
		h.is.Equal(h.m.poison.CrashCount(7), 0)
	}
}
