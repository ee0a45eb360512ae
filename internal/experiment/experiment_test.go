package experiment

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// example is the described load of the examples.
func example(t *testing.T) *Spec {
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

// calm is the example without swings and faults.
func calm(t *testing.T) *Spec {
	s := example(t)
	s.Swings = nil
	s.Faults = nil
	return s
}

// play plays a spec with some seeds and returns the mean shares.
func play(s *Spec) Result {
	const seeds = 2
	var sum Result
	for i := range seeds {
		c := *s
		c.Seed = uint64(i + 1)
		r := Run(&c)
		sum.Whole += r.Whole / seeds
		sum.Windows += r.Windows / seeds
		sum.Kind += r.Kind / seeds
		sum.Read += r.Read / seeds
		sum.ReadAgain += r.ReadAgain / seeds
	}
	return sum
}

func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := example(t)
	a, b := Run(s), Run(s)
	is.Equal(a.Whole, b.Whole)
	is.Equal(a.Read, b.Read)
	s.Seed = 2
	is.True(Run(s).Read != a.Read)
}

func TestEachRequestEndsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := Run(example(t))
	for _, k := range r.Kinds {
		is.Equal(k.Requests, k.InTime+k.Late+k.Refused+k.Failed)
		is.True(k.Requests > 500)
	}
}

// The least that callers must get: on a calm day the worst kind of request
// gets 0.35 of its worth or more, on one with swings and faults 0.45 of the
// whole.
func TestShortFleetServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(play(calm(t)).Kind >= 0.35)
	is.True(play(example(t)).Whole >= 0.45)
}

// Shared parts are read again no more than with a fixed home for each: a fifth
// of all tokens read.
func TestSharedPartsAreFound(t *testing.T) {
	t.Parallel()
	r := play(calm(t))
	is.New(t).True(r.ReadAgain*5 <= r.Read)
}

// With lost answers at a third of the engines callers lose what was lost, and
// not more than a tenth of the rest.
func TestLostAnswersHarmOnlyTheirOwn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := calm(t)
	before := play(s).Whole
	s.Faults = []Fault{{What: "lose", At: 10 * time.Second, For: 10 * time.Second, Count: 6}}
	// A third of a third of the answers, for a quarter of the time, at both
	// steps of a request.
	lost := 2 * (1.0 / 3) * (1.0 / 3) * 10 / 40
	is.True(play(s).Whole >= (before-lost)*0.9)
}

// ownPart is a prompt's part of its own, too small to matter.
var ownPart = []msg.PromptSegment{{ID: 1, Tokens: 1}}

func lone(t *testing.T, role msg.Role) (*world, *engine) {
	w := &world{spec: example(t), byAddr: make(map[string]*engine)}
	w.result = newResult(w.spec)
	w.addEngines()
	e := w.engines[0]
	e.in.Role = role
	w.rand = newRand(1)
	return w, e
}

// ends runs jobs at an engine and returns when each got its first token.
func ends(w *world, e *engine, jobs ...*job) []time.Duration {
	at := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		j.told = func(msg.Event) {
			if at[i] == 0 {
				at[i] = w.now
			}
		}
		e.arrive(j)
	}
	w.run(time.Minute)
	return at
}

// A prompt of 48,000 tokens takes a second and the time for its pairs at an
// engine that prefills, twice as long at one that decodes.
func TestReadingTakesItsTime(t *testing.T) {
	is := is.New(t)
	for role, step := range map[msg.Role]msg.DirectStep{msg.RolePrefill: msg.StepPrefill, msg.RoleDecode: msg.StepWhole} {
		w, e := lone(t, role)
		at := ends(w, e, &job{step: step, prompt: 48_000, outputs: 1, parts: ownPart})[0]
		pairs := 24.0 * 48 / 1000 * 250 * float64(time.Millisecond)
		reading := time.Second + time.Duration(pairs)
		if role == msg.RoleDecode {
			reading *= 2
		}
		steps := at - reading
		is.True(steps > 0 && steps < 300*time.Millisecond)
	}
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	w, e := lone(t, msg.RolePrefill)
	at := ends(w, e,
		&job{attempt: "a", step: msg.StepPrefill, prompt: 20_000, priority: 2, parts: ownPart},
		&job{attempt: "b", step: msg.StepPrefill, prompt: 20_000, priority: 2, parts: ownPart},
		&job{attempt: "c", step: msg.StepPrefill, prompt: 1000, priority: 0, parts: ownPart},
	)
	is.True(at[2] < at[0] && at[0] < at[1])
}

func TestMemoryBoundsTheBatch(t *testing.T) {
	is := is.New(t)
	w, e := lone(t, msg.RoleDecode)
	jobs := make([]*job, 3)
	for i := range jobs {
		jobs[i] = &job{step: msg.StepDecode, prompt: 200_000, done: 200_000, outputs: 100}
	}
	at := ends(w, e, jobs...)
	is.True(at[1] < 100*time.Millisecond)
	is.True(at[2] > 200*time.Millisecond) // it waits for a stream to end
}

func TestCrashBreaksWhatRuns(t *testing.T) {
	is := is.New(t)
	w, e := lone(t, msg.RolePrefill)
	var got msg.DirectAttemptEnded
	e.arrive(&job{step: msg.StepPrefill, prompt: 20_000, parts: ownPart, told: func(ev msg.Event) { got, _ = ev.(msg.DirectAttemptEnded) }})
	w.run(10 * time.Millisecond)
	e.crash(time.Second)
	is.Equal(got.Result, msg.DirectInterrupted)
	is.Equal(len(w.list()), len(w.engines)-1)
	w.run(2 * time.Second)
	is.Equal(len(w.list()), len(w.engines))
	is.Equal(e.in.Role, msg.RoleDecode)
}
