package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A caller that was refused at another daemon and comes back when its answer can only be
// late does not take the place of one whose answer can still be in time.
func TestCallerThatComesBackLateGivesWay(t *testing.T) {
	for _, askedMS := range []int64{100, 2000} {
		h := newReadyHarness(t)
		h.setInstances(testInstances()[2])
		h.arrive("/chat/x", prompt(1, 300, 50))
		r := h.m.requests["1"]
		h.end(h.started().Attempt, msg.DirectDone)
		h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Refused: []msg.RefusedRequest{{Fingerprint: r.fingerprint, AskedMS: askedMS, LeftMS: 3000}}}})
		h.arrive("/chat/x", prompt(1, 300, 50), func(ev *msg.DirectRequestArrived) { ev.BodyHash = 1 })
		a := h.m.attempts[h.started().Attempt]
		h.is.Equal(a.class == background, askedMS == 2000)
	}
}

// What this daemon refuses is told to the others with the time that the caller has left.
func TestRefusalIsTold(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.setInstances()
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(h.refused().Code, "no-target")
	h.advance(100 * time.Millisecond)
	sent, _ := find[msg.SendPeer](h)
	d, _ := sent.Message.(msg.LoadDigest)
	h.is.Equal(len(d.Refused), 1)
	h.is.Equal(d.Refused[0].AskedMS, int64(100))
	h.is.Equal(d.Refused[0].LeftMS, int64(4900))
}
