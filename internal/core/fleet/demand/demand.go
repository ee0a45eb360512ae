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
	// LongShare is the share of the prefill work that belongs to prompts too
	// long for a mixed engine to answer in time.
	LongShare float64 `json:"longShare"`
}

const (
	// SampleInterval is the interval between two samples.
	SampleInterval = time.Second
	// answerConstant spreads decode work over the time that answers take.
	answerConstant = 8 * time.Second
	// longConstant averages the share of long prompts.
	longConstant = time.Minute
	fastConstant = 4 * time.Second
	slowConstant = 4 * time.Minute
	// memory is how long the persistence of past swings counts, and
	// spreadMemory how long their size does.
	memory       = 10 * time.Minute
	spreadMemory = 2 * time.Minute
	// priorSamples is the number of samples that count for full persistence.
	priorSamples = 10
	// maxPersistence lets a ramp be followed ahead.
	maxPersistence = 1.5
)

// Estimator follows the load of one pool. It is not safe for concurrent use.
type Estimator struct {
	horizon int // samples
	total   series
	mix     series
	decode  float64
	long    float64
	prefill float64
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

// Observe takes one sample: the load that arrived, and the part of its
// prefill that belongs to long prompts.
func (e *Estimator) Observe(now msg.Time, l Load, long float64) {
	if !e.started {
		e.decode = l.Decode
	}
	e.started = true
	e.next = now + SampleInterval
	e.decode = average(e.decode, l.Decode, decay(answerConstant))
	e.prefill = average(e.prefill, l.Prefill, decay(longConstant))
	e.long = average(e.long, long, decay(longConstant))
	e.total.observe(l.Prefill + e.decode)
	e.mix.observe(l.Prefill - e.decode)
}

func (e *Estimator) longShare() float64 {
	if e.prefill <= 0 {
		return 0
	}
	return min(1, e.long/e.prefill)
}

// Samples returns the number of samples taken.
func (e *Estimator) Samples() int { return e.total.n }

// Forecast returns the load expected over the horizon.
func (e *Estimator) Forecast() Forecast {
	return Forecast{
		Mean:           split(e.total.forecast(), e.mix.forecast()),
		Fast:           split(e.total.fast, e.mix.fast),
		Slow:           split(e.total.slow, e.mix.slow),
		TotalDeviation: e.total.deviation(),
		MixDeviation:   e.mix.deviation(),
		LongShare:      e.longShare(),
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

// series is one averaged quantity. Its forecast is the slow average plus the
// part of the fast one's distance from it that has persisted in the past.
type series struct {
	n          int
	fast, slow float64
	// past is a ring over the horizon.
	past []point
	// product and square are the decayed sums of a regression of what came on
	// the distance between the averages.
	product, square float64
	// spread is the mean squared distance of single values from the forecast.
	spread float64
}

type point struct{ fast, slow, forecast float64 }

func newSeries(horizon int) series { return series{past: make([]point, horizon)} }

func (s *series) observe(v float64) {
	if s.n == 0 {
		s.fast, s.slow = v, v
	}
	s.fast = average(s.fast, v, s.weight(fastConstant))
	s.slow = average(s.slow, v, s.weight(slowConstant))
	s.score()
	s.past[s.n%len(s.past)] = point{s.fast, s.slow, s.forecast()}
	s.n++
}

// weight is the share of a new sample in an average with the given time
// constant; young averages weigh all samples alike.
func (s *series) weight(constant time.Duration) float64 {
	return max(decay(constant), 1/float64(s.n+1))
}

// decay is the part of an average that one sample replaces.
func decay(constant time.Duration) float64 {
	return 1 - math.Exp(-float64(SampleInterval)/float64(constant))
}

func average(old, v, weight float64) float64 { return old + weight*(v-old) }

// score compares the oldest forecast with what has been seen since.
func (s *series) score() {
	if s.n < len(s.past) {
		return
	}
	old := s.past[s.n%len(s.past)]
	mean, square := 0.0, 0.0
	for _, p := range s.past {
		mean += p.fast
		square += (p.fast - old.forecast) * (p.fast - old.forecast)
	}
	mean /= float64(len(s.past))
	square /= float64(len(s.past))
	distance := old.fast - old.slow
	keep := 1 - decay(memory)
	s.product = keep*s.product + distance*(mean-old.slow)
	s.square = keep*s.square + distance*distance
	s.spread = average(s.spread, square, max(decay(spreadMemory), 1/float64(s.n-len(s.past)+1)))
}

// deviation is the expected distance of single values from the forecast: as
// forecasts missed lately, or as the last values lie around the present one.
// After a lasting step only one of them is large, in a swing both are.
func (s *series) deviation() float64 {
	n := min(s.n, len(s.past))
	if n == 0 {
		return 0
	}
	forecast, square := s.forecast(), 0.0
	for _, p := range s.past[:n] {
		square += (p.fast - forecast) * (p.fast - forecast)
	}
	return math.Sqrt(min(s.spread, square/float64(n)))
}

// persistence is the part of the present distance that is expected to stay
// over the horizon. Without evidence at its scale all of it is.
func (s *series) persistence() float64 {
	distance := s.fast - s.slow
	prior := priorSamples * distance * distance
	if prior+s.square == 0 {
		return 1
	}
	return min(maxPersistence, max(0, (prior+s.product)/(prior+s.square)))
}

func (s *series) forecast() float64 { return s.slow + s.persistence()*(s.fast-s.slow) }
