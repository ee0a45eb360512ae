package demand

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// observeSeconds passes one sample for each of a number of seconds to the
// estimator.
func observeSeconds(e *Estimator, start, seconds int, load func(t int) Load) {
	for t := start; t < start+seconds; t++ {
		e.Observe(msg.Time(t)*time.Second, load(t), 0)
	}
}

func constantLoad(prefill, decode float64) func(int) Load {
	return func(int) Load { return Load{prefill, decode} }
}

// alternatingMix returns a load that alternates between two mixes with a period
// in seconds.
func alternatingMix(period int) func(int) Load {
	return func(t int) Load {
		if t%period < period/2 {
			return Load{4, 12}
		}
		return Load{12, 4}
	}
}

func within(a, b, by float64) bool { return math.Abs(a-b) <= by }

func TestForecastFollowsLastingStepWithinSeconds(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	observeSeconds(e, 0, 600, constantLoad(4, 12))
	f := e.Forecast()
	is.True(within(f.Mean.Prefill, 4, 0.1))
	is.True(f.MixDeviation < 0.1)
	observeSeconds(e, 600, 15, constantLoad(12, 4))
	is.True(e.Forecast().Mean.Prefill > 10)
	observeSeconds(e, 615, 120, constantLoad(12, 4))
	is.True(e.Forecast().MixDeviation < 1) // the whole horizon lies after the step
}

func TestForecastOfShortSwingIsItsMeanAndDeviation(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	observeSeconds(e, 0, 900, alternatingMix(30))
	for i := range 30 {
		observeSeconds(e, 900+i, 1, alternatingMix(30))
		f := e.Forecast()
		is.True(within(f.Mean.Prefill, 8, 1.5))
		is.True(f.MixDeviation > 2)
	}
}

func TestForecastFollowsLongSwing(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	observeSeconds(e, 0, 1800, alternatingMix(600))
	observeSeconds(e, 1800, 100, alternatingMix(600))
	is.True(e.Forecast().Mean.Prefill < 6)
	observeSeconds(e, 1900, 300, alternatingMix(600))
	is.True(e.Forecast().Mean.Prefill > 10)
}

func TestLongShareIsShareOfLongPrompts(t *testing.T) {
	is := is.New(t)
	e := New(time.Minute)
	for i := range 600 {
		e.Observe(msg.Time(i)*time.Second, Load{Prefill: 8, Decode: 2}, 6)
	}
	is.True(within(e.Forecast().LongShare, 0.75, 0.01))
}

func TestCapabilityIsEstimatedFromReports(t *testing.T) {
	is := is.New(t)
	var l CapabilityLearner
	declared := Capability{PrefillRate: 1000, DecodeRate: 100}
	is.Equal(l.Capability(declared), declared)
	for i := range 2000 {
		batch := 8 + i%48
		l.Observe(20_000, batch, 64, 12*time.Millisecond+time.Duration(batch)*500*time.Microsecond)
	}
	c := l.Capability(declared)
	is.True(within(c.PrefillRate, 20_000, 1))
	is.True(within(c.DecodeRate, 64/0.044, 15)) // a step of the full batch takes 44 ms
	is.True(within(c.LoadOf(40_000, 0).Prefill, 2, 0.01))
}

func TestDecodeRateOfSlowEnginesKeepsStepTimeLimit(t *testing.T) {
	is := is.New(t)
	var l CapabilityLearner
	for i := range 2000 {
		batch := 8 + i%48
		l.Observe(0, batch, 64, 12*time.Millisecond+time.Duration(batch)*time.Millisecond)
	}
	// 37 sequences keep the step time within its limit of 49 ms.
	is.True(within(l.Capability(Capability{}).DecodeRate, 37/0.049, 15))
}
