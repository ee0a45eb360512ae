package demand

import "time"

// Capability is what engines of a pool are learned to do.
type Capability struct {
	// PrefillRate is in tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	// DecodeRate is in tokens a second at the largest batch that keeps the
	// step time within its limit.
	DecodeRate float64 `json:"decodeRate"`
}

const (
	// StepLimit is the longest time between two tokens of an answer.
	StepLimit = 49 * time.Millisecond
	// LongPrompt is the number of prompt tokens that a half-loaded mixed engine
	// just prefills within the limit for the first token.
	LongPrompt = 3250
	// learningWeight is the share of a new observation in the averages.
	learningWeight = 0.02
	// batchVariance is the variance of the batch size above which the time
	// per sequence is taken from observations.
	batchVariance = 4.0
)

// Learner learns the capability of a pool's engines from what they report. It
// fits the step time as a linear function of the batch size.
type Learner struct {
	prefill  float64
	maxBatch float64
	// Running means of batch, step time in seconds, and their products.
	batch, step, batch2, product float64
	seen                         bool
}

// Observe takes one engine's report.
func (l *Learner) Observe(prefillRate float64, batch, maxBatch int, step time.Duration) {
	if prefillRate > 0 {
		l.prefill = blend(l.prefill, prefillRate, l.prefill > 0)
	}
	if step <= 0 || maxBatch <= 0 {
		return
	}
	b, s := float64(batch), step.Seconds()
	l.maxBatch = max(l.maxBatch, float64(maxBatch))
	l.batch = blend(l.batch, b, l.seen)
	l.step = blend(l.step, s, l.seen)
	l.batch2 = blend(l.batch2, b*b, l.seen)
	l.product = blend(l.product, b*s, l.seen)
	l.seen = true
}

func blend(old, v float64, seen bool) float64 {
	if !seen {
		return v
	}
	return average(old, v, learningWeight)
}

// Capability returns what was learned so far, with declared values where
// nothing was.
func (l *Learner) Capability(declared Capability) Capability {
	c := declared
	if l.prefill > 0 {
		c.PrefillRate = l.prefill
	}
	if l.seen {
		c.DecodeRate = l.decodeRate()
	}
	return c
}

func (l *Learner) decodeRate() float64 {
	variance := l.batch2 - l.batch*l.batch
	slope := 0.0
	if variance > batchVariance {
		slope = max(0, (l.product-l.batch*l.step)/variance)
	}
	base := max(l.step-slope*l.batch, l.step/4)
	largest := l.maxBatch
	if slope > 0 {
		largest = min(largest, max(1, (StepLimit.Seconds()-base)/slope))
	}
	return largest / (base + slope*largest)
}

// Work converts tokens a second to engine-seconds per second.
func (c Capability) Work(prefillTokens, decodeTokens float64) Load {
	var l Load
	if c.PrefillRate > 0 {
		l.Prefill = prefillTokens / c.PrefillRate
	}
	if c.DecodeRate > 0 {
		l.Decode = decodeTokens / c.DecodeRate
	}
	return l
}
