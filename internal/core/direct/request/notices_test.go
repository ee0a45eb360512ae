package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// notice returns a change that adds a notice to the end of an attempt.
func notice(n msg.TargetNotice) func(*msg.DirectAttemptEnded) {
	return func(ev *msg.DirectAttemptEnded) { ev.Notice = &n }
}

// A response that was overtaken must not undo what a later one states.
func TestNoticeOfLatestAttemptHolds(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.arrive("/order/x")
	first := h.started()
	h.now += time.Millisecond
	h.arrive("/order/y")
	second := h.started()
	h.end(second.Attempt, msg.DirectDone, notice(msg.TargetNotice{RequestLimit: 4}))
	h.is.True(h.logged("target changes its limit"))
	h.end(first.Attempt, msg.DirectDone, notice(msg.TargetNotice{}))
	h.is.Equal(h.m.targets["app-1"].notices.last.RequestLimit, 4.0)
}

// A daemon keeps to its share of a limit that was named to another one.
func TestLimitNamedToPeerHolds(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	h.advance(10 * time.Second)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Limits: []msg.TargetLimit{{Target: "app-1", PerSecond: 1}}}})
	h.arrive("/order/x")
	h.is.Equal(h.refused().Code, "limited")
	h.advance(1100 * time.Millisecond)
	h.arrive("/order/y")
	h.end(h.started().Attempt, msg.DirectDone, notice(msg.TargetNotice{RequestLimit: 1}))
	h.advance(200 * time.Millisecond)
	h.arrive("/order/z")
	h.is.Equal(h.refused().Code, "limited")
	// News from before the daemon's own response is not taken.
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Limits: []msg.TargetLimit{{Target: "app-1", AgeMS: 5000}}}})
	h.arrive("/order/z")
	h.is.Equal(h.refused().Code, "limited")
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Limits: []msg.TargetLimit{{Target: "app-1"}}}})
	h.arrive("/order/z")
	h.started() // The target has ceased to name a limit.
}

// A target that states that it is leaving gets nothing new, though the list still shows
// it as ready and later responses of requests that it has overtaken say otherwise.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectNotRun, notice(msg.TargetNotice{Leaving: true}))
	h.arrive("/order/y")
	h.is.Equal(h.refused().Code, "no-target")
	h.setInstances(testInstances()[0])
	h.advance(20 * time.Second)
	h.arrive("/order/y")
	h.is.Equal(h.refused().Code, "no-target")
	in := testInstances()[0]
	in.StartedMS = 7
	h.m.targets[in.Target].StartedMS = 6
	h.setInstances(in)
	h.arrive("/order/z")
	h.started() // a new process
}

func TestLeavingTargetIsToldToPeers(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.advance(time.Second)
	h.arrive("/order/x")
	h.end(h.started().Attempt, msg.DirectNotRun, notice(msg.TargetNotice{Leaving: true}))
	h.now += minDigestInterval
	h.step(msg.Tick{})
	sent, _ := find[msg.SendPeer](h)
	digest, _ := sent.Message.(msg.LoadDigest)
	h.is.Equal(digest.Leaving, []msg.LeavingTarget{{Target: "app-1"}})

	other := newReadyHarness(t)
	other.setInstances(testInstances()[0])
	other.step(msg.PeerReceived{From: "entry-1", Message: digest})
	other.arrive("/order/x")
	other.is.Equal(other.refused().Code, "no-target")
}

// A target that turns a request away and names a time wants nothing for that time, from
// this daemon only.
func TestRetryAfterOfTargetIsHeeded(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.arrive("/order/x")
	a := h.started()
	h.arrive("/order/y")
	b := h.started()
	h.end(a.Attempt, msg.DirectNotRun, notice(msg.TargetNotice{RetryAfter: 3 * time.Second}))
	h.end(b.Attempt, msg.DirectDone, notice(msg.TargetNotice{RetryAfter: time.Second})) // does not shorten it
	h.advance(2900 * time.Millisecond)
	h.arrive("/order/z")
	ref := h.refused()
	h.is.Equal(ref.Code, "no-target")
	h.advance(200 * time.Millisecond)
	h.arrive("/order/z")
	h.started()
}

// What an earlier process of a target stated does not hold for the present one.
func TestNoticeOfEarlierProcessIsIgnored(t *testing.T) {
	h := newReadyHarness(t)
	in := testInstances()[0]
	in.StartedMS = 5
	h.setInstances(in)
	h.arrive("/order/x")
	a := h.started()
	in.StartedMS = 6
	h.setInstances(in)
	h.end(a.Attempt, msg.DirectDone, notice(msg.TargetNotice{Leaving: true, RetryAfter: time.Minute}))
	h.arrive("/order/y")
	h.started()
}
