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

// Request is one planned request.
type Request struct {
	ID     string
	At     time.Duration
	Stream *Stream
	// PromptTokens and OutputTokens are zero for calls of plain services.
	PromptTokens int
	OutputTokens int
	// Group selects the shared beginning of the prompt.
	Group int
}

// Schedule returns all requests of a workload in order of time.
func Schedule(w *Workload) []Request {
	var out []Request
	for i := range w.Streams {
		out = append(out, scheduleStream(w, i)...)
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// scheduleStream draws arrivals at the stream's highest rate and keeps each
// with the probability that the rate of its time gives (thinning).
func scheduleStream(w *Workload, i int) []Request {
	s := &w.Streams[i]
	rng := rand.New(rand.NewPCG(w.Seed, uint64(i)+1))
	highest := s.Rate * highestRate(w, s.Name)
	var out []Request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / highest
		now := time.Duration(at * float64(time.Second))
		if now >= w.Duration.D() {
			return out
		}
		f := factorsAt(w, s.Name, now)
		keep := rng.Float64()*highest < s.Rate*f.rate
		prompt, output := s.Prompt.draw(rng, f.prompt), s.Output.draw(rng, f.output)
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

func (l Length) draw(rng *rand.Rand, factor float64) int {
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

// factors multiply a stream's rate and lengths.
type factors struct{ rate, prompt, output float64 }

func factorsAt(w *Workload, stream string, at time.Duration) factors {
	f := factors{1, 1, 1}
	for _, s := range w.Shifts {
		if s.Stream != "" && s.Stream != stream {
			continue
		}
		share := s.share(at)
		f.rate *= blend(s.Rate, share)
		f.prompt *= blend(s.Prompt, share)
		f.output *= blend(s.Output, share)
	}
	return f
}

// share returns how far a shift is in effect: 0 before it, 1 after its ramp.
func (s Shift) share(at time.Duration) float64 {
	since := at - s.At.D()
	if since < 0 || (s.For > 0 && since >= s.For.D()) {
		return 0
	}
	if since < s.Ramp.D() {
		return since.Seconds() / s.Ramp.D().Seconds()
	}
	return 1
}

func blend(factor, share float64) float64 {
	if factor == 0 {
		return 1
	}
	return 1 + (factor-1)*share
}

// highestRate bounds the factor of a stream's rate.
func highestRate(w *Workload, stream string) float64 {
	bound := 1.0
	for _, s := range w.Shifts {
		if s.Stream == "" || s.Stream == stream {
			bound *= max(1, s.Rate)
		}
	}
	return bound
}

// bytesPerToken is the length of the text that stands for one token.
const bytesPerToken = 4

// Prompt returns the text of a request: the beginning of its group, then text
// of its own.
func (r *Request) Prompt() string {
	var b strings.Builder
	shared := 0
	if r.Stream.Prefix.Groups > 0 {
		shared = min(r.Stream.Prefix.Tokens, r.PromptTokens)
	}
	fill(&b, fmt.Sprintf("%s/%d ", r.Stream.Name, r.Group), shared*bytesPerToken)
	fill(&b, r.ID+" ", max(r.PromptTokens*bytesPerToken, b.Len()+len(r.ID)+1))
	return b.String()
}

// fill repeats text until b is size bytes long.
func fill(b *strings.Builder, text string, size int) {
	for b.Len() < size {
		b.WriteString(text[:min(len(text), size-b.Len())])
	}
}
