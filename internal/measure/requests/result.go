package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/pool/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/request"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/routing"
)

// Goals that a request must meet to count as goodput.
const (
	// firstTokenGoal is the goal for the time to the first token of an urgent
	// generation request.
	firstTokenGoal = 320 * time.Millisecond
	// tokenGapGoal is the goal for the mean time between its tokens.
	tokenGapGoal = 49 * time.Millisecond
	// serviceGoal is the goal for the response time of the plain service.
	serviceGoal = 200 * time.Millisecond
)

// Variant is a combination of a routing policy and a queueing policy.
type Variant struct {
	Name   string
	Config request.Config
}

// Variants returns the system's own combination of policies, which comes first, and
// the baselines.
func Variants() []Variant {
	with := func(r routing.Policy, a fairqueue.Policy) Variant {
		return Variant{
			Name:   r.String() + ", " + a.String(),
			Config: request.Config{Routing: routing.Config{Policy: r}, FairQueue: fairqueue.Config{Policy: a}},
		}
	}
	return []Variant{
		with(routing.PolicyCost, fairqueue.PolicyFair),
		with(routing.PolicyCost, fairqueue.PolicyFIFO),
		with(routing.PolicyLeastLoaded, fairqueue.PolicyFair),
		with(routing.PolicyLeastLoaded, fairqueue.PolicyFIFO),
		with(routing.PolicyRoundRobin, fairqueue.PolicyFIFO),
	}
}

// Result contains the figures of a run.
type Result struct {
	// Asked counts the urgent generation requests, and Met those of them that met
	// both goals.
	Asked, Met int
	// LateFirst and SlowTokens count the urgent generation requests with a
	// complete response that missed the goal for the first token, or only that
	// for the others.
	LateFirst, SlowTokens int
	// Later counts the generation requests that may wait, and LaterDone those of
	// them with a complete response.
	Later, LaterDone int
	// Calls counts the requests to the plain service, and CallsMet those of them
	// that met their goal.
	Calls, CallsMet int
	// Refused counts the requests that were refused or aborted, and Broken those
	// that ended neither with an error nor with a complete response.
	Refused, Broken int
	// Retries is the mean number of retries per request.
	Retries float64
	// HitRate is the share of the prompts' prefix tokens that was in a cache.
	HitRate float64
	// Accounts contains the figures of each client account.
	Accounts []AccountResult
	// Seconds contains the figures by the second of arrival, warm-up included.
	Seconds []Second
	length  time.Duration
}

// AccountResult counts the urgent generation requests of a client account and
// those of them that met both goals.
type AccountResult struct{ Asked, Met int }

// Second counts the urgent generation requests that arrived in one second and those
// of them that met both goals.
type Second struct{ Asked, Met int }

// Share is the share of the urgent generation requests that met both goals.
func (r *Result) Share() float64 { return ratio(r.Met, r.Asked) }

// Goodput is the number of urgent generation requests per second that met both
// goals.
func (r *Result) Goodput() float64 { return float64(r.Met) / r.length.Seconds() }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// drainTime is the time that a run continues after the last arrival.
const drainTime = 70 * time.Second

// Fault is a function that is called during a run to inject a fault.
type Fault struct {
	At time.Duration
	Do func(*simulation)
}

// Run runs a load under a variant, with faults.
func Run(shape Shape, load Load, v Variant, faults ...Fault) Result {
	sim := newSimulation(shape, load, v.Config)
	for _, f := range faults {
		sim.after(f.At, func() { f.Do(sim) })
	}
	sim.runUntil(load.Warm + load.Length + drainTime)
	return sim.result()
}

// result computes the figures of the run. Requests that arrived during the warm-up
// count in Seconds only.
func (sim *simulation) result() Result {
	r := Result{
		length:   sim.load.Length,
		Accounts: make([]AccountResult, len(sim.shape.Weights)),
		Seconds:  make([]Second, int((sim.load.Warm+sim.load.Length)/time.Second)+1),
	}
	retries, requests, cached, prefixTokens := 0, 0, 0, 0
	for _, c := range sim.all {
		if c.route == urgentRoute {
			second := &r.Seconds[int(c.at/time.Second)]
			second.Asked++
			second.Met += c.metCount()
		}
		if c.at < sim.load.Warm {
			continue
		}
		requests++
		retries += max(c.attempts-1, 0)
		cached += c.cachedTokens
		if c.attempts > 0 {
			prefixTokens += len(c.prefix) * blockTokens
		}
		r.count(c)
	}
	r.Retries = ratio(retries, requests)
	r.HitRate = ratio(cached, prefixTokens)
	return r
}

// count adds a request to the figures.
func (r *Result) count(c *call) {
	switch {
	case c.refused:
		r.Refused++
	case !c.finished:
		r.Broken++
	}
	switch c.route {
	case serviceRoute:
		r.Calls++
		if c.finished && c.lastTokenAt-c.at <= serviceGoal {
			r.CallsMet++
		}
	case mayWaitRoute:
		r.Later++
		if c.finished {
			r.LaterDone++
		}
	default:
		r.Asked++
		r.countMiss(c)
		r.Met += c.metCount()
		r.Accounts[c.account].Asked++
		r.Accounts[c.account].Met += c.metCount()
	}
}

// countMiss counts the missed goal of an urgent generation request.
func (r *Result) countMiss(c *call) {
	switch {
	case !c.finished || c.metCount() == 1:
	case c.firstTokenAt-c.at > firstTokenGoal:
		r.LateFirst++
	default:
		r.SlowTokens++
	}
}

// metCount returns 1 for an urgent generation request that met both goals, and
// otherwise 0.
func (c *call) metCount() int {
	if !c.finished || c.firstTokenAt-c.at > firstTokenGoal {
		return 0
	}
	if c.tokens > 1 && (c.lastTokenAt-c.firstTokenAt)/time.Duration(c.tokens-1) > tokenGapGoal {
		return 0
	}
	return 1
}
