package request

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// testLifetime is the time for which the streams of the test route can be resumed.
const testLifetime = 2*3*time.Second + originSlack

// resume delivers a request that resumes a stream after its second event. It returns the
// version of the target at which the stream goes on, or the code of the refusal.
func (h *harness) resume(stream string) string {
	h.t.Helper()
	h.arrive("/resume/x", prompt(7, 1000, 100), func(ev *msg.DirectRequestArrived) {
		ev.LastEvent = 2
		ev.Resumes = stream
	})
	for range 30 {
		if r, ok := find[msg.RefuseRequest](h); ok {
			h.is.Equal(r.Outcome, msg.OutcomeNotRun)
			h.is.Equal(r.RetryAfter, time.Duration(0))
			return r.Code
		}
		if a, ok := find[msg.StartDirectAttempt](h); ok {
			return h.m.targets[a.Spec.Target].Version
		}
		h.advance(100 * time.Millisecond)
	}
	h.t.Fatal("the request still waits")
	return ""
}

// begin begins a stream on the resumable route and returns the caller's ID of its request
// and the version of its target. The stream stays open.
func (h *harness) begin() (stream, version string) {
	h.t.Helper()
	id := h.arrive("/resume/x", prompt(7, 1000, 100))
	for range 10 {
		if a, ok := find[msg.StartDirectAttempt](h); ok {
			if a.Spec.Step == msg.StepPrefill {
				h.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "handle" })
				continue
			}
			h.step(msg.DirectAttemptStarted{Attempt: a.Attempt})
			return "c" + string(id), h.m.targets[a.Spec.Target].Version
		}
		h.advance(100 * time.Millisecond)
	}
	h.t.Fatalf("no stream began: %s", h.formatEffects())
	return "", ""
}

// restart replaces the daemon by a new process, after all daemons have gone down. The
// platform's store remains.
func (h *harness) restart(first, second string) *harness {
	next := newHarness(h.t)
	next.objects, next.reqs = h.objects, h.reqs+1000
	next.configure(testTable())
	next.setVersions(first, second)
	return next
}

// setVersions lists the test targets, of which the decode engines have these versions.
func (h *harness) setVersions(first, second string) {
	list := testInstances()
	list[2].Version, list[3].Version = first, second
	list[4].Version = first
	h.setInstances(list...)
}

// newVersionHarness returns a harness whose targets have had these versions for long.
func newVersionHarness(t *testing.T, first, second string) *harness {
	h := newHarness(t)
	h.configure(testTable())
	h.setVersions(first, second)
	h.advance(2 * testLifetime)
	return h
}

func TestResumedStreamOfUnknownOriginIsRefused(t *testing.T) {
	h := newVersionHarness(t, "v1", "v2")
	h.is.Equal(h.resume("c99"), "unknown-version")
}

// A daemon that has just started can't know which versions served before.
func TestDaemonThatHasJustStartedDoesNotGuess(t *testing.T) {
	h := newHarness(t)
	h.configure(testTable())
	h.setVersions("v2", "v2")
	h.is.Equal(h.resume("c99"), "unknown-version")
}

func TestResumedStreamGoesOnWhereOneVersionServes(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.is.Equal(h.resume("c99"), "v1")
	h = h.restart("v1", "v1")
	h.is.Equal(h.resume("c99"), "v1")
}

func TestStreamWhoseVersionIsGoneIsRefused(t *testing.T) {
	h := newVersionHarness(t, "v1", "v2")
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.StreamOrigins{Known: []msg.StreamOrigin{{Stream: (&request{
		arrival: msg.DirectRequestArrived{CallerID: "c99"}, route: &msg.DirectRoute{},
	}).stream(), Version: "v0"}}}})
	h.is.Equal(h.resume("c99"), "version-gone")
}

// A stream began or went on at a target that had started again with another version, which
// the list did not show yet.
func TestStreamWaitsUntilItsProcessIsListed(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	list := h.listProcesses(5)
	h.arrive("/resume/x", prompt(7, 1000, 100))
	first := h.started()
	h.is.Equal(first.Spec.Process, int64(5))
	h.end(first.Attempt, msg.DirectNotSent, func(ev *msg.DirectAttemptEnded) { ev.Process = 9 })
	replaced, ok := find[msg.Raise](h)
	h.is.True(ok)
	h.is.Equal(replaced.Event, msg.TargetReplaced{Target: first.Spec.Target})
	second := h.started()
	h.is.True(second.Spec.Target != first.Spec.Target)
	h.end(second.Attempt, msg.DirectNotSent, func(ev *msg.DirectAttemptEnded) { ev.Process = 9 })
	_, sent := find[msg.StartDirectAttempt](h)
	h.is.True(!sent)
	h.arrive("/chat/x", prompt(7, 1000, 100)) // its streams are not resumed
	h.is.Equal(h.started().Spec.Process, int64(0))
	h.arrive("/resume/x", prompt(7, 1000, 100))
	_, sent = find[msg.StartDirectAttempt](h)
	h.is.True(!sent)
	for i := range list {
		list[i].StartedMS = 9
	}
	h.setInstances(list...)
	h.step(msg.Tick{Wall: time.Unix(1000, 0)})
	h.is.Equal(h.started().Spec.Process, int64(9))
}

