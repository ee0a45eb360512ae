// Package demand estimates the load that arrives for a pool of engines and
// forecasts its mean and standard deviation over a planning horizon.
//
// Load is measured in engine-seconds per second, that is, as the number of
// engines that it keeps busy.
package demand

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Load is a rate of prefill and decode work, in engine-seconds per second.
type Load struct {
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
}

// Total returns the sum of both kinds of work.
func (l Load) Total() float64 { return l.Prefill + l.Decode }

// Forecast is the load expected over the planning horizon.
type Forecast struct {
	Mean Load `json:"mean"`
	// Fast and Slow are moving averages with time constants of a few seconds
	// and of a few minutes.
	Fast Load `json:"fast"`
	Slow Load `json:"slow"`
	// TotalDeviation and MixDeviation are the standard deviations, within the
	// horizon, of the total load and of its mix, which is prefill minus decode.
	TotalDeviation float64 `json:"totalDeviation"`
	MixDeviation   float64 `json:"mixDeviation"`
	// LongShare is the share of the prefill work that belongs to long prompts,
	// see [LongPromptTokens], which a mixed engine can't prefill in time.
	LongShare float64 `json:"longShare"`
}

const (
	// SampleInterval is the time between two samples.
	SampleInterval = time.Second
	// decodeTimeConstant is the time constant of the average that spreads decode
	// work over the time that responses take.
	decodeTimeConstant = 8 * time.Second
	// longShareTimeConstant is the time constant of the averages from which the
	// share of long prompts follows.
	longShareTimeConstant = time.Minute
	// fastTimeConstant and slowTimeConstant are the time constants of the fast
	// and the slow average.
	fastTimeConstant = 4 * time.Second
	slowTimeConstant = 4 * time.Minute
	// persistenceMemory is the time constant with which the evidence of how far
	// past swings persisted decays, and errorMemory the time constant with which
	// past forecast errors do.
	persistenceMemory = 10 * time.Minute
	errorMemory       = 2 * time.Minute
	// priorSamples is the weight, in samples, of the prior assumption that a
	// deviation persists fully.
	priorSamples = 10
	// maxPersistence is above one so that the forecast can extrapolate a ramp.
	maxPersistence = 1.5
)

// Estimator estimates the load of one pool. It is not safe for concurrent use.
type Estimator struct {
	horizon int // in samples
	total   series
	mix     series
	// Moving averages of the decode work, of the prefill work for long prompts,
	// and of all prefill work.
	decode     float64
	long       float64
	prefill    float64
	nextSample msg.Time
	started    bool
}

// New returns an estimator whose forecasts cover the given horizon.
func New(horizon time.Duration) *Estimator {
	n := max(1, int(horizon/SampleInterval))
	return &Estimator{horizon: n, total: newSeries(n), mix: newSeries(n)}
}

// Due reports whether the next sample is due.
func (e *Estimator) Due(now msg.Time) bool { return !e.started || now >= e.nextSample }

// Observe adds one sample: the load that arrived, and the part of its prefill
// work that belongs to long prompts.
func (e *Estimator) Observe(now msg.Time, l Load, long float64) {
	if !e.started {
		e.decode = l.Decode
	}
	e.started = true
	e.nextSample = now + SampleInterval
	e.decode = smooth(e.decode, l.Decode, smoothingFactor(decodeTimeConstant))
	e.prefill = smooth(e.prefill, l.Prefill, smoothingFactor(longShareTimeConstant))
	e.long = smooth(e.long, long, smoothingFactor(longShareTimeConstant))
	e.total.observe(l.Prefill + e.decode)
	e.mix.observe(l.Prefill - e.decode)
}

func (e *Estimator) longShare() float64 {
	if e.prefill <= 0 {
		return 0
	}
	return min(1, e.long/e.prefill)
}

// Samples returns the number of samples that were observed.
func (e *Estimator) Samples() int { return e.total.n }

// Forecast returns the load expected over the horizon.
func (e *Estimator) Forecast() Forecast {
	return Forecast{
		Mean:           loadFromTotalAndMix(e.total.forecast(), e.mix.forecast()),
		Fast:           loadFromTotalAndMix(e.total.fast, e.mix.fast),
		Slow:           loadFromTotalAndMix(e.total.slow, e.mix.slow),
		TotalDeviation: e.total.deviation(),
		MixDeviation:   e.mix.deviation(),
		LongShare:      e.longShare(),
	}
}

