// Package planner decides which engines of a pool change their role.
//
// A change is bought only where the work that it is expected to win over a
// horizon exceeds the engine-seconds that it costs. The planner is a pure
// function of its input and deterministic.
package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Engine is one engine as the planner sees it.
type Engine struct {
	ID     msg.TargetID
	Domain msg.FailureDomain
	Role   msg.Role
	// Available says that the engine serves; Changing that it will serve in
	// Role once its open order is done.
	Available, Changing bool
	// Down is how long an engine that is neither has been out.
	Down time.Duration
	// Fixed engines keep their role: they are drained, or failed lately.
	Fixed bool
	// DrainTime is how long the running work is expected to take.
	DrainTime time.Duration
	// SinceChange is the time since the engine's last role change, from
	// Previous.
	SinceChange time.Duration
	Previous    msg.Role
}

// Limits bounds the changes that may be open.
type Limits struct {
	// AtOnce and PerDomain bound the engines that change at the same time.
	AtOnce    int
	PerDomain int
}

// roleShare is the part of a pool that may change roles at once where the
// manifest sets no limit: one in this many. What a change costs limits it
// further.
const roleShare = 2

// LimitsFor returns the limits for a pool. A positive atOnce is the
// manifest's.
func LimitsFor(engines, domains, atOnce int) Limits {
	if atOnce <= 0 {
		atOnce = max(1, engines/roleShare)
	}
	domains = max(1, domains)
	return Limits{AtOnce: atOnce, PerDomain: (atOnce + domains - 1) / domains}
}

// Costs describes what a change costs.
type Costs struct {
	// ChangeTime is the time that an engine is out for its role change.
	ChangeTime time.Duration
	// ColdTime is the work lost to its empty prefix cache.
	ColdTime time.Duration
	// Horizon is the time over which a change has to pay.
	Horizon time.Duration
	// Rest is the least time between two changes of one engine.
	Rest time.Duration
	// Margin is the factor by which the gain must exceed the cost.
	Margin float64
	// Reversal is the factor in its place for a change that undoes one of the
	// last ReversalTime, so that noise does not move engines to and fro.
	Reversal     float64
	ReversalTime time.Duration
}

// DefaultCosts fits engines that change their role within seconds.
func DefaultCosts() Costs {
	return Costs{
		ChangeTime: 5 * time.Second,
		ColdTime:   4 * time.Second,
		Horizon:    time.Minute,
		Rest:       30 * time.Second,
		Margin:     2.2,

		Reversal:     5,
		ReversalTime: time.Minute,
	}
}

// Input is what a plan follows from.
type Input struct {
	Engines    []Engine
	Forecast   demand.Forecast
	Efficiency Efficiency
	Costs      Costs
	Limits     Limits
}

// Change is one planned role change.
type Change struct {
	Target msg.TargetID `json:"target"`
	From   msg.Role     `json:"from"`
	To     msg.Role     `json:"to"`
	// Gain and Cost are in engine-seconds over the horizon.
	Gain   float64 `json:"gain"`
	Cost   float64 `json:"cost"`
	Reason string  `json:"reason"`
}

// Plan is the planner's decision and what led to it.
type Plan struct {
	Changes []Change `json:"changes"`
	// Value is the expected work served with the present roles, and Planned
	// with the plan's, in engine-seconds per second.
	Value   float64 `json:"value"`
	Planned float64 `json:"planned"`
	Reason  string  `json:"reason"`
}

var roles = [...]msg.Role{msg.RoleMixed, msg.RolePrefill, msg.RoleDecode}

// work is the state of one planning run.
type work struct {
	in        Input
	scenarios []scenario
	present   []scenario
	engines   []Engine
	// counts are the engines once all open changes are done, serving those
	// that serve meanwhile.
	counts    counts
	serving   counts
	spread    spread
	open      int
	perDomain map[msg.FailureDomain]int
}

// Make returns the changes to begin now.
func Make(in Input) Plan {
	w := newWork(in)
	plan := Plan{Value: w.value(w.counts)}
	for w.open < in.Limits.AtOnce {
		c, i, reason := w.best()
		if i < 0 {
			plan.Reason = reason
			break
		}
		w.take(i, c.To)
		plan.Changes = append(plan.Changes, c)
	}
	plan.Planned = w.value(w.counts)
	if plan.Reason == "" {
		plan.Reason = "the limit of changes at once is reached"
	}
	return plan
}

