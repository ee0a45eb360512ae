// Package demand estimates the work that arrives for a pool of engines and
// forecasts it over a planning horizon, with its uncertainty.
//
// Work is measured in engine-seconds per second: the number of engines that
// would be kept busy.
package demand

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Load is the work of one kind of pool, in engine-seconds per second.
type Load struct {
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
}

// Total is the sum of both kinds of work.
func (l Load) Total() float64 { return l.Prefill + l.Decode }

// Forecast is the load expected over the planning horizon.
type Forecast struct {
	Mean Load `json:"mean"`
	// Fast and Slow are the averages over the last seconds and minutes.
	Fast Load `json:"fast"`
	Slow Load `json:"slow"`
	// TotalDeviation and MixDeviation are the standard deviations, within the
	// horizon, of the total and of prefill minus decode.
	TotalDeviation float64 `json:"totalDeviation"`
	MixDeviation   float64 `json:"mixDeviation"`
}

const (
	// SampleInterval is the interval between two samples.
	SampleInterval = time.Second
	fastConstant   = 4 * time.Second
	middleConstant = 30 * time.Second
	slowConstant   = 4 * time.Minute
	// errorConstant is how long past errors of the predictors count.
	errorConstant = 5 * time.Minute
	// errorFloor is the squared error below which predictors are alike.
	errorFloor = 1e-4
	// weightPower makes the better predictors count more.
	weightPower = 2
)

// Estimator follows the load of one pool. It is not safe for concurrent use.
type Estimator struct {
	horizon int // samples
	total   series
	mix     series
	next    msg.Time
	started bool
}

// New returns an estimator that forecasts over the given horizon.
func New(horizon time.Duration) *Estimator {
	n := max(1, int(horizon/SampleInterval))
	return &Estimator{horizon: n, total: newSeries(n), mix: newSeries(n)}
}

// Due reports whether the next sample is to be taken.
func (e *Estimator) Due(now msg.Time) bool { return !e.started || now >= e.next }

// Observe takes one sample.
func (e *Estimator) Observe(now msg.Time, l Load) {
	e.started = true
	e.next = now + SampleInterval
	e.total.observe(l.Total())
	e.mix.observe(l.Prefill - l.Decode)
}

// Samples returns the number of samples taken.
func (e *Estimator) Samples() int { return e.total.n }

// Forecast returns the load expected over the horizon.
func (e *Estimator) Forecast() Forecast {
	total, totalDev := e.total.forecast()
	mix, mixDev := e.mix.forecast()
	return Forecast{
		Mean:           split(total, mix),
		Fast:           split(e.total.fast, e.mix.fast),
		Slow:           split(e.total.slow, e.mix.slow),
		TotalDeviation: totalDev,
		MixDeviation:   mixDev,
	}
}

// Split returns the load with the given total and difference.
func split(total, mix float64) Load {
	total = max(0, total)
	mix = min(total, max(-total, mix))
	return Load{Prefill: (total + mix) / 2, Decode: (total - mix) / 2}
}

// Shifted returns the forecast's mean with its total and mix moved by
// multiples of their deviations.
func (f Forecast) Shifted(total, mix float64) Load {
	return split(f.Mean.Total()+total*f.TotalDeviation, f.Mean.Prefill-f.Mean.Decode+mix*f.MixDeviation)
}

// predictors of a series. Each predicts the mean over the horizon.
const (
	predictFast = iota
	predictMiddle
	predictSlow
	predictTrend
	predictors
)

// series is one averaged quantity and the record of its predictors.
type series struct {
	n                  int
	fast, middle, slow float64
	// past holds, in a ring, what was predicted and seen over the horizon.
	past   []point
	errors [predictors]float64
	// spread holds, per predictor, the mean squared distance of single
	// samples from the prediction.
	spread [predictors]float64
}

type point struct {
	value       float64
	predictions [predictors]float64
}

func newSeries(horizon int) series { return series{past: make([]point, horizon)} }

func (s *series) observe(v float64) {
	if s.n == 0 {
		s.fast, s.middle, s.slow = v, v, v
	}
	s.fast = average(s.fast, v, s.weight(fastConstant))
	s.middle = average(s.middle, v, s.weight(middleConstant))
	s.slow = average(s.slow, v, s.weight(slowConstant))
	s.score()
	s.past[s.n%len(s.past)] = point{s.fast, s.predict()}
	s.n++
}

// weight is the share of a new sample in an average with the given time
// constant; young averages weigh all samples alike.
func (s *series) weight(constant time.Duration) float64 {
	return max(1-math.Exp(-float64(SampleInterval)/float64(constant)), 1/float64(s.n+1))
}

func average(old, v, weight float64) float64 { return old + weight*(v-old) }

// score compares the oldest predictions with what has been seen since.
func (s *series) score() {
	if s.n < len(s.past) {
		return
	}
	mean, square := 0.0, 0.0
	for _, p := range s.past {
		mean += p.value
		square += p.value * p.value
	}
	mean /= float64(len(s.past))
	square /= float64(len(s.past))
	weight := max(1-math.Exp(-float64(SampleInterval)/float64(errorConstant)), 1/float64(s.n-len(s.past)+1))
	for i, predicted := range s.past[s.n%len(s.past)].predictions {
		miss := mean - predicted
		s.errors[i] = average(s.errors[i], miss*miss, weight)
		s.spread[i] = average(s.spread[i], square-2*predicted*mean+predicted*predicted, weight)
	}
}

func (s *series) predict() [predictors]float64 {
	var p [predictors]float64
	p[predictFast] = s.fast
	p[predictMiddle] = s.middle
	p[predictSlow] = s.slow
	// The slope shows in how far the averages lag behind each other.
	slope := (s.fast - s.middle) / (middleConstant - fastConstant).Seconds()
	p[predictTrend] = s.fast + slope*float64(len(s.past))/2*SampleInterval.Seconds()
	return p
}

// forecast combines the predictors by their past errors.
func (s *series) forecast() (mean, deviation float64) {
	var weights, variance float64
	for i, p := range s.predict() {
		w := 1 / math.Pow(s.errors[i]+errorFloor, weightPower)
		weights += w
		mean += w * p
		variance += w * s.spread[i]
	}
	return mean / weights, math.Sqrt(max(0, variance/weights))
}
