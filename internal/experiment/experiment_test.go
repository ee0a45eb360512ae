package experiment

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// exampleSpec returns the experiment of the examples.
func exampleSpec(t *testing.T) *Spec {
	t.Helper()
	b, err := os.ReadFile("../../examples/experiments/short-fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// steadySpec returns the example without swings and faults.
func steadySpec(t *testing.T) *Spec {
	s := exampleSpec(t)
	s.Swings = nil
	s.Faults = nil
	return s
}

// meanResult runs a spec with two seeds and returns the mean scores and token
// counts.
func meanResult(s *Spec) Result {
	const seeds = 2
	var sum Result
	for i := range seeds {
		c := *s
		c.Seed = uint64(i + 1)
		r := Run(&c)
		sum.Overall += r.Overall / seeds
		sum.WorstWindows += r.WorstWindows / seeds
		sum.WorstKind += r.WorstKind / seeds
		sum.PrefilledTokens += r.PrefilledTokens / seeds
		sum.RepeatedTokens += r.RepeatedTokens / seeds
	}
	return sum
}

// Experiments are deterministic for a seed, and the seed affects the load.
func TestSameSeedGivesSameResult(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := exampleSpec(t)
	a, b := Run(s), Run(s)
	is.Equal(a.Overall, b.Overall)
	is.Equal(a.PrefilledTokens, b.PrefilledTokens)
	s.Seed = 2
	is.True(Run(s).PrefilledTokens != a.PrefilledTokens)
}

// Every request has exactly one outcome.
func TestEachRequestIsCountedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := Run(exampleSpec(t))
	for _, k := range r.Kinds {
		is.Equal(k.Requests, k.InTime+k.Late+k.Refused+k.Failed)
		is.True(k.Requests > 500)
	}
}

// Guards the minimum that callers get. Without swings and faults the worst kind of
// request scores at least 0.35, and with them all requests together score at least
// 0.45.
func TestShortFleetMinimumShares(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(meanResult(steadySpec(t)).WorstKind >= 0.35)
	is.True(meanResult(exampleSpec(t)).Overall >= 0.45)
}

// At most a fifth of all prefilled tokens are in shared segments that are prefilled
// again although a request used them at most reuseWindow earlier, so that an engine
// should still have them cached. About that share results if each segment has one
// fixed engine.
func TestSharedSegmentsAreReused(t *testing.T) {
	t.Parallel()
	r := meanResult(steadySpec(t))
	is.New(t).True(r.RepeatedTokens*5 <= r.PrefilledTokens)
}

// If a third of the engines lose answers, callers lose the share of the lost
// answers and at most a tenth of the remaining score.
func TestLostAnswersCostLittleElse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := steadySpec(t)
	before := meanResult(s).Overall
	s.Faults = []Fault{{Type: "lose", At: 10 * time.Second, For: 10 * time.Second, Count: 6}}
	// A third of the engines lose a third of the answers for a quarter of the
	// time, in each of the two steps of a request.
	lost := 2 * (1.0 / 3) * (1.0 / 3) * 10 / 40
	is.True(meanResult(s).Overall >= (before-lost)*0.9)
}

// ownSegment is a prompt's unshared segment, too small to affect the times.
var ownSegment = []msg.PromptSegment{{ID: 1, Tokens: 1}}

// singleEngine returns a simulation without entries and one of its engines, set to
// the role.
func singleEngine(t *testing.T, role msg.Role) (*simulation, *engine) {
	sim := &simulation{spec: exampleSpec(t), byAddr: make(map[string]*engine)}
	sim.result = newResult(sim.spec)
	sim.addEngines()
	e := sim.engines[0]
	e.instance.Role = role
	sim.rand = newRand(1)
	return sim, e
}

// firstTokenTimes runs jobs at an engine and returns the time at which each reported
// its first event.
func firstTokenTimes(sim *simulation, e *engine, jobs ...*job) []time.Duration {
	at := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		j.report = func(msg.Event) {
			if at[i] == 0 {
				at[i] = sim.now
			}
		}
		e.submit(j)
	}
	sim.run(time.Minute)
	return at
}

