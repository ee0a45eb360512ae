// Package prefilltime estimates how long an engine takes from a prompt to its first
// token, and learns from observed times how fast the engines of a service are.
//
// The estimate is a line over the work of a prompt: the time that a reference engine
// takes to prefill it. The base of the line is the time that every request takes, and
// its scale the factor by which the engines are slower than the reference engine.
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
	// memory is the number of observations over which the estimate is averaged.
	memory = 100
	// priorWeight is the weight of the assumption that base and scale differ from
	// those of the reference engine by the same factor, in observations. It decides
	// where all observed prompts are of about the same size.
	priorWeight = 2
	// maxRatio limits an observed time as a multiple of the estimate, so that a lost
	// or delayed response changes the estimate by little.
	maxRatio = 3
	// minScale and maxScale limit the scale.
	minScale = 0.01
	maxScale = 8
	// knownRange is the work up to which the line holds, as a multiple of the longest
	// work observed lately. Beyond it, the reference engine's time is added.
	knownRange = 5
	// minBaseMS is the shortest base in milliseconds.
	minBaseMS = 0.5
)

// Work returns the time that the reference engine takes to prefill a prompt. The
// parameter prompt is the length of the prompt in tokens, and cached the length of
// its prefix that the engine has in its cache.
func Work(role msg.Role, prompt, cached int) time.Duration {
	rate := prefillTokensPerMS
	if role == msg.RoleDecode {
		rate = prefillTokensPerMSDecode
	}
	remaining := float64(max(prompt-cached, 0))
	pairs := remaining * (float64(cached) + remaining/2) / 1e6
	return duration(remaining/rate + pairs*attentionMSPerMillionPairs)
}

// Estimator estimates the time to the first token of engines that are alike: those
// of one service in one role.
type Estimator struct {
	// sums holds the weighted sums of the observations, in milliseconds: their
	// number, work, time, squared work, and work times time.
	sums struct{ n, work, took, workSq, workTook float64 }
	// base is in milliseconds.
	base, scale float64
	// longest is the longest work observed lately, in milliseconds.
	longest float64
}

// New returns an estimator that describes the reference engine.
func New() *Estimator { return &Estimator{base: referenceBaseMS, scale: 1} }

// Base returns the time to the first token of a request without a prompt.
func (e *Estimator) Base() time.Duration { return duration(e.base) }

// Prefill returns the duration of a prefill of the given work.
func (e *Estimator) Prefill(work time.Duration) time.Duration {
	x := milliseconds(work)
	known := min(x, knownRange*e.longest)
	return duration(e.scale*known + x - known)
}

// Observe learns from a request that an idle engine took the given time to the first
// token for the given work.
func (e *Estimator) Observe(work, took time.Duration) {
	x := milliseconds(work)
	y := min(milliseconds(took), maxRatio*(e.base+milliseconds(e.Prefill(work))))
	const keep = 1 - 1.0/memory
	s := &e.sums
	s.n = s.n*keep + 1
	s.work = s.work*keep + x
	s.took = s.took*keep + y
	s.workSq = s.workSq*keep + x*x
	s.workTook = s.workTook*keep + x*y
	e.longest = max(e.longest*keep, x)
	e.fit()
}

// fit fits the line to the observations by least squares. The line is the
// proportional one, by which the observed engine differs from the reference engine in
// one factor, plus a correction that priorWeight keeps small.
func (e *Estimator) fit() {
	s := e.sums
	factor := s.took / (referenceBaseMS*s.n + s.work)
	meanWork := s.work / s.n
	a11, a12, a22 := s.n+priorWeight, s.work, s.workSq+priorWeight*max(meanWork*meanWork, 1)
	b1 := s.took - factor*(referenceBaseMS*s.n+s.work)
	b2 := s.workTook - factor*(referenceBaseMS*s.work+s.workSq)
	det := a11*a22 - a12*a12
	e.base = max(factor*referenceBaseMS+(b1*a22-b2*a12)/det, minBaseMS)
	e.scale = min(max(factor+(a11*b2-a12*b1)/det, minScale), maxScale)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
