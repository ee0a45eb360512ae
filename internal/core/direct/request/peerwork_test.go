package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// reportWork delivers digests of 20 daemons, each of which has work at dec-1.
func (h *harness) reportWork(foregroundMS, backgroundMS float32) {
	for i := range 20 {
		h.step(msg.PeerReceived{From: msg.HostID(fmt.Sprint("peer-", i)), Message: msg.LoadDigest{Targets: []msg.TargetDigest{
			{Target: "dec-1", BacklogMS: foregroundMS, BackgroundMS: backgroundMS, Open: 1},
		}}})
	}
}

// An engine does the work of many daemons one after the other, the background work last.
func TestWorkOfManyDaemonsIsDoneInTurn(t *testing.T) {
	h := newReadyHarness(t)
	h.reportWork(50, 10)
	for _, c := range []struct{ after, foreground, background time.Duration }{
		{0, 1000, 200}, {100, 900, 200}, {900, 0, 200}, {150, 0, 50}, {100, 0, 0},
	} {
		h.now += c.after * time.Millisecond
		h.is.Equal(h.peerBacklog("dec-1", foreground).Round(time.Millisecond), c.foreground*time.Millisecond)
		h.is.Equal(h.peerBacklog("dec-1", background).Round(time.Millisecond), c.background*time.Millisecond)
	}
}

// The work of this daemon takes its share of the engine, and falls with first tokens only.
func TestOwnWorkTakesItsShare(t *testing.T) {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2])
	h.arrive("/chat/x", prompt(1, 300, 9000))
	own := h.m.attempts[h.started().Attempt].prefill
	h.step(msg.PeerReceived{From: "peer-1", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-1", BacklogMS: roundMS(own)}}}})
	h.now += own
	h.is.Equal(h.peerBacklog("dec-1", foreground).Round(2*time.Millisecond), (own / 2).Round(2*time.Millisecond))
	h.is.Equal(h.m.targets["dec-1"].backlog(h.now, foreground), own)
}

// What a daemon no longer reports, or that has gone, is not waited for.
func TestWorkOfSilentDaemonIsForgotten(t *testing.T) {
	h := newReadyHarness(t)
	h.reportWork(5000, 0)
	h.step(msg.PeerReceived{From: "peer-0", Message: msg.LoadDigest{}})
	h.is.Equal(h.peerBacklog("dec-1", foreground).Round(time.Millisecond), 95*time.Second)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "peer-1"}}})
	h.is.Equal(h.peerBacklog("dec-1", foreground).Round(time.Millisecond), 5*time.Second)
	h.advance(digestMaxAge + 200*time.Millisecond)
	h.is.Equal(h.peerBacklog("dec-1", foreground), time.Duration(0))
}

// However long the work of a daemon takes its small share, the shares stay finite.
func TestSharesDoNotUnderflow(t *testing.T) {
	w := newPeerWork(0)
	w.shares[foreground].set("peer-1", 1)
	for i := range 100_000 {
		w.advance(msg.Time(i)*time.Millisecond, func(class) time.Duration { return time.Second })
	}
	w.shares[foreground].add("peer-2", 500)
	if got := w.total(foreground).Round(time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("total is %s", got)
	}
}
