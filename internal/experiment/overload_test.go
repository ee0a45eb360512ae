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

// Callers of a fleet that has more to do than it can get as many answers in time as
// before the overload, and more: late prompts give way to those that can be in time.
// Nearly all are in time as long as the fleet can serve them.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ load, inTime float64 }{{1, 0.97}, {1.5, 0.9}, {2.5, 0.55}, {4, 0.35}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			t.Parallel()
			var asked, inTime, worst float64
			const seeds = 2
			for seed := range uint64(seeds) {
				s := deskSpec(t, c.load)
				s.Seed = seed + 1
				r := Run(s)
				asked += float64(r.Kinds[0].Requests)
				inTime += float64(r.Kinds[0].InTime)
				worst += r.WorstKind / seeds
			}
			t.Logf("%.0f of %.0f in time, worst kind %.3f", inTime/seeds, asked/seeds, worst)
			is.New(t).True(inTime >= c.inTime*asked)
		})
	}
}
