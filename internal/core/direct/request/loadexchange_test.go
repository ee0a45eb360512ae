package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Right after the start of a daemon, a digest may arrive when the list of targets
// has been read but the configuration has not.
func TestDigestBeforeConfiguration(t *testing.T) {
	h := newHarness(t)
	h.setInstances(testInstances()...)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Cached: []msg.CachedSegment{{Target: "dec-1", Segment: 7, Tokens: 900}}}})
	h.is.Equal(h.m.caches.cachedTokens("dec-1", []msg.PromptSegment{{ID: 7, Tokens: 900}}), 0) // the size of the engine's KV cache is not known
}

func TestDigestCountsAndAges(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{
		Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: 500, Open: 3}},
		Cached:  []msg.CachedSegment{{Target: "dec-2", Segment: 7, Tokens: 900}},
	}})
	h.is.Equal(h.peerBacklog("dec-1", foreground), 500*time.Millisecond)
	h.is.Equal(h.m.exchange.openWork(h.now, "dec-1").Open, 3)
	h.is.Equal(h.m.caches.cachedTokens("dec-2", []msg.PromptSegment{{ID: 7, Tokens: 900}}), 900)
	h.now += 200 * time.Millisecond
	h.is.Equal(h.peerBacklog("dec-1", foreground), 300*time.Millisecond) // the reported work is being done meanwhile
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	h.is.Equal(h.m.exchange.openWork(h.now, "dec-1").Open, 0) // entry-2 is no longer a member
}

// A daemon that has sent no digest for long, although it is still a member, does not
// count with the work that it last reported.
func TestOldDigestIsNotCounted(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", Open: 3}}}})
	h.now += digestMaxAge
	h.is.Equal(h.m.exchange.openWork(h.now, "dec-1").Open, 3)
	h.now++
	h.is.Equal(h.m.exchange.openWork(h.now, "dec-1").Open, 0)
}

func TestDigestIsSentOnChange(t *testing.T) {
	is := is.New(t)
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.advance(2 * time.Second)
	h.arrive("/chat/x", prompt(1, 2000, 100))
	a := h.started().Attempt
	h.now += 100 * time.Millisecond
	h.step(msg.Tick{})
	sent, ok := find[msg.SendPeer](h)
	is.True(ok)
	is.Equal(sent.To, msg.HostID("entry-2"))
	d, _ := sent.Message.(msg.LoadDigest)
	is.Equal(len(d.Targets), 1)
	is.Equal(d.Targets[0].Open, 1)
	h.step(msg.DirectAttemptStarted{Attempt: a})
	h.now += 100 * time.Millisecond
	h.step(msg.Tick{})
	sent, ok = find[msg.SendPeer](h)
	is.True(ok)
	d, _ = sent.Message.(msg.LoadDigest)
	is.Equal(len(d.Cached), 1) // the engine now holds the shared segment
}

// A long prefill is announced when it is sent, so that other daemons that place
// requests in the next moments do not all choose the same target.
func TestLongPrefillIsAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.advance(2 * time.Second)
	h.arrive("/chat/x", prompt(1, 9000, 1000))
	sent, ok := find[msg.SendPeer](h)
	is.True(ok)
	is.Equal(sent.To, msg.HostID("entry-2"))
	work, _ := sent.Message.(msg.PrefillSent)
	is.Equal(work.Target, h.started().Spec.Target)
	is.True(work.PrefillMS > 100)
	h.arrive("/chat/x", prompt(5, 300, 50))
	_, ok = find[msg.SendPeer](h)
	is.True(!ok) // a short prefill is only in the next digest
}

func TestAnnouncedPrefillAddsToDigest(t *testing.T) {
	is := is.New(t)
	h := newReadyHarness(t)
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 300}})
	is.Equal(h.peerBacklog("dec-1", foreground), time.Duration(0)) // entry-2 has sent no digest yet
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: 100, Open: 1}}}})
	h.now += 50 * time.Millisecond
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 300}})
	is.Equal(h.peerBacklog("dec-1", foreground), 350*time.Millisecond)
	is.Equal(h.m.exchange.openWork(h.now, "dec-1").Open, 2)
	h.now += 200 * time.Millisecond
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-2", PrefillMS: 300}})
	is.Equal(h.peerBacklog("dec-1", foreground), 150*time.Millisecond)
	is.Equal(h.peerBacklog("dec-2", foreground), 300*time.Millisecond)
}

func entryHosts(n int) []msg.Host {
	list := make([]msg.Host, n)
	for i := range list {
		list[i] = msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%d", i+1))}
	}
	return list
}

// sentSegments counts the cached segments in the messages of the last step.
func sentSegments(h *harness) int {
	n := 0
	for _, eff := range h.effects {
		if p, ok := eff.(msg.SendPeer); ok {
			d, _ := p.Message.(msg.LoadDigest)
			n += len(d.Cached)
		}
	}
	return n
}

// After a restart of all daemons, each one is new to every other. Each must
// receive the estimated cache contents from one daemon, not from all others.
func TestOneDaemonSendsCacheToNewEntry(t *testing.T) {
	is := is.New(t)
	const daemons, segments = 29, 500
	sent := 0
	for i := range daemons {
		h := newReadyHarness(t)
		h.m.self.Host = msg.HostID(fmt.Sprintf("entry-%d", i+1))
		for p := range uint64(segments) {
			h.m.caches.add("dec-1", 1_000_000_000, p, 100)
		}
		h.step(msg.MembersChanged{Entries: entryHosts(daemons)})
		sent += sentSegments(h)
	}
	is.Equal(sent, daemons*segments)
}

// A digest to many daemons must contain few segments, because it is sent to
// each of them.
func TestDigestSegmentsAreLimited(t *testing.T) {
	is := is.New(t)
	for daemons, most := range map[int]int{4: 3 * maxSegmentsPerMessage, 29: maxSegmentsAllPeers, 300: 299 * minSegmentsPerPeer} {
		h := newReadyHarness(t)
		h.step(msg.MembersChanged{Entries: entryHosts(daemons)})
		var segments []msg.PromptSegment
		for p := range uint64(3000) {
			segments = append(segments, msg.PromptSegment{ID: p, Tokens: 100})
		}
		h.step(msg.CacheRead{Target: "dec-1", Segments: segments})
		h.now += time.Second
		h.step(msg.Tick{})
		is.True(sentSegments(h) > 0 && sentSegments(h) <= most)
	}
}

// Whether a prefill is announced at once depends on what the route's objective leaves:
// a prefill that is short for one route delays the prompts of another.
func TestPrefillIsAnnouncedByObjective(t *testing.T) {
	for _, test := range []struct {
		objective time.Duration
		announced bool
	}{{800 * time.Millisecond, false}, {100 * time.Millisecond, true}} {
		is := is.New(t)
		h := newReadyHarness(t)
		table := testTable()
		table.Version = 2
		table.Routes[0].Objective = test.objective
		h.configure(table)
		h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
		h.arrive("/chat/x", prompt(1, 300, 50)) // The prefill takes about 15 ms.
		sent, ok := find[msg.SendPeer](h)
		is.Equal(ok, test.announced)
		if ok {
			_, isPrefill := sent.Message.(msg.PrefillSent)
			is.True(isPrefill)
		}
	}
}
