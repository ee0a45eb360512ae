package demand

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// feed observes a load for a number of seconds.
func feed(e *Estimator, start, seconds int, load func(t int) Load) {
	for t := start; t < start+seconds; t++ {
		e.Observe(msg.Time(t)*time.Second, load(t), 0)
	}
}

func constant(prefill, decode float64) func(int) Load {
	return func(int) Load { return Load{prefill, decode} }
}

// swing alternates between two mixes with a period in seconds.
func swing(period int) func(int) Load {
	return func(t int) Load {
		if t%period < period/2 {
			return Load{4, 12}
		}
		return Load{12, 4}
	}
}

func near(a, b, by float64) bool { return math.Abs(a-b) <= by }

func TestLastingStepIsFollowedWithinSeconds(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	feed(e, 0, 600, constant(4, 12))
	f := e.Forecast()
	is.True(near(f.Mean.Prefill, 4, 0.1))
	is.True(f.MixDeviation < 0.1)
	feed(e, 600, 15, constant(12, 4))
	is.True(e.Forecast().Mean.Prefill > 10)
	feed(e, 615, 120, constant(12, 4))
	is.True(e.Forecast().MixDeviation < 1) // the step is over
}

func TestShortSwingIsForecastAsItsMeanWithItsSpread(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	feed(e, 0, 900, swing(30))
	for i := range 30 {
		feed(e, 900+i, 1, swing(30))
		f := e.Forecast()
		is.True(near(f.Mean.Prefill, 8, 1.5))
		is.True(f.MixDeviation > 2)
	}
}

func TestLongSwingIsFollowed(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	feed(e, 0, 1800, swing(600))
	feed(e, 1800, 100, swing(600))
	is.True(e.Forecast().Mean.Prefill < 6)
	feed(e, 1900, 300, swing(600))
	is.True(e.Forecast().Mean.Prefill > 10)
}

func TestLongShareIsThePartOfLongPrompts(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	for i := range 600 {
		e.Observe(msg.Time(i)*time.Second, Load{Prefill: 8, Decode: 2}, 6)
	}
	is.True(near(e.Forecast().LongShare, 0.75, 0.01))
}

func TestCapabilityIsLearned(t *testing.T) {
	is := is.New(t)
	var l Learner
	declared := Capability{PrefillRate: 1000, DecodeRate: 100}
	is.Equal(l.Capability(declared), declared)
	for i := range 2000 {
		batch := 8 + i%48
		l.Observe(20_000, batch, 64, 12*time.Millisecond+time.Duration(batch)*500*time.Microsecond)
	}
	c := l.Capability(declared)
	is.True(near(c.PrefillRate, 20_000, 1))
	is.True(near(c.DecodeRate, 64/0.044, 15)) // a step of the full batch takes 44 ms
	is.True(near(c.Work(40_000, 0).Prefill, 2, 0.01))
}

func TestSlowEnginesAreLearnedToDecodeLess(t *testing.T) {
	is := is.New(t)
	var l Learner
	for i := range 2000 {
		batch := 8 + i%48
		l.Observe(0, batch, 64, 12*time.Millisecond+time.Duration(batch)*time.Millisecond)
	}
	// 37 sequences keep the step within its limit of 49 ms.
	is.True(near(l.Capability(Capability{}).DecodeRate, 37/0.049, 15))
}
