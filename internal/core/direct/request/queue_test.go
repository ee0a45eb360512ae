package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// occupy reports that other daemons have sent an engine work for the given time.
func (h *harness) occupy(id msg.TargetID, work time.Duration) {
	h.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: id, BacklogMS: roundMS(work)}}}})
}

// newBusyHarness returns a harness with one engine, which is busy for longer than the
// objective of the route chat.
func newBusyHarness(t *testing.T) *harness {
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2])
	h.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	h.occupy("dec-1", time.Second)
	return h
}

func (h *harness) waiting() int { return h.m.queues["llm"].Len() }

// A prompt that can only be late waits, and starts when the engine has little to do.
func TestLatePromptWaitsForRoom(t *testing.T) {
	h := newBusyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(len(h.m.attempts), 0)
	h.is.Equal(h.waiting(), 1)
	h.advance(500 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 0)
	h.advance(500 * time.Millisecond)
	h.is.Equal(len(h.m.attempts), 1)
	h.is.Equal(h.waiting(), 0)
}

// A newcomer that can only be late does not overtake those that wait, but one that can
// meet its objective does.
func TestOnlyPromptsInTimeOvertakeWaitingOnes(t *testing.T) {
	h := newBusyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(h.waiting(), 2)
	h.occupy("dec-1", 500*time.Millisecond)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.started()
	h.is.Equal(h.waiting(), 2)
}

// While the engines stay busy, a waiting prompt gets its answer before most of its time
// has passed, with a time to come back.
func TestHopelessPromptIsRefused(t *testing.T) {
	h := newBusyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	refusedAt := msg.Time(0)
	for begin := h.now; refusedAt == 0 && h.now < begin+5*time.Second; {
		h.occupy("dec-1", time.Second)
		h.advance(100 * time.Millisecond)
		if len(h.m.requests) == 0 {
			refusedAt = h.now - begin
		}
	}
	h.is.True(refusedAt > 0 && refusedAt < 3*time.Second)
	ref := h.refused()
	h.is.Equal(ref.Status, statusUnavailable)
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	h.is.True(ref.RetryAfter > 0)
}

// What can't be served is refused at once, and the callers are not asked to come back
// at the same instant.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	h := newBusyHarness(t)
	retries := make(map[time.Duration]bool)
	refused := 0
	for range 300 {
		h.arrive("/chat/x", prompt(1, 20_000, 50))
		if ref, ok := find[msg.RefuseRequest](h); ok {
			refused++
			retries[ref.RetryAfter] = true
			h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
		}
	}
	h.is.True(refused > 200)
	h.is.True(len(retries) > refused/2)
}

// A caller that leaves while its request waits, or whose key is withdrawn, is not
// served.
func TestWaitingRequestEnds(t *testing.T) {
	h := newBusyHarness(t)
	id := h.arrive("/chat/x", prompt(1, 300, 50))
	h.step(msg.CallerDisconnected{Req: id})
	h.is.Equal(h.waiting(), 0)

	h.arrive("/chat/x", prompt(1, 300, 50))
	table := testTable()
	table.Version = 2
	table.Accounts[0].Keys = []string{"other"}
	h.configure(table)
	h.advance(time.Second)
	h.is.Equal(len(h.m.attempts), 0)
	h.is.Equal(len(h.m.requests), 0)
}

// Under overload long prompts are not put off more often than others.
func TestLongPromptsAreServedAsOftenAsOthers(t *testing.T) {
	is := is.New(t)
	h := newReadyHarness(t)
	h.setInstances(testInstances()[2])
	var started, asked [2]int
	for i := range 400 {
		long := 0
		tokens := 4000
		if i%10 == 0 {
			long, tokens = 1, 16_000
		}
		asked[long]++
		h.occupy("dec-1", time.Duration(100+(i*37)%700)*time.Millisecond)
		h.arrive("/chat/x", prompt(uint64(i), 300, tokens), func(ev *msg.DirectRequestArrived) { ev.CallerID = fmt.Sprint(i) })
		if a, ok := find[msg.StartDirectAttempt](h); ok {
			started[long]++
			h.end(a.Attempt, msg.DirectInterrupted)
		}
		h.m.targets["dec-1"].failureRate = 0
		h.now += 20 * time.Millisecond
		h.step(msg.RoutesConfirmed{At: h.now})
	}
	shareOthers := float64(started[0]) / float64(asked[0])
	shareLong := float64(started[1]) / float64(asked[1])
	is.True(shareOthers > 0.2 && shareOthers < 0.9) // There is overload.
	is.True(shareLong > shareOthers/2)
}

// What was learnt of a route or service that the configuration no longer has is
// forgotten, so that it does not grow with each change.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	h := newReadyHarness(t)
	h.arrive("/chat/x", prompt(1, 300, 50))
	h.is.Equal(len(h.m.typicalPrefill), 1)
	h.is.True(len(h.m.prefillTimes) > 0)
	table := testTable()
	table.Version = 2
	table.Routes = table.Routes[2:]
	table.Services = table.Services[1:]
	h.configure(table)
	h.is.Equal(len(h.m.typicalPrefill)+len(h.m.prefillTimes), 0)
}
