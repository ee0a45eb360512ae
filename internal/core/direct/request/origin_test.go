package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// resume delivers a request that resumes a stream after its second event.
func (h *harness) resume(stream string) {
	h.t.Helper()
	h.arrive("/resume/x", prompt(7, 1000, 100), func(ev *msg.DirectRequestArrived) {
		ev.LastEvent = 2
		ev.Resumes = stream
	})
}

// setVersions lists the test targets, of which the decode engines have these versions.
func (h *harness) setVersions(first, second string) {
	list := testInstances()
	list[2].Version, list[3].Version = first, second
	list[4].Version = first
	h.setInstances(list...)
}

func TestResumedStreamOfUnknownOriginIsRefused(t *testing.T) {
	h := newReadyHarness(t)
	h.setVersions("v1", "v2")
	h.resume("c99")
	r := h.refused()
	h.is.Equal(r.Code, "unknown-version")
	h.is.Equal(r.Outcome, msg.OutcomeNotRun)
	h.is.Equal(r.RetryAfter, time.Duration(0))
}

func TestResumedStreamGoesOnWhereOneVersionServes(t *testing.T) {
	h := newHarness(t)
	h.configure(testTable())
	h.setVersions("v1", "v1")
	h.resume("c99")
	h.started()
}

func TestStreamWhoseVersionIsGoneIsRefused(t *testing.T) {
	h := newReadyHarness(t)
	h.setVersions("v1", "v2")
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.StreamOrigins{Known: []msg.StreamOrigin{{Stream: (&request{
		arrival: msg.DirectRequestArrived{CallerID: "c99"}, route: &msg.DirectRoute{},
	}).stream(), Version: "v0"}}}})
	h.resume("c99")
	h.is.Equal(h.refused().Code, "version-gone")
}

// The list may show a change of version only after the last stream of the old one.
func TestVersionThatHasJustGoneStillCounts(t *testing.T) {
	h := newReadyHarness(t)
	h.setVersions("v1", "v1")
	h.advance(time.Second)
	h.setVersions("v2", "v2")
	h.resume("c99")
	h.is.Equal(h.refused().Code, "unknown-version")
	h.advance(versionMemory)
	h.resume("c99")
	h.started()
}

// A daemon that is cut off from the store does not see that a second version serves.
func TestOriginIsAskedForWhileListIsOld(t *testing.T) {
	h := newReadyHarness(t)
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.setVersions("v1", "v1")
	for _, age := range []time.Duration{time.Second, listMaxAge} {
		h.advance(versionMemory)
		h.setVersions("v1", "v1")
		h.advance(age)
		h.resume("c99")
		h.is.Equal(h.logged("waits for the origin of its stream"), age == listMaxAge)
	}
}
