package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// startAllowance is the time from the start of the daemons after which they serve what
	// is asked: two ticks, and the reads of a host that the store serves.
	startAllowance = 300 * time.Millisecond
	// hearAllowance is the further time in which a host that the store turns away hears from
	// another daemon, which sends something each second.
	hearAllowance = 1200 * time.Millisecond
)

// All daemons restart while the store turns two in five hosts away. Callers are served at
// all of them, inside the quotas of their accounts, whichever hosts hold these.
func TestRestartedFleetServesWhereStoreTurnsHostsAway(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{28, 103} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			f := newQuotaFleet(t, entries)
			f.run(5 * time.Second)
			f.killAll(time.Second)
			for i, e := range f.entries {
				e.turnedAway = i%5 < 2
			}
			f.run(time.Second + startAllowance)
			f.askEach("served", func(e *fleetEntry) bool { return !e.turnedAway })
			f.run(hearAllowance)
			f.askEach("turned away", func(e *fleetEntry) bool { return e.turnedAway })
			// A holder that has no grants of before uses nothing at first.
			f.run(3 * time.Second)
			clear(f.refusals)
			f.loadAccount("calm", 20_000, 5*time.Second)
			f.run(6 * time.Second)
			if f.refusals["quota-unknown"] > 0 || f.refusals["no-config"] > 0 {
				t.Errorf("refused %v", f.refusals)
			}
			f.checkBound("calm")
		})
	}
}

// askEach sends a public prompt to each of some entries and checks that most are answered.
func (f *directFleet) askEach(name string, want func(*fleetEntry) bool) {
	f.t.Helper()
	var sent []*fleetRequest
	for _, e := range f.entries {
		if !want(e) {
			continue
		}
		f.seq++
		body := f.rand.Uint64()
		sent = append(sent, e.deliver(msg.DirectRequestArrived{
			Req: msg.RequestID(fmt.Sprint(f.seq)), CallerID: fmt.Sprint(f.seq), Host: "h", Method: "POST", Path: "/chat/x", BodyHash: body,
			Timeout: 5 * time.Second, PromptTokens: 3000, MaxTokens: 100, Segments: []msg.PromptSegment{{ID: body % 200, Tokens: 2000}, {ID: body, Tokens: 1000}},
		}))
	}
	f.run(time.Second)
	answered := 0
	for _, r := range sent {
		if r.answeredAt > 0 {
			answered++
		}
	}
	f.t.Logf("%s: %d of %d answered; refused %v", name, answered, len(sent), f.refusals)
	if answered*4 < len(sent)*3 {
		f.t.Errorf("%s: %d of %d answered", name, answered, len(sent))
	}
}
