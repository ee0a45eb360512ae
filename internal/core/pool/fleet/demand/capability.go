package demand

import "time"

// Capability is the throughput of one engine of a pool.
type Capability struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefillRate"`
	// DecodeRate is in generated tokens per second, at the largest batch that
	// keeps the step time within [MaxStepTime].
	DecodeRate float64 `json:"decodeRate"`
}

const (
	// MaxStepTime is the maximum time between two tokens of a response.
	MaxStepTime = 49 * time.Millisecond
	// LongPromptTokens is the largest number of prompt tokens that a mixed
	// engine under half load prefills within the limit for the first token.
	LongPromptTokens = 3250
	// observationWeight is the weight of a new observation in the moving
	// averages.
	observationWeight = 0.02
	// minBatchVariance is the variance of the batch size above which the step
	// time per sequence is estimated from the observations. At or below it, that
	// time is taken as zero.
	minBatchVariance = 4.0
)

// CapabilityLearner estimates the capability of a pool's engines from their
// load reports. It fits the step time as a linear function of the batch size.
type CapabilityLearner struct {
	prefillRate float64
	maxBatch    float64
	// Moving averages of the batch size, the step time in seconds, the square
	// of the batch size, and the product of batch size and step time.
	batch, step, batchSquared, batchTimesStep float64
	seen                                      bool
}

// Observe adds the report of one engine. It ignores a prefill rate that is not
// positive, and the batch sizes and the step time unless step and maxBatch are
// positive.
func (l *CapabilityLearner) Observe(prefillRate float64, batch, maxBatch int, step time.Duration) {
	if prefillRate > 0 {
		l.prefillRate = smoothOrFirst(l.prefillRate, prefillRate, l.prefillRate > 0)
	}
	if step <= 0 || maxBatch <= 0 {
		return
	}
	b, s := float64(batch), step.Seconds()
	l.maxBatch = max(l.maxBatch, float64(maxBatch))
	l.batch = smoothOrFirst(l.batch, b, l.seen)
	l.step = smoothOrFirst(l.step, s, l.seen)
	l.batchSquared = smoothOrFirst(l.batchSquared, b*b, l.seen)
	l.batchTimesStep = smoothOrFirst(l.batchTimesStep, b*s, l.seen)
	l.seen = true
}

// smoothOrFirst returns the new moving average, which is v itself for the first
// observation.
func smoothOrFirst(old, v float64, seen bool) float64 {
	if !seen {
		return v
	}
	return smooth(old, v, observationWeight)
}

// Capability returns the estimate, with the declared values where nothing was
// observed yet.
func (l *CapabilityLearner) Capability(declared Capability) Capability {
	c := declared
	if l.prefillRate > 0 {
		c.PrefillRate = l.prefillRate
	}
	if l.seen {
		c.DecodeRate = l.decodeRate()
	}
	return c
}

// decodeRate returns the tokens per second at the largest batch that keeps the
// fitted step time within MaxStepTime.
func (l *CapabilityLearner) decodeRate() float64 {
	variance := l.batchSquared - l.batch*l.batch
	slope := 0.0
	if variance > minBatchVariance {
		slope = max(0, (l.batchTimesStep-l.batch*l.step)/variance)
	}
	base := max(l.step-slope*l.batch, l.step/4)
	largest := l.maxBatch
	if slope > 0 {
		largest = min(largest, max(1, (MaxStepTime.Seconds()-base)/slope))
	}
	return largest / (base + slope*largest)
}

// LoadOf converts tokens per second to engine-seconds per second.
func (c Capability) LoadOf(prefillTokens, decodeTokens float64) Load {
	var l Load
	if c.PrefillRate > 0 {
		l.Prefill = prefillTokens / c.PrefillRate
	}
	if c.DecodeRate > 0 {
		l.Decode = decodeTokens / c.DecodeRate
	}
	return l
}