// listProcesses lists the test targets without the prefill engine, all of version v1 and
// with processes that started at the given time.
func (h *harness) listProcesses(startedMS int64) []msg.Instance {
	list := testInstances()[:4]
	for i := range list {
		list[i].Version, list[i].StartedMS = "v1", startedMS
	}
	h.setInstances(list...)
	return list
}

// An attempt that was not sent uses up neither the runs of its request nor the budget.
func TestAttemptThatWasNotSentCostsNothing(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.listProcesses(5)
	h.arrive("/resume/x", prompt(7, 1000, 100))
	h.end(h.started().Attempt, msg.DirectInterrupted)
	budget := len(h.m.retryBudgets["llm"].retries)
	h.is.Equal(budget, 1)
	h.end(h.started().Attempt, msg.DirectNotSent)
	h.is.Equal(len(h.m.retryBudgets["llm"].retries), 0)
}

// The list may show a change of version only after the last stream of the old one.
func TestVersionThatHasJustGoneStillCounts(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.setVersions("v2", "v2")
	h.is.Equal(h.resume("c99"), "unknown-version")
	h.advance(2 * testLifetime)
	h.is.Equal(h.resume("c99"), "v2")
}

// All daemons go down at each moment of a release, and come back with the list of targets
// as it is then.
func TestStreamsAfterRestartOfAllDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		// before and after are the versions of the two engines before and after the restart.
		before, after [2]string
		// archived reports whether the stream is old enough to be archived.
		archived bool
	}{
		"before the release":       {[2]string{"v1", "v1"}, [2]string{"v1", "v2"}, false},
		"in the release":           {[2]string{"v1", "v2"}, [2]string{"v1", "v2"}, true},
		"stream has just begun":    {[2]string{"v1", "v2"}, [2]string{"v1", "v2"}, false},
		"as the old targets leave": {[2]string{"v1", "v2"}, [2]string{"v2", "v2"}, false},
		"and rolled back":          {[2]string{"v1", "v2"}, [2]string{"v1", "v1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newVersionHarness(t, "v1", "v1")
			if c.before[1] == "v2" {
				h.setVersions("v1", "v2")
				h.advance(time.Second)
			}
			stream, version := h.begin()
			if c.archived {
				h.advance(time.Second)
			}
			h = h.restart(c.after[0], c.after[1])
			want := "unknown-version"
			if c.archived {
				want = version
				if version != c.after[0] && version != c.after[1] {
					want = "version-gone"
				}
			}
			h.is.Equal(h.resume(stream), want)
		})
	}
}

// While a version is not in the record, no stream begins there.
func TestStreamsBeginAtRecordedVersionsOnly(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	objects := h.objects
	h.objects = nil // The store is away.
	h.setVersions("v2", "v2")
	h.arrive("/resume/x", prompt(7, 1000, 100))
	h.advance(300 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 0)
	h.objects = objects
	h.advance(700 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
}

// A store that has lost writes, and the record with them, does not vouch for one version.
func TestStoreThatLostTheRecordIsNotBelieved(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.objects = coretest.NewObjects()
	h = h.restart("v1", "v1")
	h.step(msg.StoreEraChanged{Era: 2})
	h.is.Equal(h.resume("c99"), "unknown-version")
	h.advance(testLifetime + 3*time.Second)
	h.is.Equal(h.resume("c99"), "v1")
}

// A stream that is taken up while the store is away is refused rather than guessed.
func TestOriginIsNotGuessedWhileStoreIsAway(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1").restart("v1", "v1")
	h.advance(time.Second)
	h.objects = nil
	h.is.Equal(h.resume("c99"), "unknown-version")
}

// A daemon that has just started does not take a version for gone that it has never seen.
func TestVersionsOfBeforeRestartStayInRecord(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.setVersions("v1", "v2")
	h.advance(time.Second)
	h = h.restart("v2", "v2")
	h.advance(5 * time.Second)
	h.is.Equal(h.resume("c99"), "unknown-version")
	h.advance(2 * testLifetime)
	h.is.Equal(h.resume("c99"), "v2")
}

// A version whose targets come back long after they had gone is recorded again before
// streams begin there.
func TestVersionThatComesBackIsRecordedAgain(t *testing.T) {
	h := newVersionHarness(t, "v1", "v1")
	h.setVersions("v2", "v2")
	h.advance(2 * testLifetime)
	objects := h.objects
	h.objects = nil
	h.setVersions("v1", "v1")
	h.arrive("/resume/x", prompt(7, 1000, 100))
	h.advance(300 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 0)
	h.objects = objects
	h.advance(700 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
}
