package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// newOverdueEngine returns a harness with one engine, at which the first token
// of an attempt has been missing for a second.
func newOverdueEngine(t *testing.T) (*harness, *target) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2])
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.started()
	h.now += time.Second
	return h, h.m.targets["dec-1"]
}

func suspicionDelay(h *harness, t *target) time.Duration {
	s := &stepContext{Manager: h.m, now: h.now}
	return s.suspicionDelay(t)
}

// A lost response shows nothing about a target that has served later requests.
func TestLaterFirstTokenClearsSuspicion(t *testing.T) {
	h, dec := newOverdueEngine(t)
	h.is.True(dec.lateness(h.now) > 500*time.Millisecond) // the engine may be stuck
	h.arrive("/chat/x", prompt(1, 300, 50))
	b := h.started()
	h.is.True(suspicionDelay(h, dec) > 500*time.Millisecond)
	h.now += 50 * time.Millisecond
	h.step(msg.DirectAttemptStarted{Attempt: b.Attempt})
	h.is.Equal(suspicionDelay(h, dec), time.Duration(0))
	h.is.Equal(dec.pendingPrefill(h.now, foreground), time.Duration(0)) // the work of the lost attempt does not count
}

// A lateness that other daemons report makes a target suspect, unless it began
// before this daemon sent an attempt that the target has since started.
func TestPeerLatenessMakesTargetSuspect(t *testing.T) {
	h := newReadyHarness(t)
	dec := h.m.targets["dec-1"]
	late := msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", LateMS: 700}}}}
	h.now = time.Second
	dec.lastSentAt = h.now
	h.step(late)
	h.is.Equal(suspicionDelay(h, dec), 700*time.Millisecond)
	dec.startedSentAt[0] = 500 * time.Millisecond
	h.is.Equal(suspicionDelay(h, dec), time.Duration(0))
	dec.startedSentAt[0] = 0
	h.now += digestMaxAge + 1
	dec.lastSentAt = h.now
	h.is.Equal(suspicionDelay(h, dec), time.Duration(0)) // the digest is too old
}

// A suspect target is probed from time to time. Otherwise it would stay suspect
// forever.
func TestSuspectTargetIsProbed(t *testing.T) {
	h, dec := newOverdueEngine(t)
	h.setInstances(testInstances()[2], testInstances()[3])
	probes := 0
	for range 40 {
		h.now += 50 * time.Millisecond
		// The other engine has more streams, so that dec-1 would be chosen if it
		// were not suspect.
		h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 20, Running: 20}}}})
		h.arrive("/chat/x", prompt(1, 300, 50))
		a := h.started()
		if a.Spec.Target == "dec-1" {
			probes++
			continue
		}
		h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
		h.end(a.Attempt, msg.DirectDone)
	}
	h.is.True(probes >= 1 && probes <= 3)
	h.is.True(dec.lateness(h.now) > time.Second)
}

// A target that could not be reached becomes suspect to the other daemons as
// well.
func TestBackoffIsReportedInDigest(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.now = 2 * time.Second
	h.step(msg.RoutesConfirmed{At: h.now})
	h.arrive("/lookup/x")
	a := h.started()
	h.end(a.Attempt, msg.DirectUnreachable)
	h.now += 100 * time.Millisecond
	h.step(msg.Tick{})
	sent, ok := find[msg.SendPeer](h)
	h.is.True(ok)
	d, _ := sent.Message.(msg.LoadDigest)
	for _, digest := range d.Targets {
		if digest.Target == a.Spec.Target {
			h.is.Equal(digest.LateMS, roundMS(minBackoff-100*time.Millisecond))
			return
		}
	}
	t.Fatal("the digest does not contain the target")
}

// newLostPrefill returns a harness with a prefill engine that has not responded
// to one prefill, but has responded to a later one of the same priority.
func newLostPrefill(t *testing.T) (h *harness, lost, later msg.StartDirectAttempt) {
	h = newReadyHarness(t)
	list := testInstances()
	other := list[4]
	other.Target = "pre-2"
	other.Addr = "10.0.2.2:1"
	h.setInstances(list[2], list[4])
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: time.Minute})
	h.arrive("/chat/x", prompt(1, 9000, 1000))
	lost = h.started()
	h.now += 10 * time.Millisecond
	h.arrive("/chat/x", prompt(2, 9000, 1000))
	later = h.started()
	h.is.Equal(later.Spec.Target, lost.Spec.Target)
	h.now += 400 * time.Millisecond
	h.end(later.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	h.setInstances(list[2], list[4], other)
	return h, lost, later
}

func tick(h *harness) {
	h.step(msg.RoutesConfirmed{At: h.now})
	h.step(msg.Tick{})
}

// A prefill whose response is presumed lost is restarted at another target while
// the caller is still waiting.
func TestLostPrefillIsRestartedElsewhere(t *testing.T) {
	h, lost, _ := newLostPrefill(t)
	tick(h)
	_, moved := find[msg.StartDirectAttempt](h)
	h.is.True(!moved) // it is not yet overdue by more than its expected time
	h.now += 300 * time.Millisecond
	tick(h)
	a := h.started()
	h.is.Equal(a.Req, lost.Req)
	h.is.Equal(a.Spec.Target, msg.TargetID("pre-2"))
	cancel, ok := find[msg.CancelAttempt](h)
	h.is.True(ok)
	h.is.Equal(cancel.Attempt, lost.Attempt)
	h.end(lost.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "late" })
	free, ok := find[msg.FreeHandle](h)
	h.is.True(ok) // the response arrived nevertheless
	h.is.Equal(free.Handle, "late")
}

// Without a better target, or without retry budget, the request continues to
// wait for the response.
func TestLostPrefillIsKeptWithoutBudget(t *testing.T) {
	h, _, _ := newLostPrefill(t)
	h.step(msg.LimitsChanged{Limits: msg.DirectLimits{AcceptMaxAge: time.Hour, RejectMaxAge: time.Hour, RetryWindow: time.Second}})
	h.now += 300 * time.Millisecond
	tick(h)
	_, moved := find[msg.StartDirectAttempt](h)
	_, cancelled := find[msg.CancelAttempt](h)
	_, refused := find[msg.RefuseRequest](h)
	h.is.True(!moved && !cancelled && !refused)
}

// An engine prefers requests of a higher priority. That it has started a later
// one of them does not mean that an earlier attempt is lost.
func TestOvertakenByHigherPriorityIsNotLost(t *testing.T) {
	h := newReadyHarness(t)
	pre := h.m.targets["pre-1"]
	a := &attempt{target: pre, priority: 2, sentAt: 0, expected: 100 * time.Millisecond}
	pre.clearSuspicion(&attempt{priority: 1, sentAt: time.Second})
	h.is.True(!pre.presumedLost(2*time.Second, a))
	pre.clearSuspicion(&attempt{priority: 3, sentAt: time.Second})
	h.is.True(pre.presumedLost(2*time.Second, a))
}
