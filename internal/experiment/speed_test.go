package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// manyEntries is so many that each entry alone sees too little of an engine.
const manyEntries = 20

// Where engines differ lastingly and their hosts have other work that changes all the
// time, more callers get their first token in time if placement heeds the speeds. Where
// all are alike, heeding them costs nothing.
func TestSpeedsAreHeeded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		speeds []float64
		noise  Noise
		gain   float64
	}{
		{speeds: []float64{0.7, 0.7, 1, 1.7, 3, 1.2, 0.8}, noise: Noise{Share: 0.15, Factor: 2.5, Every: 600 * time.Millisecond}, gain: 0.02},
		{noise: Noise{Share: 0.15, Factor: 2.5, Every: 600 * time.Millisecond}, gain: -0.015},
		{gain: -0.015},
	} {
		s := steadySpec(t)
		s.Entries = manyEntries
		s.Engines.Speeds, s.Engines.Noise = c.speeds, c.noise
		with := meanResult(s)
		s.Policy.Requests.IgnoreSpeeds = true
		without := meanResult(s)
		t.Logf("all requests %.3f with speeds, %.3f without; worst kind %.3f, %.3f", with.Overall, without.Overall, with.WorstKind, without.WorstKind)
		is := is.New(t)
		is.True(with.Overall >= without.Overall+c.gain)
		is.True(with.WorstKind >= without.WorstKind+c.gain)
	}
}