// The prefill of 48,000 tokens takes a second plus the time for the token pairs at
// a prefill engine, and twice as long at a decode engine.
func TestPrefillTime(t *testing.T) {
	is := is.New(t)
	for role, step := range map[msg.Role]msg.DirectStep{msg.RolePrefill: msg.StepPrefill, msg.RoleDecode: msg.StepWhole} {
		sim, e := singleEngine(t, role)
		at := firstTokenTimes(sim, e, &job{step: step, promptTokens: 48_000, outputTokens: 1, segments: ownSegment})[0]
		pairs := 24.0 * 48 / 1000 * 250 * float64(time.Millisecond)
		prefillTime := time.Second + time.Duration(pairs)
		if role == msg.RoleDecode {
			prefillTime *= 2
		}
		overhead := at - prefillTime
		is.True(overhead > 0 && overhead < 300*time.Millisecond)
	}
}

// The job with the lowest priority number runs first, although it arrives last.
func TestHigherPriorityRunsFirst(t *testing.T) {
	is := is.New(t)
	sim, e := singleEngine(t, msg.RolePrefill)
	at := firstTokenTimes(sim, e,
		&job{attempt: "a", step: msg.StepPrefill, promptTokens: 20_000, priority: 2, segments: ownSegment},
		&job{attempt: "b", step: msg.StepPrefill, promptTokens: 20_000, priority: 2, segments: ownSegment},
		&job{attempt: "c", step: msg.StepPrefill, promptTokens: 1000, priority: 0, segments: ownSegment},
	)
	is.True(at[2] < at[0] && at[0] < at[1])
}

// Two of three jobs fit into the memory for 500,000 tokens. The third waits.
func TestMemoryLimitsTheBatch(t *testing.T) {
	is := is.New(t)
	sim, e := singleEngine(t, msg.RoleDecode)
	jobs := make([]*job, 3)
	for i := range jobs {
		jobs[i] = &job{step: msg.StepDecode, promptTokens: 200_000, prefilledTokens: 200_000, outputTokens: 100}
	}
	at := firstTokenTimes(sim, e, jobs...)
	is.True(at[1] < 100*time.Millisecond)
	is.True(at[2] > 200*time.Millisecond) // it waits until a stream ends
}

// A crash ends the running jobs and removes the engine from the list until it has
// started again.
func TestCrashInterruptsRunningJobs(t *testing.T) {
	is := is.New(t)
	sim, e := singleEngine(t, msg.RolePrefill)
	var got msg.DirectAttemptEnded
	e.submit(&job{step: msg.StepPrefill, promptTokens: 20_000, segments: ownSegment, report: func(ev msg.Event) { got, _ = ev.(msg.DirectAttemptEnded) }})
	sim.run(10 * time.Millisecond)
	e.crash(time.Second)
	is.Equal(got.Result, msg.DirectInterrupted)
	is.Equal(len(sim.registeredInstances()), len(sim.engines)-1)
	sim.run(2 * time.Second)
	is.Equal(len(sim.registeredInstances()), len(sim.engines))
	is.Equal(e.instance.Role, msg.RoleDecode)
}

// Engines that want fewer requests or none cost callers at most what these engines would
// have served, and a segment that crashes them no more than one engine.
func TestEnginesInNeedAreSpared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const maxCrashes = 8 // five, and those that are under way until all entries know
	undisturbed := meanResult(steadySpec(t)).Overall
	for _, fault := range []Fault{
		{Type: FaultLimit, Count: 6, Factor: 2},
		{Type: FaultReject, Count: 4, Factor: 1},
		{Type: FaultLeave, Count: 4},
		{Type: FaultCrashSegment, Count: 1, Factor: 0.1},
	} {
		fault.At, fault.For = 8*time.Second, 10*time.Second
		s := steadySpec(t)
		s.Faults = []Fault{fault}
		r := Run(s)
		t.Logf("%s: %.3f, without %.3f; %d crashes", fault.Type, r.Overall, undisturbed, r.SegmentCrashes)
		left := 1 - float64(fault.Count)/float64(s.Engines.Count)
		is.True(r.Overall >= left*undisturbed)
		is.True(r.SegmentCrashes <= maxCrashes)
	}
}
