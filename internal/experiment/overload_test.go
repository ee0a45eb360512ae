package experiment

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deskSpec returns the example of long prompts with short answers, whose rate is
// multiplied by load from 5 s on.
func deskSpec(t *testing.T, load float64) *Spec {
	t.Helper()
	b, err := os.ReadFile("../../examples/experiments/many-short-answers.yaml")
	is.New(t).NoErr(err)
	s, err := Parse(b)
	is.New(t).NoErr(err)
	s.Swings = []Swing{{Kind: s.Kinds[0].Name, At: 5 * time.Second, For: s.Duration - 5*time.Second, Factor: load}}
	return s
}

// playDesk plays a load with two seeds and returns how many prompts were sent and how
// many were in time, as means of the seeds.
func playDesk(t *testing.T, load float64) (asked, inTime float64) {
	t.Helper()
	const seeds = 2
	for seed := range uint64(seeds) {
		s := deskSpec(t, load)
		s.Seed = seed + 1
		r := Run(s)
		asked += float64(r.Kinds[0].Requests) / seeds
		inTime += float64(r.Kinds[0].InTime) / seeds
	}
	t.Logf("%.0f of %.0f in time", inTime, asked)
	return asked, inTime
}

// At the load for which the fleet is made, 95 in 100 first tokens are in time.
func TestOrdinaryLoadIsServedInTime(t *testing.T) {
	t.Parallel()
	asked, inTime := playDesk(t, 1)
	is.New(t).True(inTime >= 0.95*asked)
}

// overloadGain is how many times as many answers are to be in time under overload as
// before late work gave way, when the numbers below were in time.
const overloadGain = 1.4

// Callers of a fleet that has more to do than it can get more answers in time where late
// prompts give way to those that can be in time.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ load, before float64 }{{1.5, 7618}, {2.5, 8239}, {4, 8848}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			t.Parallel()
			asked, inTime := playDesk(t, c.load)
			is.New(t).True(inTime >= min(overloadGain*c.before, 0.95*asked))
		})
	}
}
