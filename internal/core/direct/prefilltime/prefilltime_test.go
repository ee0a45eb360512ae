package prefilltime

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// observe lets an estimator observe prompts of an engine with the given base and
// prefill speed in tokens per millisecond. A tenth of the responses are late.
func observe(e *Estimator, n, minTokens, maxTokens int, base, rate float64) {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		tokens := minTokens + r.IntN(maxTokens-minTokens+1)
		ms := (base + float64(tokens)/rate) * (0.9 + 0.2*r.Float64())
		if r.IntN(10) == 0 {
			ms += 100
		}
		e.Observe(WorkOf(msg.RolePrefill, tokens, 0), duration(ms))
	}
}

func (e *Estimator) estimate(tokens int) time.Duration {
	return e.Base() + e.Prefill(WorkOf(msg.RolePrefill, tokens, 0))
}

// within reports whether got lies between want/ratio and want*ratio.
func within(got time.Duration, wantMS, ratio float64) bool {
	ms := milliseconds(got)
	return ms >= wantMS/ratio && ms <= wantMS*ratio
}

func TestEstimatorFollowsFastAndSlowEngines(t *testing.T) {
	for _, rate := range []float64{600, 150, 46, 12} {
		is := is.New(t)
		e := New()
		observe(e, 60, 500, 16000, 9, rate)
		for _, tokens := range []int{1000, 8000, 16000} {
			want := 9 + float64(tokens)/rate
			is.True(within(e.estimate(tokens), want, 1.7))
		}
	}
}

// Where all prompts are of one size, the estimate for other sizes is in proportion to
// the reference engine.
func TestEstimatorWithOnePromptSize(t *testing.T) {
	is := is.New(t)
	e := New()
	observe(e, 60, 4000, 4000, 9, 600)
	is.True(within(e.estimate(4000), 9+4000.0/600, 1.7))
	is.True(e.estimate(16000) > e.estimate(4000))
	is.True(e.estimate(16000) < 4*e.estimate(4000))
}

func TestFirstObservationsCountAtOnce(t *testing.T) {
	is := is.New(t)
	e := New()
	observe(e, 5, 500, 16000, 9, 600)
	is.True(within(e.estimate(16000), 9+16000.0/600, 3))
}

func TestCachedPrefixIsNoWorkButAttention(t *testing.T) {
	is := is.New(t)
	is.Equal(WorkOf(msg.RolePrefill, 5000, 5000), Work{})
	total := func(role msg.Role, prompt, cached int) time.Duration { return WorkOf(role, prompt, cached).Total() }
	is.True(total(msg.RolePrefill, 5000, 4000) < total(msg.RolePrefill, 5000, 0)/4)
	is.True(total(msg.RolePrefill, 5000, 4000) > total(msg.RolePrefill, 1000, 0))
	is.True(total(msg.RoleDecode, 1000, 0) > total(msg.RolePrefill, 1000, 0))
}

// A short prompt that is answered at once does not show that long ones are.
func TestShortPromptSaysLittleOfLongOnes(t *testing.T) {
	is := is.New(t)
	e := New()
	for range 3 {
		e.Observe(WorkOf(msg.RoleDecode, 100, 0), time.Millisecond)
	}
	is.True(e.Prefill(WorkOf(msg.RoleDecode, 30_000, 0)) > WorkOf(msg.RoleDecode, 30_000, 0).Total()/2)
}

// Three in a hundred prompts are long, and attention takes most of their time. The
// estimate holds for all lengths, although engines are noisy.
func TestEstimatesHoldOverPromptLengths(t *testing.T) {
	const base, rate, pairs = 31, 112, 0.218
	truth := func(tokens int) float64 {
		n := float64(tokens)
		return base + n/rate + n*n/2/1e6*pairs
	}
	for seed := range uint64(20) {
		is := is.New(t)
		e := New()
		r := rand.New(rand.NewPCG(seed, 1))
		for range 600 {
			tokens := 200 + int(6000*r.ExpFloat64())
			if r.IntN(100) < 3 {
				tokens = 30_000 + r.IntN(30_000)
			}
			ms := truth(tokens) * (0.85 + 0.3*r.Float64())
			if r.IntN(20) == 0 {
				ms *= 2
			}
			e.Observe(WorkOf(msg.RolePrefill, tokens, 0), duration(ms))
		}
		for _, tokens := range []int{1000, 4000, 12_000, 24_000, 40_000, 55_000} {
			is.True(within(e.estimate(tokens), 1.05*truth(tokens), 1.2))
		}
	}
}
