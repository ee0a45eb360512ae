package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// newLimitedHarness returns a harness with one target, which has just taken a request and
// named a limit of 4 requests a second.
func newLimitedHarness(t *testing.T) *harness {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[0])
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}, Complete: true})
	h.arrive("/lookup/x")
	h.end(h.started().Attempt, msg.DirectDone, notice(msg.TargetNotice{RequestLimit: 4}))
	h.arrive("/lookup/x") // learns the share, which is empty
	h.advance(400 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
	return h
}

// A request that finds no share of a limit waits for one that comes within its objective.
// One for which there is none in time is refused at once.
func TestRequestWaitsForShare(t *testing.T) {
	h := newLimitedHarness(t)
	h.arrive("/lookup/y")
	h.is.Equal(len(h.m.attempts), 1)
	h.arrive("/lookup/z")
	h.is.Equal(h.refused().Code, "limited")
	h.advance(300 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 2)
}

// A request whose caller leaves while it waits uses no share.
func TestWaitForShareEndsWithCaller(t *testing.T) {
	h := newLimitedHarness(t)
	id := h.arrive("/lookup/y")
	h.step(msg.CallerDisconnected{Req: id})
	h.advance(400 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
	h.is.Equal(len(h.m.held), 0)
}

// A daemon that was cut off for long must not hold a target to a limit of before, and must not
// tell it to others.
func TestLimitIsForgottenWithoutConfirmation(t *testing.T) {
	h := newLimitedHarness(t)
	h.now += limitRetention
	h.step(msg.RoutesConfirmed{At: h.now})
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}, Complete: true})
	digests := 0
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, eff := range h.effects {
			if p, ok := eff.(msg.SendPeer); ok {
				if d, ok := p.Message.(msg.LoadDigest); ok {
					digests++
					h.is.Equal(len(d.Limits), 0)
				}
			}
		}
	}
	h.is.True(digests > 0)
	open := len(h.m.attempts)
	for range 3 { // of which the limit had let one pass
		h.arrive("/lookup/y")
	}
	h.is.Equal(len(h.m.attempts), open+3)
}
