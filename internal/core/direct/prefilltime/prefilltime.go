// Package prefilltime estimates how long an engine takes from a prompt to its first
// token, and learns from observed times how fast the engines of a service are.
//
// The work of a prompt has two parts: one that grows with the number of its tokens, and
// attention, which grows with the number of pairs of tokens and takes most of the time of
// a long prompt. The estimate is a base, which is the time that every request takes, and
// for each part a factor by which the engines are slower than a reference engine.
//
// It is designed for a load in which prompts of all lengths come mixed and long ones are
// few: these show the time of attention, and must not be lost among the short ones.
package prefilltime

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Parameters of the reference engine. They are the estimate until times have been
// observed.
const (
	// prefillTokensPerMS is the prefill speed of an engine in prompt tokens per
	// millisecond. prefillTokensPerMSDecode applies instead to a decode engine,
	// which prefills while it decodes other requests.
	prefillTokensPerMS       = 46.0
	prefillTokensPerMSDecode = 23.0
	// attentionMSPerMillionPairs is the time of attention in milliseconds for
	// one million pairs of tokens.
	attentionMSPerMillionPairs = 0.25
	// referenceBaseMS is the time in milliseconds to the first token of a request
	// that has no prompt to prefill.
	referenceBaseMS = 18.0
)

const (
	// memory is the number of observations over which the estimate is averaged. It
	// covers some long prompts where they are few.
	memory = 300
	// priorWeight is the weight of the assumption that base and factors differ from
	// those of the reference engine by the same factor, in observations. It decides
	// where all observed prompts are of about the same size.
	priorWeight = 2
	// maxRatio limits an observed time as a multiple of the estimate, so that a lost
	// or delayed response changes the estimate by little.
	maxRatio = 3
	// minFactor and maxFactor limit the factors of both parts.
	minFactor = 0.01
	maxFactor = 8
	// knownRange is the work up to which the estimate holds, as a multiple of the longest
	// work observed lately. Beyond it, the reference engine's time is added.
	knownRange = 5
	// minBaseMS is the shortest base in milliseconds.
	minBaseMS = 0.5
)

// Work is the work of prefilling a prompt, as the time that the reference engine takes
// for each of its parts.
type Work struct{ Tokens, Attention time.Duration }

// WorkOf returns the work of prefilling a prompt. The parameter prompt is the length of
// the prompt in tokens, and cached the length of its prefix that the engine has in its
// cache.
func WorkOf(role msg.Role, prompt, cached int) Work {
	rate := prefillTokensPerMS
	if role == msg.RoleDecode {
		rate = prefillTokensPerMSDecode
	}
	remaining := float64(max(prompt-cached, 0))
	pairs := remaining * (float64(cached) + remaining/2) / 1e6
	return Work{duration(remaining / rate), duration(pairs * attentionMSPerMillionPairs)}
}

// Total returns the time that the reference engine takes.
func (w Work) Total() time.Duration { return w.Tokens + w.Attention }

// terms is the number of terms of the estimate: the base and the two parts of the work.
const terms = 3

// Estimator estimates the time to the first token of engines that are alike: those
// of one service in one role.
type Estimator struct {
	// n is the weighted number of the observations.
	n float64
	// products holds the weighted sums of the products of each two terms of the
	// observations, in milliseconds, and took those of each term and the time. The first
	// term of an observation is 1.
	products [terms][terms]float64
	took     [terms]float64
	// base is in milliseconds.
	base, perTokens, perAttention float64
	// longest is the longest work observed lately, in milliseconds.
	longest float64
}

// New returns an estimator that describes the reference engine.
func New() *Estimator { return &Estimator{base: referenceBaseMS, perTokens: 1, perAttention: 1} }

// Base returns the time to the first token of a request without a prompt.
func (e *Estimator) Base() time.Duration { return duration(e.base) }

// Observations returns the number of observations on which the estimate rests.
func (e *Estimator) Observations() float64 { return e.n }

// Prefill returns the duration of a prefill of the given work.
func (e *Estimator) Prefill(work Work) time.Duration {
	total := milliseconds(work.Total())
	if total <= 0 {
		return 0
	}
	known := min(1, knownRange*e.longest/total)
	estimate := e.perTokens*milliseconds(work.Tokens) + e.perAttention*milliseconds(work.Attention)
	return duration(known*estimate + (1-known)*total)
}

// Observe learns from a request that an idle engine took the given time to the first
// token for the given work.
func (e *Estimator) Observe(work Work, took time.Duration) {
	x := [terms]float64{1, milliseconds(work.Tokens), milliseconds(work.Attention)}
	y := min(milliseconds(took), maxRatio*(e.base+milliseconds(e.Prefill(work))))
	// The deviations of times grow with them.
	weight := referenceBaseMS / (referenceBaseMS + x[1] + x[2])
	const keep = 1 - 1.0/memory
	e.n = e.n*keep + 1
	for i := range terms {
		for j := range terms {
			e.products[i][j] = e.products[i][j]*keep + weight*x[i]*x[j]
		}
		e.took[i] = e.took[i]*keep + weight*x[i]*y
	}
	e.longest = max(e.longest*keep, x[1]+x[2])
	e.fit()
}

// fit fits the terms to the observations by least squares. The result is the
// proportional estimate, by which the observed engine differs from the reference engine in
// one factor, plus a correction that priorWeight keeps small.
func (e *Estimator) fit() {
	reference := [terms]float64{referenceBaseMS, 1, 1}
	var expected float64
	for j, r := range reference {
		expected += r * e.products[0][j]
	}
	factor := e.took[0] / expected
	a, b := e.products, e.took
	for i := range terms {
		for j, r := range reference {
			b[i] -= factor * r * e.products[i][j]
		}
		mean := e.products[0][i] / e.products[0][0]
		a[i][i] += priorWeight * max(mean*mean, 1)
	}
	correction := solve(a, b)
	e.base = max(factor*referenceBaseMS+correction[0], minBaseMS)
	e.perTokens = min(max(factor+correction[1], minFactor), maxFactor)
	e.perAttention = min(max(factor+correction[2], minFactor), maxFactor)
}

// solve returns the x with ax = b by Gaussian elimination. The matrix a is positive
// definite, so that no rows have to be exchanged.
func solve(a [terms][terms]float64, b [terms]float64) [terms]float64 {
	for i := range terms {
		for k := i + 1; k < terms; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < terms; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := terms - 1; i >= 0; i-- {
		for j := i + 1; j < terms; j++ {
			b[i] -= a[i][j] * b[j]
		}
		b[i] /= a[i][i]
	}
	return b
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
