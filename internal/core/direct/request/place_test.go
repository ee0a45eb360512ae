package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A shared segment is prefilled once. Later requests with the same segment go
// to a target that holds it or fetch it from there.
func TestSharedSegmentIsPrefilledOnce(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 20_000, 500))
	a := h.started()
	h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	b := h.started()
	h.step(msg.DirectAttemptStarted{Attempt: b.Attempt})
	h.end(b.Attempt, msg.DirectDone)
	for range 6 {
		h.arrive("/chat/x", prompt(1, 20_000, 500))
		c := h.started()
		held := c.Spec.Target == a.Spec.Target || c.Spec.Target == b.Spec.Target
		h.is.True(held || c.Spec.CacheFrom != "")
	}
}

func TestBusyEngineIsAvoided(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "pre-1", BacklogMS: 900}, {Target: "dec-1", BacklogMS: 900}}}})
	h.arrive("/chat/x", prompt(1, 3000, 500))
	h.is.Equal(h.started().Spec.Target, msg.TargetID("dec-2"))
}

func TestDrainingAndChangingTargetsAreSentNothing(t *testing.T) {
	h := newReadyHarness(t)
	list := testInstances()
	list[0].Draining = true
	h.setInstances(list...)
	for range 5 {
		h.arrive("/lookup/x")
		h.is.Equal(h.started().Spec.Target, msg.TargetID("app-2"))
	}
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 3 * time.Second})
	h.step(msg.RoleChangePending{Target: "pre-1", Role: msg.RoleDecode, MaxDuration: 3 * time.Second})
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(h.started().Spec.Target, msg.TargetID("dec-2"))
}

func TestFailingTargetIsAvoided(t *testing.T) {
	h := newReadyHarness(t)
	for range 12 {
		h.m.targets["app-1"].updateFailureRate(h.now, false)
	}
	first := 0
	for range 10 {
		h.arrive("/lookup/x")
		a := h.started()
		if a.Spec.Target == "app-1" {
			first++
		}
		h.now += 5 * time.Millisecond
		h.end(a.Attempt, msg.DirectDone)
	}
	h.is.True(first <= 2) // a target that fails half of its requests is still tried from time to time
}

func TestUnreachableTargetIsInBackoff(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/lookup/x")
	a := h.started()
	h.end(a.Attempt, msg.DirectUnreachable)
	h.is.True(h.started().Spec.Target != a.Spec.Target)
	h.is.True(!h.m.targets[a.Spec.Target].usable(h.now))
	h.is.True(h.m.targets[a.Spec.Target].usable(h.now + minBackoff))
}

// The estimate for an engine evicts the least recently used segments.
func TestCacheViewIsBounded(t *testing.T) {
	c := newCacheView()
	for i := range uint64(100) {
		c.add("e", 10_000, i, 1000)
	}
	is := newReadyHarness(t).is
	is.Equal(c.engines["e"].Tokens(), 7000)
	is.Equal(c.cachedTokens("e", []msg.PromptSegment{{ID: 99, Tokens: 1000}}), 1000)
	is.Equal(c.cachedTokens("e", []msg.PromptSegment{{ID: 0, Tokens: 1000}}), 0)
	is.Equal(len(c.holders), 7)
	c.removeEngine("e")
	is.Equal(len(c.holders), 0)
}

// A segment counts only if all segments before it are held.
func TestCachedPrefixHasNoGaps(t *testing.T) {
	c := newCacheView()
	c.add("e", 100_000, 2, 500)
	is := newReadyHarness(t).is
	segments := []msg.PromptSegment{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 500}}
	is.Equal(c.cachedTokens("e", segments), 0)
	c.add("e", 100_000, 1, 300)
	is.Equal(c.cachedTokens("e", segments), 800)
}

// One daemon reads the cache of each engine, and sends the contents to the
// daemons that join.
func TestCachesAreReadOnceAndShared(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	asked := map[msg.TargetID]int{}
	for range 30 {
		h.now += 100 * time.Millisecond
		h.step(msg.RoutesConfirmed{At: h.now})
		h.step(msg.Tick{})
		for _, eff := range h.effects {
			if r, ok := eff.(msg.ReadCache); ok {
				asked[r.Target]++
			}
		}
	}
	h.is.Equal(asked, map[msg.TargetID]int{"dec-1": 1, "dec-2": 1, "pre-1": 1})
	h.step(msg.CacheRead{Target: "dec-1", Segments: []msg.PromptSegment{{ID: 5, Tokens: 4000}, {ID: 6, Tokens: 3}}})
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	sent, ok := find[msg.SendPeer](h)
	h.is.True(ok)
	d, _ := sent.Message.(msg.LoadDigest)
	h.is.Equal(d.Cached, []msg.CachedSegment{{Target: "dec-1", Segment: 5, Tokens: 4000}}) // small segments are not tracked
}

// A target resets the connections beyond its limit, which applies to all
// daemons together.
func TestConnectionLimitIsShared(t *testing.T) {
	h := newHarness(t)
	table := testTable()
	table.Services[1].MaxConns = 4
	h.configure(table)
	h.setInstances(testInstances()[:1]...)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	for range 2 {
		h.arrive("/lookup/x")
		h.started()
	}
	h.arrive("/lookup/x")
	h.is.Equal(h.refused().Code, "no-target")
}

