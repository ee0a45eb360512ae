package request

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Retries must not multiply the load when every attempt fails.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1", "t2", "t3", "t4")
	const requests = 200
	attempts := 0
	for i := range requests {
		f.arriveChat(msg.RequestID(fmt.Sprintf("r%d", i)))
		for {
			start, ok := lastStart(f)
			if !ok {
				break
			}
			attempts++
			f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptFailed})
		}
		is.Equal(find[msg.RefuseRequest](t, f).Outcome, msg.OutcomeRun)
	}
	is.True(f.Idle())
	is.True(attempts > requests)       // some attempts are retried
	is.True(attempts < requests*13/10) // the budget allows 20 retries, and one more for every ten requests
}

func lastStart(f *fixture) (msg.StartAttempt, bool) {
	for _, eff := range f.effects {
		if s, ok := eff.(msg.StartAttempt); ok {
			return s, true
		}
	}
	return msg.StartAttempt{}, false
}

// For excludeDuration a request avoids a target that refused its attempt.
func TestRefusedAttemptRunsElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1", "t2")
	f.arriveChat("r1")
	first := find[msg.StartAttempt](t, f)
	f.step(msg.AttemptEnded{Attempt: first.Attempt, Result: msg.AttemptNotRun})
	second := find[msg.StartAttempt](t, f)
	is.True(second.Target != first.Target)
	f.step(msg.AttemptEnded{Attempt: second.Attempt, Result: msg.AttemptNotRun})
	is.Equal(len(f.effects), 0) // the request avoids both targets
	f.tick(excludeDuration)
	f.tick(msg.TickInterval)
	third := find[msg.StartAttempt](t, f)
	is.True(third.Attempt != second.Attempt)
}
