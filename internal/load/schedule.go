package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Request is one scheduled request.
type Request struct {
	ID string
	// At is the scheduled time, counted from the start of the run.
	At     time.Duration
	Stream *Stream
	// PromptTokens and OutputTokens are zero for calls of plain services.
	PromptTokens int
	OutputTokens int
	// Group selects the shared prefix of the prompt.
	Group int
}

// Schedule returns all requests of a workload, sorted by time.
func Schedule(w *Workload) []Request {
	var out []Request
	for i := range w.Streams {
		out = append(out, scheduleStream(w, i)...)
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// scheduleStream returns the requests of one stream. It generates Poisson arrivals
// at the stream's highest rate. Each arrival is kept with a probability of the rate
// at its time divided by the highest rate (thinning).
func scheduleStream(w *Workload, i int) []Request {
	s := &w.Streams[i]
	rng := rand.New(rand.NewPCG(w.Seed, uint64(i)+1))
	maxRate := s.Rate * maxRateFactor(w, s.Name)
	var out []Request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / maxRate
		now := time.Duration(at * float64(time.Second))
		if now >= w.Duration.D() {
			return out
		}
		f := factorsAt(w, s.Name, now)
		keep := rng.Float64()*maxRate < s.Rate*f.rate
		prompt, output := s.Prompt.sample(rng, f.prompt), s.Output.sample(rng, f.output)
		group := 0
		if s.Prefix.Groups > 0 {
			group = rng.IntN(s.Prefix.Groups)
		}
		if !keep {
			continue
		}
		out = append(out, Request{
			ID: fmt.Sprintf("%s-%d-%d", s.Name, w.Seed, len(out)), At: now, Stream: s,
			PromptTokens: prompt, OutputTokens: output, Group: group,
		})
	}
}

// sample draws a length whose median is the distribution's, multiplied by factor.
func (l Length) sample(rng *rand.Rand, factor float64) int {
	normal := rng.NormFloat64()
	if l.Median == 0 {
		return 0
	}
	n := int(math.Round(l.Median * factor * math.Exp(l.Sigma*normal)))
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return max(n, 1)
}

// factors are multipliers of a stream's rate and lengths.
type factors struct{ rate, prompt, output float64 }

func factorsAt(w *Workload, stream string, at time.Duration) factors {
	f := factors{1, 1, 1}
	for _, s := range w.Shifts {
		if s.Stream != "" && s.Stream != stream {
			continue
		}
		effect := s.effect(at)
		f.rate *= scaleFactor(s.Rate, effect)
		f.prompt *= scaleFactor(s.Prompt, effect)
		f.output *= scaleFactor(s.Output, effect)
	}
	return f
}

// effect returns the fraction to which a shift is in effect: 0 before it starts
// and after it ends, rising to 1 during its ramp.
func (s Shift) effect(at time.Duration) float64 {
	since := at - s.At.D()
	if since < 0 || (s.For > 0 && since >= s.For.D()) {
		return 0
	}
	if since < s.Ramp.D() {
		return since.Seconds() / s.Ramp.D().Seconds()
	}
	return 1
}

// scaleFactor scales the factor of a shift by the fraction to which the shift is in
// effect: from 1 (no change) at effect 0 to factor at effect 1. A factor of zero
// means no change.
func scaleFactor(factor, effect float64) float64 {
	if factor == 0 {
		return 1
	}
	return 1 + (factor-1)*effect
}

// maxRateFactor returns an upper bound of the factor of a stream's rate.
func maxRateFactor(w *Workload, stream string) float64 {
	bound := 1.0
	for _, s := range w.Shifts {
		if s.Stream == "" || s.Stream == stream {
			bound *= max(1, s.Rate)
		}
	}
	return bound
}

// bytesPerToken is the length of the text of one token.
const bytesPerToken = 4

// Prompt returns the prompt of a request: the prefix that its group shares,
// followed by text that is unique to the request.
func (r *Request) Prompt() string {
	var b strings.Builder
	shared := 0
	if r.Stream.Prefix.Groups > 0 {
		shared = min(r.Stream.Prefix.Tokens, r.PromptTokens)
	}
	fillTo(&b, fmt.Sprintf("%s/%d ", r.Stream.Name, r.Group), shared*bytesPerToken)
	fillTo(&b, r.ID+" ", max(r.PromptTokens*bytesPerToken, b.Len()+len(r.ID)+1))
	return b.String()
}

// fillTo appends text repeatedly until b is size bytes long.
func fillTo(b *strings.Builder, text string, size int) {
	for b.Len() < size {
		b.WriteString(text[:min(len(text), size-b.Len())])
	}
}
