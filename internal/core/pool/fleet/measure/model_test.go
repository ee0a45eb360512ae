// Package measure compares the role planner with other policies in a simulation
// in virtual time. It contains a small cost model of an engine, a request
// router, traffic mixes and the policies.
package measure

import (
	"math"
	"math/rand/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
)

// The parameters of the cost model. Times are in seconds.
const (
	prefillRate           = 20_000.0 // prompt tokens per second, of a whole prompt at once
	stepBase              = 0.012
	stepPerSequence       = 0.0005
	decodeBatch           = 64  // maximum batch of a decode engine, in sequences
	mixedBatch            = 24  // maximum batch of a mixed engine, in sequences
	mixedChunk            = 512 // maximum prompt tokens in one step of a mixed engine
	transferTime          = 0.025
	drainLimit            = 5.0 // running responses move to other engines after this time
	moveDelay             = 0.15
	changeTime            = 5.0
	restartTime           = 30.0
	maxFirstToken         = 0.32 // limits for a good response
	maxBetweenTokens      = 0.049
	maxExpectedFirstToken = 0.30 // a request with a later expected first token is refused
)

var modelCapability = demand.Capability{
	PrefillRate: prefillRate,
	DecodeRate:  decodeBatch / (stepBase + stepPerSequence*decodeBatch),
}

// request is one request and the progress of its response.
type request struct {
	arrived, first, ended float64
	prompt, output        int
	promptLeft, generated int
	failed                bool
	decoder               *engine // the engine on which a batch place is reserved for decoding
}

// good reports whether the response is complete and within the latency limits.
func (r *request) good() bool {
	if r.failed || r.ended == 0 || r.first-r.arrived > maxFirstToken {
		return false
	}
	return r.output < 2 || (r.ended-r.first)/float64(r.output-1) <= maxBetweenTokens
}

type state int

const (
	serving state = iota
	draining
	changing
	down
)

// engine is one simulated engine.
type engine struct {
	id       msg.TargetID
	domain   msg.FailureDomain
	role, to msg.Role
	previous msg.Role
	state    state
	queue    []*request // prompts to prefill; the first one is in progress
	decoding []*request
	joining  []*request // prefilled requests that start decoding with the next step
	reserved int
	chunk    int     // prompt tokens of the current step
	stepEnd  float64 // +Inf when idle
	stepLen  float64
	until    float64 // end of the drain, change or outage
	changed  float64 // time of the last role change
	wentDown float64 // time of the last crash
	busy     float64
}

func (e *engine) batchLimit() int {
	if e.role == msg.RoleMixed {
		return mixedBatch
	}
	return decodeBatch
}

// fill returns the share of the batch that is reserved.
func (e *engine) fill() float64 { return float64(e.reserved) / float64(e.batchLimit()) }

func (e *engine) queuedTokens() int {
	n := 0
	for _, r := range e.queue {
		n += r.promptLeft
	}
	return n
}

// expectedFirstToken estimates the time until the first token of a prompt.
func (e *engine) expectedFirstToken(now float64, prompt int) float64 {
	rest := 0.0
	if !math.IsInf(e.stepEnd, 1) {
		rest = e.stepEnd - now
	}
	if e.role == msg.RolePrefill {
		waiting := e.queuedTokens()
		if len(e.queue) > 0 {
			waiting -= e.queue[0].promptLeft
		}
		return rest + float64(waiting+prompt)/prefillRate + stepBase*float64(max(1, len(e.queue)))
	}
	steps := math.Ceil(float64(e.queuedTokens()+prompt) / mixedChunk)
	if len(e.queue) > 0 {
		steps--
	}
	return rest + steps*(stepBase+stepPerSequence*float64(e.reserved)+mixedChunk/prefillRate)
}

// beginStep starts the engine's next step if it has work.
func (e *engine) beginStep(now float64) {
	if !math.IsInf(e.stepEnd, 1) || e.state == changing || e.state == down {
		return
	}
	e.decoding = append(e.decoding, e.joining...)
	e.joining = nil
	if len(e.queue) == 0 && len(e.decoding) == 0 {
		return
	}
	e.chunk = 0
	if len(e.queue) > 0 {
		e.chunk = e.queue[0].promptLeft
	}
	if e.role != msg.RolePrefill {
		e.chunk = min(mixedChunk, e.queuedTokens())
	}
	e.stepLen = stepBase + stepPerSequence*float64(len(e.decoding)) + float64(e.chunk)/prefillRate
	e.stepEnd = now + e.stepLen
}

// endStep finishes a step. It returns the requests whose prefill has ended and
// those whose response is complete.
func (e *engine) endStep(now float64) (prefilled, complete []*request) {
	e.stepEnd = math.Inf(1)
	e.busy += e.stepLen
	for e.chunk > 0 && len(e.queue) > 0 {
		r := e.queue[0]
		n := min(e.chunk, r.promptLeft)
		r.promptLeft -= n
		e.chunk -= n
		if r.promptLeft > 0 {
			break
		}
		e.queue = e.queue[1:]
		prefilled = append(prefilled, r)
	}
	still := e.decoding[:0]
	for _, r := range e.decoding {
		r.generated++
		if r.generated < r.output {
			still = append(still, r)
			continue
		}
		r.ended = now
		e.reserved--
		complete = append(complete, r)
	}
	e.decoding = still
	return prefilled, complete
}

func (e *engine) idle() bool {
	return len(e.queue)+len(e.decoding)+len(e.joining) == 0 && e.reserved == 0
}

// requestSize is the size of a request, in prompt and output tokens.
type requestSize struct{ prompt, output int }

var (
	promptHeavy = requestSize{4000, 60}
	outputHeavy = requestSize{800, 400}
)

// work returns the work of a request, in engine-seconds.
func (s requestSize) work() demand.Load {
	return modelCapability.LoadOf(float64(s.prompt), float64(s.output))
}

// prefillShare returns the share of prefill in the work of a request.
func (s requestSize) prefillShare() float64 { w := s.work(); return w.Prefill / w.Total() }

// trafficMix is the composition of the offered load over time.
type trafficMix struct {
	name string
	// share returns the share of prefill in the work at a time.
	share func(t float64) float64
	// scale returns the factor for the load at a time. Nil means a factor of one.
	scale func(t float64) float64
}

// nextArrival draws the time and size of the next request for a load in
// engine-seconds per second.
func (m trafficMix) nextArrival(r *rand.Rand, t, load float64) (float64, requestSize) {
	if m.scale != nil {
		load *= m.scale(t)
	}
	p, o := promptHeavy, outputHeavy
	// promptHeavyShare is the share of prompt-heavy work that gives the wanted
	// share of prefill.
	promptHeavyShare := (m.share(t) - o.prefillShare()) / (p.prefillShare() - o.prefillShare())
	promptHeavyShare = min(1, max(0, promptHeavyShare))
	ratePrompt := load * promptHeavyShare / p.work().Total()
	rateOutput := load * (1 - promptHeavyShare) / o.work().Total()
	t += r.ExpFloat64() / (ratePrompt + rateOutput)
	if r.Float64()*(ratePrompt+rateOutput) < ratePrompt {
		return t, varySize(r, p)
	}
	return t, varySize(r, o)
}

// varySize varies both sizes at random by up to a quarter.
func varySize(r *rand.Rand, s requestSize) requestSize {
	f := func(n int) int { return max(1, int(float64(n)*(0.75+r.Float64()/2))) }
	return requestSize{f(s.prompt), f(s.output)}
}