func newWork(in Input) *work {
	w := &work{in: in, scenarios: scenarios(in.Forecast), present: []scenario{{in.Forecast.Fast, in.Forecast.LongShare, 1}}, perDomain: make(map[msg.FailureDomain]int), spread: make(spread)}
	w.engines = slices.Clone(in.Engines)
	slices.SortFunc(w.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range w.engines {
		if e.Available || e.Changing || w.returns(e) {
			w.counts = w.counts.add(e.Role, 1)
			w.spread[e.Domain] = w.spread[e.Domain].add(e.Role, 1)
		}
		if e.Available {
			w.serving = w.serving.add(e.Role, 1)
		}
		if e.Changing {
			w.open++
			w.perDomain[e.Domain]++
		}
	}
	return w
}

// returnTime is how long an engine that went down is expected back. Crashed
// engines restart sooner than a role change would pay.
const returnTime = 45 * time.Second

// returns reports whether a missing engine is expected back: not when its
// whole failure domain is out.
func (w *work) returns(e Engine) bool {
	if e.Available || e.Changing || e.Fixed || e.Down > returnTime {
		return false
	}
	return slices.ContainsFunc(w.engines, func(o Engine) bool { return o.Domain == e.Domain && o.Available })
}

func (c counts) add(r msg.Role, n int) counts {
	switch r {
	case msg.RolePrefill:
		c.prefill += n
	case msg.RoleDecode:
		c.decode += n
	default:
		c.mixed += n
	}
	return c
}

func (w *work) value(c counts) float64 { return w.in.Efficiency.value(c, w.scenarios) }

func (w *work) take(i int, to msg.Role) {
	e := &w.engines[i]
	w.counts = w.counts.add(e.Role, -1).add(to, 1)
	w.serving = w.serving.add(e.Role, -1)
	w.spread[e.Domain] = w.spread[e.Domain].add(e.Role, -1).add(to, 1)
	e.Previous, e.Role = e.Role, to
	e.Available, e.Changing = false, true
	w.open++
	w.perDomain[e.Domain]++
}

// best returns the change that wins most, or the reason for none.
func (w *work) best() (Change, int, string) {
	best, at := Change{}, -1
	reason := "no engine may change"
	now := w.value(w.counts)
	for _, from := range roles {
		i := w.cheapest(from)
		if i < 0 {
			continue
		}
		for _, to := range roles {
			after := w.counts.add(from, -1).add(to, 1)
			if to == from || !w.spread.keeps(w.engines[i].Domain, from, to) {
				continue
			}
			c := w.price(i, to, w.value(after)-now)
			if c.Gain <= w.margin(from, to)*c.Cost {
				reason = "no change wins more than it costs"
				continue
			}
			if at < 0 || c.Gain-c.Cost > best.Gain-best.Cost {
				best, at = c, i
			}
		}
	}
	return best, at, reason
}

// margin returns the factor by which a change's gain must exceed its cost.
func (w *work) margin(from, to msg.Role) float64 {
	for _, e := range w.engines {
		recent := e.Changing || e.SinceChange < w.in.Costs.ReversalTime
		if recent && e.Role == from && e.Previous == to {
			return w.in.Costs.Reversal
		}
	}
	return w.in.Costs.Margin
}

// cheapest returns the engine of a role whose change costs least, or -1. Only
// failure domains with the most engines of the role give one up.
func (w *work) cheapest(from msg.Role) int {
	most := w.spread.most(from)
	at := -1
	for i, e := range w.engines {
		if e.Role != from || !w.mayChange(e) || w.spread[e.Domain].of(from) < most-domainSlack {
			continue
		}
		if at < 0 || w.outTime(e) < w.outTime(w.engines[at]) {
			at = i
		}
	}
	return at
}

func (w *work) mayChange(e Engine) bool {
	if !e.Available || e.Changing || e.Fixed {
		return false
	}
	return w.perDomain[e.Domain] < w.in.Limits.PerDomain && e.SinceChange >= w.in.Costs.Rest
}

// outTime is the engine time that a change of the engine takes. A draining
// engine still does half of its work on average.
func (w *work) outTime(e Engine) time.Duration {
	return w.in.Costs.ChangeTime + w.in.Costs.ColdTime + e.DrainTime/2
}

func (w *work) price(i int, to msg.Role, perSecond float64) Change {
	e := w.engines[i]
	out := w.outTime(e)
	pays := max(0, w.in.Costs.Horizon-out)
	c := Change{
		Target: e.ID,
		From:   e.Role,
		To:     to,
		Gain:   perSecond * pays.Seconds(),
		Cost:   out.Seconds() * max(leastLoss, w.lost(e.Role)),
	}
	c.Reason = fmt.Sprintf("wins %.1f engine-seconds for %.1f over %s", c.Gain, c.Cost, w.in.Costs.Horizon)
	return c
}

// leastLoss is the least price of a missing engine, in engine-seconds per
// second, so that idle pools don't change roles for nothing.
const leastLoss = 0.4

// lost is the work that a missing engine of the role costs now, beside those
// that are out already, in engine-seconds per second.
func (w *work) lost(r msg.Role) float64 {
	eff := w.in.Efficiency
	return eff.value(w.serving, w.present) - eff.value(w.serving.add(r, -1), w.present)
}
