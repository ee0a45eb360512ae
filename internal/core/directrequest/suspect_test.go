package directrequest

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// loneEngine has one engine, which owes a first token for a second.
func loneEngine(t *testing.T) (*world, *target) {
	w := readyWorld(t)
	w.list(testInstances()[2])
	w.arrive("/chat/x", prompt(1, 300, 50))
	w.started()
	w.now += time.Second
	return w, w.m.targets["dec-1"]
}

func suspicion(w *world, t *target) time.Duration {
	s := &step{Manager: w.m, now: w.now}
	return s.suspicion(t)
}

// An answer that is lost says nothing of a target that served later requests.
func TestLaterServiceClearsATarget(t *testing.T) {
	w, dec := loneEngine(t)
	w.is.True(dec.late(w.now) > 500*time.Millisecond) // it may be stuck
	w.arrive("/chat/x", prompt(1, 300, 50))
	b := w.started()
	w.is.True(suspicion(w, dec) > 500*time.Millisecond)
	w.now += 50 * time.Millisecond
	w.step(msg.DirectAttemptStarted{Attempt: b.Attempt})
	w.is.Equal(suspicion(w, dec), time.Duration(0))
	w.is.Equal(dec.waiting(w.now), time.Duration(0)) // the lost one's work is not waited for
}

// What other daemons saw before this one was served counts no more.
func TestLateTargetOfOthers(t *testing.T) {
	w := readyWorld(t)
	dec := w.m.targets["dec-1"]
	late := msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", LateMS: 700}}}}
	w.now = time.Second
	dec.sentAt = w.now
	w.step(late)
	w.is.Equal(suspicion(w, dec), 700*time.Millisecond)
	dec.served[0] = 500 * time.Millisecond
	w.is.Equal(suspicion(w, dec), time.Duration(0))
	dec.served[0] = 0
	w.now += digestAge + 1
	dec.sentAt = w.now
	w.is.Equal(suspicion(w, dec), time.Duration(0)) // it is old
}

// A suspect target gets a probe now and then, or it would be suspect for good.
func TestSuspectTargetIsProbed(t *testing.T) {
	w, dec := loneEngine(t)
	w.list(testInstances()[2], testInstances()[3])
	probes := 0
	for range 40 {
		w.now += 50 * time.Millisecond
		// The other engine has more streams, so this one would be chosen.
		w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 20, Running: 20}}}})
		w.arrive("/chat/x", prompt(1, 300, 50))
		a := w.started()
		if a.Spec.Target == "dec-1" {
			probes++
			continue
		}
		w.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
		w.end(a.Attempt, msg.DirectDone)
	}
	w.is.True(probes >= 1 && probes <= 3)
	w.is.True(dec.late(w.now) > time.Second)
}

// A target that could not be reached is suspect to the others, too.
func TestUnreachedTargetIsTold(t *testing.T) {
	w := readyWorld(t)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	w.now = 2 * time.Second
	w.step(msg.RoutesConfirmed{At: w.now})
	w.arrive("/lookup/x")
	a := w.started()
	w.end(a.Attempt, msg.DirectUnreachable)
	w.now += 100 * time.Millisecond
	w.step(msg.Tick{})
	sent, ok := find[msg.SendPeer](w)
	w.is.True(ok)
	d, _ := sent.Message.(msg.LoadDigest)
	for _, told := range d.Targets {
		if told.Target == a.Spec.Target {
			w.is.Equal(told.LateMS, round(avoidFirst-100*time.Millisecond))
			return
		}
	}
	t.Fatal("the target is not told")
}

// lostPrompt has an engine that prefills, which owes one prompt and has handed
// out a later one of the same rank.
func lostPrompt(t *testing.T) (w *world, owed, later msg.StartDirectAttempt) {
	w = readyWorld(t)
	list := testInstances()
	other := list[4]
	other.Target = "pre-2"
	other.Addr = "10.0.2.2:1"
	w.list(list[2], list[4])
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: time.Minute})
	w.arrive("/chat/x", prompt(1, 9000, 1000))
	owed = w.started()
	w.now += 10 * time.Millisecond
	w.arrive("/chat/x", prompt(2, 9000, 1000))
	later = w.started()
	w.is.Equal(later.Spec.Target, owed.Spec.Target)
	w.now += 400 * time.Millisecond
	w.end(later.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	w.list(list[2], list[4], other)
	return w, owed, later
}

func tick(w *world) {
	w.step(msg.RoutesConfirmed{At: w.now})
	w.step(msg.Tick{})
}

// A prompt whose answer is lost is read elsewhere before its caller gives up.
func TestLostPromptIsReadElsewhere(t *testing.T) {
	w, owed, _ := lostPrompt(t)
	tick(w)
	_, moved := find[msg.StartDirectAttempt](w)
	w.is.True(!moved) // it is overdue, but not by as much as it should have taken
	w.now += 300 * time.Millisecond
	tick(w)
	a := w.started()
	w.is.Equal(a.Req, owed.Req)
	w.is.Equal(a.Spec.Target, msg.TargetID("pre-2"))
	cancel, ok := find[msg.CancelAttempt](w)
	w.is.True(ok)
	w.is.Equal(cancel.Attempt, owed.Attempt)
	w.end(owed.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "late" })
	free, ok := find[msg.FreeHandle](w)
	w.is.True(ok) // it came all the same
	w.is.Equal(free.Handle, "late")
}

// Without a better target, or a budget, the answer is waited for.
func TestLostPromptIsWaitedForWithoutABudget(t *testing.T) {
	w, _, _ := lostPrompt(t)
	w.step(msg.LimitsChanged{Limits: msg.DirectLimits{AcceptMaxAge: time.Hour, RejectMaxAge: time.Hour, RetryWindow: time.Second}})
	w.now += 300 * time.Millisecond
	tick(w)
	_, moved := find[msg.StartDirectAttempt](w)
	_, cancelled := find[msg.CancelAttempt](w)
	_, refused := find[msg.RefuseRequest](w)
	w.is.True(!moved && !cancelled && !refused)
}

// More urgent requests overtake: that tells nothing of the others.
func TestOvertakenByUrgentIsNotLost(t *testing.T) {
	w := readyWorld(t)
	pre := w.m.targets["pre-1"]
	a := &attempt{target: pre, rank: 2, since: 0, expected: 100 * time.Millisecond}
	pre.serves(&attempt{rank: 1, since: time.Second})
	w.is.True(!pre.gone(2*time.Second, a))
	pre.serves(&attempt{rank: 3, since: time.Second})
	w.is.True(pre.gone(2*time.Second, a))
}