// loadFromTotalAndMix returns the load with the given sum and difference of
// prefill and decode. Neither kind of work becomes negative.
func loadFromTotalAndMix(total, mix float64) Load {
	total = max(0, total)
	mix = min(total, max(-total, mix))
	return Load{Prefill: (total + mix) / 2, Decode: (total - mix) / 2}
}

// Shifted returns the mean of the forecast with its total and mix moved by the
// given multiples of their standard deviations.
func (f Forecast) Shifted(total, mix float64) Load {
	return loadFromTotalAndMix(f.Mean.Total()+total*f.TotalDeviation, f.Mean.Prefill-f.Mean.Decode+mix*f.MixDeviation)
}

// series holds moving averages of one quantity. Its forecast is the slow average
// plus a part of the distance between the fast and the slow average: the part
// that has persisted over the horizon in the past.
type series struct {
	n          int
	fast, slow float64
	// history is a ring buffer of the samples within one horizon.
	history []averages
	// productSum and squareSum are the exponentially decayed sums of a
	// regression, which estimates how much of a distance between the averages
	// persists. Its input is the distance at the start of a horizon, and its
	// output how far the mean over that horizon is from the slow average at its
	// start.
	productSum, squareSum float64
	// meanSquaredError is the moving average of the mean squared distance of
	// the values within a horizon from the forecast for it.
	meanSquaredError float64
}

// averages are the averages and the forecast after one sample.
type averages struct{ fast, slow, forecast float64 }

func newSeries(horizon int) series { return series{history: make([]averages, horizon)} }

func (s *series) observe(v float64) {
	if s.n == 0 {
		s.fast, s.slow = v, v
	}
	s.fast = smooth(s.fast, v, s.sampleWeight(fastTimeConstant))
	s.slow = smooth(s.slow, v, s.sampleWeight(slowTimeConstant))
	s.evaluateForecast()
	s.history[s.n%len(s.history)] = averages{s.fast, s.slow, s.forecast()}
	s.n++
}

// sampleWeight returns the weight of a new sample in an average with the given
// time constant. The first samples of a series all get the same weight, so
// that the average starts as their mean.
func (s *series) sampleWeight(constant time.Duration) float64 {
	return max(smoothingFactor(constant), 1/float64(s.n+1))
}

// smoothingFactor returns the weight of one sample in an exponential moving
// average with the given time constant.
func smoothingFactor(constant time.Duration) float64 {
	return 1 - math.Exp(-float64(SampleInterval)/float64(constant))
}

// smooth returns the new value of a moving average.
func smooth(old, v, weight float64) float64 { return old + weight*(v-old) }

// evaluateForecast compares the oldest forecast in the history with the fast
// averages over the horizon that it covered, and updates the regression and the
// forecast error.
func (s *series) evaluateForecast() {
	if s.n < len(s.history) {
		return
	}
	old := s.history[s.n%len(s.history)]
	mean, square := 0.0, 0.0
	for _, p := range s.history {
		mean += p.fast
		square += (p.fast - old.forecast) * (p.fast - old.forecast)
	}
	mean /= float64(len(s.history))
	square /= float64(len(s.history))
	distance := old.fast - old.slow
	keep := 1 - smoothingFactor(persistenceMemory)
	s.productSum = keep*s.productSum + distance*(mean-old.slow)
	s.squareSum = keep*s.squareSum + distance*distance
	s.meanSquaredError = smooth(s.meanSquaredError, square, max(smoothingFactor(errorMemory), 1/float64(s.n-len(s.history)+1)))
}

// deviation returns the expected distance of single values from the forecast.
// It is the smaller of two estimates: the error of recent forecasts, and the
// distance of the last values from the present forecast. After a lasting step
// only one of them is large; during a swing both are.
func (s *series) deviation() float64 {
	n := min(s.n, len(s.history))
	if n == 0 {
		return 0
	}
	forecast, square := s.forecast(), 0.0
	for _, p := range s.history[:n] {
		square += (p.fast - forecast) * (p.fast - forecast)
	}
	return math.Sqrt(min(s.meanSquaredError, square/float64(n)))
}

// persistence returns the part of the present distance between the averages
// that is expected to last over the horizon. Without evidence from distances of
// this size it is one.
func (s *series) persistence() float64 {
	distance := s.fast - s.slow
	prior := priorSamples * distance * distance
	if prior+s.squareSum == 0 {
		return 1
	}
	return min(maxPersistence, max(0, (prior+s.productSum)/(prior+s.squareSum)))
}

func (s *series) forecast() float64 { return s.slow + s.persistence()*(s.fast-s.slow) }
