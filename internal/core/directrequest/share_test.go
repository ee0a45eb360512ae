package directrequest

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A digest may arrive when the targets are known and the configuration is not
// yet, as in the first moments of a restarted daemon.
func TestDigestBeforeConfiguration(t *testing.T) {
	w := newWorld(t)
	w.list(testInstances()...)
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Cached: []msg.CachedSegment{{Target: "dec-1", Segment: 7, Tokens: 900}}}})
	w.is.Equal(w.m.caches.held("dec-1", []msg.PromptSegment{{ID: 7, Tokens: 900}}), 0) // nothing is known of the engine's memory
}

func TestDigestCountsAndAges(t *testing.T) {
	w := readyWorld(t)
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{
		Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: 500, Open: 3}},
		Cached:  []msg.CachedSegment{{Target: "dec-2", Segment: 7, Tokens: 900}},
	}})
	w.is.Equal(w.m.share.backlog(w.now, "dec-1"), 500*time.Millisecond)
	w.is.Equal(w.m.share.open("dec-1").Open, 3)
	w.is.Equal(w.m.caches.held("dec-2", []msg.PromptSegment{{ID: 7, Tokens: 900}}), 900)
	w.now += 200 * time.Millisecond
	w.is.Equal(w.m.share.backlog(w.now, "dec-1"), 300*time.Millisecond) // work told is done meanwhile
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	w.is.Equal(w.m.share.open("dec-1").Open, 0) // entry-2 is gone
}

func TestDigestIsSentOnNews(t *testing.T) {
	is := is.New(t)
	w := readyWorld(t)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	w.pass(2 * time.Second)
	w.arrive("/chat/x", prompt(1, 2000, 100))
	a := w.started().Attempt
	w.now += 100 * time.Millisecond
	w.step(msg.Tick{})
	sent, ok := find[msg.SendPeer](w)
	is.True(ok)
	is.Equal(sent.To, msg.HostID("entry-2"))
	d, _ := sent.Message.(msg.LoadDigest)
	is.Equal(len(d.Targets), 1)
	is.Equal(d.Targets[0].Open, 1)
	w.step(msg.DirectAttemptStarted{Attempt: a})
	w.now += 100 * time.Millisecond
	w.step(msg.Tick{})
	sent, ok = find[msg.SendPeer](w)
	is.True(ok)
	d, _ = sent.Message.(msg.LoadDigest)
	is.Equal(len(d.Cached), 1) // the engine now holds the shared part
}

// Long work is told when it is sent, so that others who choose in the next
// moments do not all choose the same target.
func TestLongWorkIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	w := readyWorld(t)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	w.pass(2 * time.Second)
	w.arrive("/chat/x", prompt(1, 9000, 1000))
	sent, ok := find[msg.SendPeer](w)
	is.True(ok)
	is.Equal(sent.To, msg.HostID("entry-2"))
	work, _ := sent.Message.(msg.PrefillSent)
	is.Equal(work.Target, w.started().Spec.Target)
	is.True(work.PrefillMS > 100)
	w.arrive("/chat/x", prompt(5, 300, 50))
	_, ok = find[msg.SendPeer](w)
	is.True(!ok) // short work waits for the digest
}

func TestWorkToldCountsWithTheDigest(t *testing.T) {
	is := is.New(t)
	w := readyWorld(t)
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 300}})
	is.Equal(w.m.share.backlog(w.now, "dec-1"), time.Duration(0)) // nothing is known of entry-2 yet
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: 100, Open: 1}}}})
	w.now += 50 * time.Millisecond
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-1", PrefillMS: 300}})
	is.Equal(w.m.share.backlog(w.now, "dec-1"), 350*time.Millisecond)
	is.Equal(w.m.share.open("dec-1").Open, 2)
	w.now += 200 * time.Millisecond
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.PrefillSent{Target: "dec-2", PrefillMS: 300}})
	is.Equal(w.m.share.backlog(w.now, "dec-1"), 150*time.Millisecond)
	is.Equal(w.m.share.backlog(w.now, "dec-2"), 300*time.Millisecond)
}

func entries(n int) []msg.Host {
	list := make([]msg.Host, n)
	for i := range list {
		list[i] = msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%d", i+1))}
	}
	return list
}

// sentParts counts the cached parts in messages of the last step.
func sentParts(w *world) int {
	n := 0
	for _, eff := range w.effects {
		if p, ok := eff.(msg.SendPeer); ok {
			d, _ := p.Message.(msg.LoadDigest)
			n += len(d.Cached)
		}
	}
	return n
}

// After a restart of all every daemon has joined for every other one: each is
// told once what engines hold, not by all of them.
func TestOneDaemonGreetsANewcomer(t *testing.T) {
	is := is.New(t)
	const daemons, parts = 29, 500
	told := 0
	for i := range daemons {
		w := readyWorld(t)
		w.m.self.Host = msg.HostID(fmt.Sprintf("entry-%d", i+1))
		for p := range uint64(parts) {
			w.m.caches.add("dec-1", 1_000_000_000, p, 100)
		}
		w.step(msg.MembersChanged{Entries: entries(daemons)})
		told += sentParts(w)
	}
	is.Equal(told, daemons*parts)
}

// The parts in a digest to many daemons are few: they are sent to each.
func TestPartsToldAreBounded(t *testing.T) {
	is := is.New(t)
	for daemons, most := range map[int]int{4: 3 * maxTold, 29: maxToldAll, 300: 299 * leastTold} {
		w := readyWorld(t)
		w.step(msg.MembersChanged{Entries: entries(daemons)})
		var parts []msg.PromptSegment
		for p := range uint64(3000) {
			parts = append(parts, msg.PromptSegment{ID: p, Tokens: 100})
		}
		w.step(msg.CacheRead{Target: "dec-1", Segments: parts})
		w.now += time.Second
		w.step(msg.Tick{})
		is.True(sentParts(w) > 0 && sentParts(w) <= most)
	}
}
