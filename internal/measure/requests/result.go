package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/request"
	"github.com/verbenaspur/verbenaspur/internal/core/routing"
)

// The goals that a request must meet to count as goodput.
const (
	firstTokenGoal = 320 * time.Millisecond
	tokenGapGoal   = 49 * time.Millisecond
	serviceGoal    = 200 * time.Millisecond
)

// Variant is a combination of policies.
type Variant struct {
	Name   string
	Config request.Config
}

// Variants returns the system's policies and the baselines.
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

// Result is what came of one run.
type Result struct {
	// Asked and Met count the urgent generation requests and those of them
	// that met both goals.
	Asked, Met int
	// LateFirst and SlowTokens count answered ones that missed a goal.
	LateFirst, SlowTokens int
	// Later and LaterDone count the requests that may wait.
	Later, LaterDone int
	Calls, CallsMet  int
	Refused, Broken  int
	Retries          float64
	// HitRate is the part of the prompts' pieces that was in a cache.
	HitRate float64
	// Accounts has the figures of each client account.
	Accounts []AccountResult
	// Seconds has the figures of each second of arrival.
	Seconds []Second
	length  time.Duration
}

// AccountResult has the urgent requests of one client account.
type AccountResult struct{ Asked, Met int }

// Second has the urgent requests that arrived in one second.
type Second struct{ Asked, Met int }

// Share is the part of the urgent requests that met both goals.
func (r *Result) Share() float64 { return ratio(r.Met, r.Asked) }

// Goodput is the number of urgent requests a second that met both goals.
func (r *Result) Goodput() float64 { return float64(r.Met) / r.length.Seconds() }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// drainTime is the time that a run goes on after the last arrival.
const drainTime = 70 * time.Second

// Fault is something that happens during a run.
type Fault struct {
	At time.Duration
	Do func(*world)
}

// Run runs one load under one variant.
func Run(shape Shape, load Load, v Variant, faults ...Fault) Result {
	w := newWorld(shape, load, v.Config)
	for _, f := range faults {
		w.after(f.At, func() { f.Do(w) })
	}
	w.runUntil(load.Warm + load.Length + drainTime)
	return w.result()
}

func (w *world) result() Result {
	r := Result{
		length:   w.load.Length,
		Accounts: make([]AccountResult, len(w.shape.Weights)),
		Seconds:  make([]Second, int((w.load.Warm+w.load.Length)/time.Second)+1),
	}
	retries, requests, cached, pieces := 0, 0, 0, 0
	for _, c := range w.all {
		if c.route == urgentRoute {
			second := &r.Seconds[int(c.at/time.Second)]
			second.Asked++
			second.Met += c.metCount()
		}
		if c.at < w.load.Warm {
			continue
		}
		requests++
		retries += max(c.attempts-1, 0)
		cached += c.cached
		if c.attempts > 0 {
			pieces += len(c.prefix) * pieceTokens
		}
		r.count(c)
	}
	r.Retries = ratio(retries, requests)
	r.HitRate = ratio(cached, pieces)
	return r
}

func (r *Result) count(c *call) {
	switch {
	case c.refused:
		r.Refused++
	case !c.answered:
		r.Broken++
	}
	switch c.route {
	case serviceRoute:
		r.Calls++
		if c.answered && c.last-c.at <= serviceGoal {
			r.CallsMet++
		}
	case laterRoute:
		r.Later++
		if c.answered {
			r.LaterDone++
		}
	default:
		r.Asked++
		r.miss(c)
		r.Met += c.metCount()
		r.Accounts[c.account].Asked++
		r.Accounts[c.account].Met += c.metCount()
	}
}

func (r *Result) miss(c *call) {
	switch {
	case !c.answered || c.metCount() == 1:
	case c.first-c.at > firstTokenGoal:
		r.LateFirst++
	default:
		r.SlowTokens++
	}
}

// metCount is 1 for an urgent request that met both goals, otherwise 0.
func (c *call) metCount() int {
	if !c.answered || c.first-c.at > firstTokenGoal {
		return 0
	}
	if c.tokens > 1 && (c.last-c.first)/time.Duration(c.tokens-1) > tokenGapGoal {
		return 0
	}
	return 1
}
