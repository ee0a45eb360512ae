package targetspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func newTracker(n int) *Tracker {
	list := make([]msg.Instance, n)
	for i := range list {
		list[i] = msg.Instance{Target: id(i), Service: "llm"}
	}
	t := New()
	t.SetTargets(list)
	return t
}

func id(i int) msg.TargetID { return msg.TargetID(fmt.Sprint("t", i)) }

// fleet is a set of targets whose true factors are known, and the daemons that observe
// them.
type fleet struct {
	rand     *rand.Rand
	truth    []float64
	trackers []*Tracker
	// usual holds for each daemon the factor by which it errs in the time that is usual.
	usual []float64
	// pace returns the pace that a target reports, given its factor and that of the noise.
	pace func(truth, noise float64) float64
}

// run lets every daemon observe targets for a while, all with noise, and exchange a part
// of what they have seen.
func (f *fleet) run(d time.Duration) msg.Time {
	now := time.Second
	for ; now < d; now += 20 * time.Millisecond {
		n := f.rand.IntN(len(f.trackers))
		from, target := f.trackers[n], f.rand.IntN(len(f.truth))
		noise := 1.0
		if f.rand.IntN(7) == 0 {
			noise = 2.5
		}
		pace := f.pace(f.truth[target], noise)
		took := f.truth[target] * noise * math.Exp(0.2*f.rand.NormFloat64())
		if f.rand.IntN(20) == 0 {
			took *= 5 // a lost packet
		}
		from.Report(now, id(target), pace)
		from.Observe(now, id(target), Observation{Ratio: took / f.usual[n], Took: 50 * time.Millisecond, Pace: pace, Weight: 1})
		speeds := from.Unsent(now, 16)
		for _, other := range f.trackers {
			if other != from && f.rand.IntN(5) > 0 {
				other.Merge(now, speeds)
			}
			other.Advance(now)
		}
	}
	return now
}

// Daemons with different ideas of the usual time come to the same factors, for targets
// that report no pace, one relative to themselves and one relative to their service.
// So does one that has just started.
func TestFactorsAreTrueAtAllDaemons(t *testing.T) {
	for name, pace := range map[string]func(truth, noise float64) float64{
		"none":     func(_, _ float64) float64 { return 0 },
		"own":      func(_, noise float64) float64 { return noise },
		"absolute": func(truth, noise float64) float64 { return truth * noise },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{rand: rand.New(rand.NewPCG(1, 1)), truth: []float64{0.7, 0.7, 1, 1.3, 1.7, 3, 1, 0.8}, pace: pace}
			for i := range 6 {
				f.trackers = append(f.trackers, newTracker(len(f.truth)))
				f.usual = append(f.usual, 0.6+0.2*float64(i))
			}
			now := f.run(40 * time.Second)
			var logs float64
			for _, v := range f.truth {
				logs += math.Log(v)
			}
			mean := math.Exp(logs / float64(len(f.truth)))
			fresh := newTracker(len(f.truth))
			fresh.Merge(now, f.trackers[0].Known(now))
			fresh.Advance(now)
			for _, tr := range append(f.trackers, fresh) {
				for i, truth := range f.truth {
					want, got := truth/mean, tr.Lasting(now, id(i))
					is.True(got > want/1.35 && got < want*1.35)
				}
			}
		})
	}
}

// What a target reported counts at once, and hardly any more 600 ms later. It does not
// count for work that begins so much later either.
func TestNoiseIsForgotten(t *testing.T) {
	is := is.New(t)
	tr := newTracker(2)
	now := time.Second
	for range 20 {
		tr.Report(now, id(0), 1)
		tr.Report(now, id(1), 1)
		tr.Advance(now)
		now += time.Second
	}
	tr.Report(now, id(0), 2.5)
	is.True(tr.Factor(now, id(0), 0, 0) > 2.3)
	is.True(tr.Factor(now, id(0), 600*time.Millisecond, 0) < 1.5)
	is.True(tr.Factor(now, id(0), 0, 500*time.Millisecond) < 2)
	is.True(tr.Factor(now+600*time.Millisecond, id(0), 0, 0) < 1.5)
	is.True(tr.Lasting(now, id(0)) < 1.15)
	tr.Report(now, id(0), 1)
	is.True(tr.Factor(now, id(0), 0, 0) < 1.15)
}

// A target that was slow and is sent nothing is taken to be like the others after a while.
// A restart of its process takes away a part of what is known.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	is := is.New(t)
	tr := newTracker(4)
	now := time.Second
	for i := range 200 {
		ratio := 1.0
		if i%4 == 0 {
			ratio = 3
		}
		tr.Observe(now, id(i%4), Observation{Ratio: ratio, Took: 50 * time.Millisecond, Weight: 1})
		now += 20 * time.Millisecond
		tr.Advance(now)
	}
	slow := tr.Lasting(now, id(0))
	is.True(slow > 2)
	tr.Restarted(id(0))
	is.True(tr.Lasting(now, id(0)) < slow && tr.Lasting(now, id(0)) > 1.3)
	now += 2 * time.Minute
	tr.Advance(now)
	is.True(tr.Lasting(now, id(0)) < 1.3)
}

// What makes no sense has no effect, and what a message holds is bounded.
func TestSenselessSpeedsAreIgnored(t *testing.T) {
	is := is.New(t)
	tr := newTracker(40)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, m := range []msg.TargetSpeed{
		{Factor: nan, Weight: 1}, {Factor: 3, Weight: nan}, {Factor: -1, Weight: 1}, {Factor: 2, Weight: -1}, {Target: "other", Factor: 3, Weight: 9},
	} {
		if m.Target == "" {
			m.Target = id(0)
		}
		tr.Merge(1, []msg.TargetSpeed{m})
		tr.Observe(1, id(0), Observation{Ratio: float64(m.Factor), Weight: float64(m.Weight) * 0})
	}
	tr.Report(1, id(0), math.NaN())
	is.Equal(tr.Lasting(1, id(0)), 1.0)
	is.Equal(len(tr.Unsent(1, 16)), 0)
	tr.Merge(1, []msg.TargetSpeed{{Target: id(0), Factor: inf, Weight: inf, PacePercent: 65535, PaceAgeMS: -5}})
	is.True(tr.Factor(1, id(0), 0, 0) <= maxFactor)
	for i := range 40 {
		tr.Report(2, id(i), 1)
	}
	is.Equal(len(tr.Unsent(3, 16)), 16)
	is.Equal(len(tr.Unsent(3, 30)), 24)
}

// An age so large that its duration overflows must not count as one in the future, which
// would outlast all later paces.
func TestPaceOfSenselessAgeIsNotNewest(t *testing.T) {
	is := is.New(t)
	tr := newTracker(2)
	now := time.Hour
	tr.Report(now, id(0), 1)
	for _, age := range []int64{1 << 44, math.MaxInt64} {
		tr.Merge(now, []msg.TargetSpeed{{Target: id(0), PacePercent: 800, PaceAgeMS: age}})
		last, ok := tr.PaceAge(now, id(0))
		is.True(ok)
		is.Equal(last, time.Duration(0))
		is.Equal(tr.targets[id(0)].pace, 1.0)
	}
}
