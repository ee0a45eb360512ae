package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A prompt that can only be late gives way at its engine, and the prompts that come after
// it do not expect to wait for it.
func TestLatePromptGivesWay(t *testing.T) {
	h := newBusyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.advance(time.Second)
	h.is.Equal(len(h.m.attempts), 1)
	for _, a := range h.m.attempts {
		h.is.Equal(a.class, background)
		h.is.Equal(a.priority, maxPriority)
	}
	dec := h.m.targets["dec-1"]
	h.is.True(dec.backlog(h.now, background) > 0)
	s := &stepContext{Manager: h.m, now: h.now}
	h.is.Equal(s.queueTime(dec), time.Duration(0))
	h.arrive("/chat/x", prompt(2, 300, 50))
	h.is.Equal(h.started().Spec.Priority, 2) // that of the route
}

// Without an objective no prompt is late, and none gives way for good.
func TestPromptsWithoutObjectiveAreForeground(t *testing.T) {
	h := newReadyHarness(t)
	table := testTable()
	table.Routes[0].Objective = 0
	h.configure(table)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.advance(3 * time.Second)
	h.is.Equal(len(h.m.attempts), 1)
	for _, a := range h.m.attempts {
		h.is.Equal(a.class, foreground)
	}
}

// A prompt that is late for its length alone is not background work: under a steady load of
// others it would hardly ever start.
func TestLongPromptIsNotBackgroundForItsLength(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2])
	for range 20 {
		h.arrive("/chat/x", prompt(1, 300, 50))
		h.end(h.started().Attempt, msg.DirectDone)
	}
	h.arrive("/chat/x", prompt(1, 300, 60_000))
	a := h.m.attempts[h.started().Attempt]
	h.is.True(a.expected > 800*time.Millisecond)
	h.is.Equal(a.class, foreground)
}

// A prompt that can only be late waits for the background work that others have sent.
func TestLatePromptsWaitForEachOther(t *testing.T) {
	h := newBusyHarness(t)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: 800, BackgroundMS: 400}}}})
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.advance(time.Second)
	h.is.Equal(len(h.m.attempts), 0) // the background work is done after the other
	h.advance(200 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
}

// Announced background work is kept apart from the other.
func TestBackgroundPrefillIsAnnounced(t *testing.T) {
	h := newBusyHarness(t)
	h.occupy("dec-1", 0)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 300, Background: true}})
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 200}})
	h.is.Equal(h.peerBacklog("dec-1", foreground), 200*time.Millisecond)
	h.is.Equal(h.peerBacklog("dec-1", background), 300*time.Millisecond)
}

// Another copy of a cached prefix takes the place of others' prefixes, so that it must
// save more than a little time.
func TestPrefixIsCopiedOnlyWhereItPays(t *testing.T) {
	for wait, want := range map[time.Duration]msg.TargetID{40 * time.Millisecond: "pre-1", 300 * time.Millisecond: "pre-2"} {
		h := newReadyHarness(t)
		pre := testInstances()[4]
		other := pre
		other.Target, other.Addr, other.Domain = "pre-2", "10.0.2.2:1", "d2"
		h.setInstances(testInstances()[2], pre, other)
		h.m.caches.add("pre-1", 500_000, 1, 13_000)
		h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{
			{Target: "pre-1", BacklogMS: roundMS(wait)}, {Target: "dec-1", BacklogMS: 5000},
		}}})
		h.arrive("/chat/x", prompt(1, 13_000, 500))
		h.is.Equal(h.started().Spec.Target, want)
	}
}

// The cause of lateness tells what was known from what was not.
func TestCauseOfLateness(t *testing.T) {
	h := newBusyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.advance(time.Second)
	h.firstToken(msg.LatenessExpected)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.firstToken(msg.LatenessNone)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.advance(900 * time.Millisecond)
	h.firstToken(msg.LatenessUnexpected)
}

// firstToken delivers the first token of the only attempt that has none, and checks the
// cause of its lateness.
func (h *harness) firstToken(want msg.LatenessCause) {
	h.t.Helper()
	for id, a := range h.m.attempts {
		if a.started {
			continue
		}
		for _, eff := range h.m.Step(h.now, msg.DirectAttemptStarted{Attempt: id}) {
			if r, ok := eff.(msg.Raise); ok {
				if ev, ok := r.Event.(msg.FirstTokenReceived); ok {
					h.is.Equal(ev.Cause, want)
					return
				}
			}
		}
	}
	h.t.Fatal("no first token")
}
