package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// No stream ends by its stall timeout while a caller still waits, and nothing else has
// one.
func TestStallTimeoutOutlastsCallers(t *testing.T) {
	is := is.New(t)
	route := msg.DirectRoute{Retry: msg.RetryStream, Objective: 400 * time.Millisecond, Pause: 250 * time.Millisecond}
	is.True(stallTimeout(&route, msg.StepWhole) > 2*time.Second)
	route.Objective = 1200 * time.Millisecond
	is.True(stallTimeout(&route, msg.StepDecode) > 4800*time.Millisecond)
	route.Pause = time.Second
	is.True(stallTimeout(&route, msg.StepWhole) > 8*time.Second)
	is.True(stallTimeout(&route, msg.StepWhole) < 10*time.Second)
	is.Equal(stallTimeout(&route, msg.StepPrefill), time.Duration(0))
	route.Retry = msg.RetryNever
	is.Equal(stallTimeout(&route, msg.StepWhole), time.Duration(0))
}

// A stream went on at another target while a silent one, which does not stop when its
// connection is closed, worked on it beside.
func TestStreamDoesNotGoOnBesideTargetThatAnswers(t *testing.T) {
	for _, state := range []msg.ResponseState{msg.ResponseNone, msg.ResponseStream} {
		for _, answers := range []bool{true, false} {
			h := newReadyHarness(t)
			h.setInstances(testInstances()[:4]...)
			h.arrive("/resume/x", prompt(1, 300, 100))
			h.end(h.started().Attempt, msg.DirectInterrupted, func(ev *msg.DirectAttemptEnded) { ev.Response, ev.Answers = state, answers })
			_, again := find[msg.StartDirectAttempt](h)
			h.is.Equal(again, !answers)
		}
	}
}

// An attempt outlasts a silent host if its request can't run anywhere else.
func TestOnlyLastRunIsPatient(t *testing.T) {
	h := newReadyHarness(t)
	for path, want := range map[string]bool{"/order/1": true, "/chat/1": true, "/open/1": true, "/lookup/1": false, "/resume/1": false} {
		h.arrive(path)
		h.is.Equal(h.started().Spec.Patient, want)
	}
	h.arrive("/lookup/2")
	h.end(h.started().Attempt, msg.DirectInterrupted)
	h.is.True(h.started().Spec.Patient) // the second run of two
}
