// Package measure holds the virtual-time measurement of the role planner: a
// small cost model of an engine, a router, mixes of arrivals and the planners
// that are compared.
package measure

import (
	"math"
	"math/rand/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost model. Times are in seconds.
const (
	prefillRate  = 20_000.0 // tokens a second, of a whole prompt at once
	stepBase     = 0.012
	stepPerSeq   = 0.0005
	decodeBatch  = 64  // sequences of a decode engine
	mixedBatch   = 24  // sequences of a mixed engine
	mixedChunk   = 512 // prompt tokens in one step of a mixed engine
	transferTime = 0.025
	drainLimit   = 5.0 // then running answers move
	moveGap      = 0.15
	changeTime   = 5.0
	restartTime  = 30.0
	firstToken   = 0.32 // limits of a good answer
	betweenToken = 0.049
	admitWithin  = 0.30 // expected first token above which a request is refused
)

var declared = demand.Capability{
	PrefillRate: prefillRate,
	DecodeRate:  decodeBatch / (stepBase + stepPerSeq*decodeBatch),
}

// request is one request and how its answer went.
type request struct {
	arrived, first, ended float64
	prompt, output        int
	left, got             int
	spoilt                bool
	place                 *engine // holds the reserved place for decoding
}

func (r *request) good() bool {
	if r.spoilt || r.ended == 0 || r.first-r.arrived > firstToken {
		return false
	}
	return r.output < 2 || (r.ended-r.first)/float64(r.output-1) <= betweenToken
}

type state int

const (
	serving state = iota
	draining
	changing
	down
)

// engine is one modelled engine.
type engine struct {
	id       msg.TargetID
	domain   msg.FailureDomain
	role, to msg.Role
	previous msg.Role
	state    state
	queue    []*request // prompts, the first one in progress
	decoding []*request
	joining  []*request // prefilled, waiting for the next step
	reserved int
	chunk    int     // prompt tokens of the step in progress
	stepEnd  float64 // +Inf when idle
	stepLen  float64
	until    float64 // end of drain, change or outage
	changed  float64 // time of the last role change
	wentDown float64 // time of the last crash
	busy     float64
}

func (e *engine) batch() int {
	if e.role == msg.RoleMixed {
		return mixedBatch
	}
	return decodeBatch
}

// fill is the used part of the batch.
func (e *engine) fill() float64 { return float64(e.reserved) / float64(e.batch()) }

func (e *engine) queued() int {
	n := 0
	for _, r := range e.queue {
		n += r.left
	}
	return n
}

// firstTokenIn estimates the time until the first token of a prompt.
func (e *engine) firstTokenIn(now float64, prompt int) float64 {
	rest := 0.0
	if !math.IsInf(e.stepEnd, 1) {
		rest = e.stepEnd - now
	}
	if e.role == msg.RolePrefill {
		waiting := e.queued()
		if len(e.queue) > 0 {
			waiting -= e.queue[0].left
		}
		return rest + float64(waiting+prompt)/prefillRate + stepBase*float64(max(1, len(e.queue)))
	}
	steps := math.Ceil(float64(e.queued()+prompt) / mixedChunk)
	if len(e.queue) > 0 {
		steps--
	}
	return rest + steps*(stepBase+stepPerSeq*float64(e.reserved)+mixedChunk/prefillRate)
}

// begin starts the engine's next step, if it has work.
func (e *engine) begin(now float64) {
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
		e.chunk = e.queue[0].left
	}
	if e.role != msg.RolePrefill {
		e.chunk = min(mixedChunk, e.queued())
	}
	e.stepLen = stepBase + stepPerSeq*float64(len(e.decoding)) + float64(e.chunk)/prefillRate
	e.stepEnd = now + e.stepLen
}

// end finishes a step. It returns the requests that were prefilled and those
// that are whole.
func (e *engine) end(now float64) (prefilled, whole []*request) {
	e.stepEnd = math.Inf(1)
	e.busy += e.stepLen
	for e.chunk > 0 && len(e.queue) > 0 {
		r := e.queue[0]
		n := min(e.chunk, r.left)
		r.left -= n
		e.chunk -= n
		if r.left > 0 {
			break
		}
		e.queue = e.queue[1:]
		prefilled = append(prefilled, r)
	}
	still := e.decoding[:0]
	for _, r := range e.decoding {
		r.got++
		if r.got < r.output {
			still = append(still, r)
			continue
		}
		r.ended = now
		e.reserved--
		whole = append(whole, r)
	}
	e.decoding = still
	return prefilled, whole
}

func (e *engine) idle() bool {
	return len(e.queue)+len(e.decoding)+len(e.joining) == 0 && e.reserved == 0
}

// shape is a kind of request.
type shape struct{ prompt, output int }

var (
	promptHeavy = shape{4000, 60}
	outputHeavy = shape{800, 400}
)

func (s shape) work() demand.Load {
	return declared.Work(float64(s.prompt), float64(s.output))
}

// share is the prefill share of a shape's work.
func (s shape) share() float64 { w := s.work(); return w.Prefill / w.Total() }

// mix is the offered load over time.
type mix struct {
	name string
	// share is the prefill share of the work at a time.
	share func(t float64) float64
	// scale multiplies the load; nil for one.
	scale func(t float64) float64
}

// next draws the time and shape of the next arrival for a load in
// engine-seconds per second.
func (m mix) next(r *rand.Rand, t, load float64) (float64, shape) {
	if m.scale != nil {
		load *= m.scale(t)
	}
	p, o := promptHeavy, outputHeavy
	// The part of the work that is prompt-heavy gives the wanted share.
	part := (m.share(t) - o.share()) / (p.share() - o.share())
	part = min(1, max(0, part))
	ratePrompt := load * part / p.work().Total()
	rateOutput := load * (1 - part) / o.work().Total()
	t += r.ExpFloat64() / (ratePrompt + rateOutput)
	if r.Float64()*(ratePrompt+rateOutput) < ratePrompt {
		return t, jitter(r, p)
	}
	return t, jitter(r, o)
}

// jitter varies sizes by a quarter.
func jitter(r *rand.Rand, s shape) shape {
	f := func(n int) int { return max(1, int(float64(n)*(0.75+r.Float64()/2))) }
	return shape{f(s.prompt), f(s.output)}
}