// The load that a target reports, which includes requests of other daemons,
// counts for a short time.
func TestReportedLoadCounts(t *testing.T) {
	h := newReadyHarness(t)
	for reported := false; !reported; {
		h.arrive("/lookup/x")
		a := h.started()
		h.now += 10 * time.Millisecond
		h.end(a.Attempt, msg.DirectDone, func(ev *msg.DirectAttemptEnded) {
			if a.Spec.Target == "app-1" {
				reported = true
				ev.Load = &msg.TargetLoad{Running: 6, Waiting: 9, Slots: 6}
			}
		})
	}
	for range 4 {
		h.arrive("/lookup/x")
		h.is.Equal(h.started().Spec.Target, msg.TargetID("app-2"))
	}
}

// Streams go to engines with a free slot and free KV cache, whichever daemon
// occupied the other engines.
func TestStreamsGoToEnginesWithCapacity(t *testing.T) {
	for name, full := range map[string]msg.TargetDigest{
		"streams": {Target: "dec-1", Open: 40, Running: 40},
		"slots":   {Target: "dec-1", Open: 90, Running: 64},
		"memory":  {Target: "dec-1", Open: 30, Running: 30, Tokens: 500_000},
	} {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{full}}})
			for range 8 {
				h.arrive("/chat/x", prompt(1, 3000, 500))
				a := h.started()
				if a.Spec.Step != msg.StepPrefill {
					continue
				}
				h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
				h.is.Equal(h.started().Spec.Target, msg.TargetID("dec-2"))
			}
		})
	}
}

// A misdirected attempt shows that the target at the address is not the one in
// the list of targets. The target is sent no requests until its entry in the
// list changes or the backoff ends.
func TestMisdirectedTargetIsInBackoff(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2], testInstances()[4])
	h.arrive("/chat/x", prompt(1, 3000, 500))
	a := h.started()
	h.end(a.Attempt, msg.DirectNotRun, func(ev *msg.DirectAttemptEnded) { ev.Misdirected = true })
	h.is.True(h.started().Spec.Target != a.Spec.Target)
	h.arrive("/chat/x", prompt(1, 3000, 500))
	h.is.True(h.started().Spec.Target != a.Spec.Target)
	list := []msg.Instance{testInstances()[2], testInstances()[4]}
	for i := range list {
		if list[i].Target == a.Spec.Target {
			list[i].Role = msg.RolePrefill + msg.RoleDecode - list[i].Role
		}
	}
	h.setInstances(list...)
	h.is.True(h.m.targets[a.Spec.Target].usable(h.now))
}

// A target that is changing its role is sent no requests until the list of
// targets shows the new role, whatever the list shows before.
func TestRoleChangeLastsUntilListed(t *testing.T) {
	h := newReadyHarness(t)
	dec := h.m.targets["dec-1"]
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 12 * time.Second})
	h.now += 6 * time.Second
	h.setInstances(testInstances()...)
	h.is.True(!dec.usable(h.now))
	list := testInstances()
	list[2].Role = msg.RolePrefill
	h.setInstances(list...)
	h.is.True(dec.usable(h.now))
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 12 * time.Second})
	h.is.True(dec.usable(h.now)) // it already has the role
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RoleDecode, MaxDuration: 12 * time.Second})
	h.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RoleDecode})
	h.is.True(dec.usable(h.now)) // the order was refused
}

// A single refused decode may be due to its handle, but several in a row are
// due to the engine.
func TestEngineThatRefusesDecodesIsInBackoff(t *testing.T) {
	h := newReadyHarness(t)
	dec := h.m.targets["dec-1"]
	for n := 1; n <= maxRefusedDecodes; n++ {
		h.is.True(dec.usable(h.now))
		dec.recordRefusal(h.now, &attempt{step: msg.StepDecode}, false)
	}
	h.is.True(!dec.usable(h.now))
	h.now += time.Second
	dec.recordFirstToken(&attempt{})
	dec.recordRefusal(h.now, &attempt{step: msg.StepDecode}, false)
	h.is.True(dec.usable(h.now)) // a success in between resets the count
	for range 9 {
		dec.recordRefusal(h.now, &attempt{step: msg.StepPrefill}, false)
	}
	h.is.True(dec.usable(h.now)) // a prefill may be refused because the prompt is too large
}

// A decode engine prefills a prompt between the tokens of its streams, which
// all wait for it. The more streams it has, the more placement prefers another
// engine for the prefill.
func TestPrefillCostGrowsWithOpenStreams(t *testing.T) {
	for streams, want := range map[int]msg.TargetID{0: "dec-1", 40: "pre-1"} {
		h := newReadyHarness(t)
		h.setInstances(testInstances()[2], testInstances()[4])
		h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{
			{Target: "dec-1", Open: streams, Running: streams}, {Target: "pre-1", BacklogMS: 150},
		}}})
		h.arrive("/chat/x", prompt(1, 500, 500))
		h.is.Equal(h.started().Spec.Target, want)
	}
}

// An engine that fails its requests at once looks idle. Placement must add the
// expected loss of the requests to its cost.
func TestFailingEngineIsNotPreferred(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2], testInstances()[3])
	for range 6 {
		h.m.targets["dec-1"].updateFailureRate(h.now, false)
	}
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 30, Running: 30}}}})
	for range 10 {
		h.arrive("/chat/x", prompt(1, 300, 50))
		h.is.Equal(h.started().Spec.Target, msg.TargetID("dec-2"))
	}
	h.now += 30 * time.Second
	h.step(msg.RoutesConfirmed{At: h.now})
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 30, Running: 30}}}})
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(h.started().Spec.Target, msg.TargetID("dec-1")) // the failures have decayed, so that it is tried again
}
