// Package planner decides which engines of a pool change their role.
//
// It plans a change only if the additional work that the pool is expected to
// serve over a horizon exceeds the engine-seconds that the change costs. The
// planner is deterministic and a pure function of its input.
package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
)

// Engine is the planner's input for one engine.
type Engine struct {
	ID     msg.TargetID
	Domain msg.FailureDomain
	Role   msg.Role
	// Available means that the engine serves. Changing means that the engine does
	// not serve now and will serve in Role when its open order is done.
	Available, Changing bool
	// Down is how long the engine has been out of service. It is valid if the
	// engine is neither available nor changing.
	Down time.Duration
	// Fixed means that the engine must keep its role, because it is drained or
	// has failed recently.
	Fixed bool
	// DrainTime is the expected time until the running work ends.
	DrainTime time.Duration
	// SinceChange is the time since the engine's last role change, and Previous
	// the role before it.
	SinceChange time.Duration
	Previous    msg.Role
}

// Limits bounds the number of open changes.
type Limits struct {
	// PerPool and PerDomain are the maximum numbers of engines that change at the
	// same time, in the pool and in each failure domain.
	PerPool   int
	PerDomain int
}

// defaultAtOnceDivisor sets the share of a pool that may change roles at once if
// the manifest sets no limit: one engine in this many. The cost of a change
// limits the number further.
const defaultAtOnceDivisor = 2

// LimitsFor returns the limits for a pool with the given numbers of engines and
// failure domains. A positive atOnce is the manifest's limit.
func LimitsFor(engines, domains, atOnce int) Limits {
	if atOnce <= 0 {
		atOnce = max(1, engines/defaultAtOnceDivisor)
	}
	domains = max(1, domains)
	return Limits{PerPool: atOnce, PerDomain: (atOnce + domains - 1) / domains}
}

// Costs holds the costs of a role change and the rules for weighing them
// against its gain.
type Costs struct {
	// ChangeTime is how long an engine is out of service for its role change.
	ChangeTime time.Duration
	// ColdTime is the work that is lost because the engine's prefix cache is
	// empty after the change, as engine time.
	ColdTime time.Duration
	// Horizon is the time within which the gain of a change must exceed its
	// cost.
	Horizon time.Duration
	// MinChangeInterval is the minimum time between two changes of one engine.
	MinChangeInterval time.Duration
	// Margin is the factor by which the gain must exceed the cost.
	Margin float64
	// ReversalMargin replaces Margin for a change that reverses one made within
	// the last ReversalTime, so that noise in the demand does not cause engines to
	// change back and forth.
	ReversalMargin float64
	ReversalTime   time.Duration
}

// DefaultCosts returns costs for engines that change their role within seconds.
func DefaultCosts() Costs {
	return Costs{
		ChangeTime:        5 * time.Second,
		ColdTime:          4 * time.Second,
		Horizon:           time.Minute,
		MinChangeInterval: 30 * time.Second,
		Margin:            2.2,

		ReversalMargin: 5,
		ReversalTime:   time.Minute,
	}
}

// Input holds everything that a plan depends on.
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
	// Gain and Cost are the expected values over the horizon, in
	// engine-seconds.
	Gain   float64 `json:"gain"`
	Cost   float64 `json:"cost"`
	Reason string  `json:"reason"`
}

// Plan is the planner's decision with its reason.
type Plan struct {
	Changes []Change `json:"changes"`
	// Value is the work that the pool is expected to serve with the present
	// roles, and Planned with the planned roles, in engine-seconds per second.
	Value   float64 `json:"value"`
	Planned float64 `json:"planned"`
	Reason  string  `json:"reason"`
}

var roles = [...]msg.Role{msg.RoleMixed, msg.RolePrefill, msg.RoleDecode}

// planning is the state of one planner run.
type planning struct {
	in        Input
	scenarios []scenario
	// presentScenario is the load at present, as the only scenario.
	presentScenario []scenario
	engines         []Engine
	// counts holds the numbers of engines after all open changes are done, and
	// serving the numbers of those that serve at present. domains holds the
	// numbers of counts by failure domain.
	counts            counts
	serving           counts
	domains           domainCounts
	changing          int
	changingPerDomain map[msg.FailureDomain]int
}

// PlanChanges returns the role changes to begin now.
func PlanChanges(in Input) Plan {
	p := newPlanning(in)
	plan := Plan{Value: p.value(p.counts)}
	for p.changing < in.Limits.PerPool {
		c, i, reason := p.bestChange()
		if i < 0 {
			plan.Reason = reason
			break
		}
		p.apply(i, c.To)
		plan.Changes = append(plan.Changes, c)
	}
	plan.Planned = p.value(p.counts)
	if plan.Reason == "" {
		plan.Reason = "the limit of changes at once is reached"
	}
	return plan
}

func newPlanning(in Input) *planning {
	p := &planning{in: in, scenarios: scenarios(in.Forecast), presentScenario: []scenario{{in.Forecast.Fast, in.Forecast.LongShare, 1}}, changingPerDomain: make(map[msg.FailureDomain]int), domains: make(domainCounts)}
	p.engines = slices.Clone(in.Engines)
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range p.engines {
		if e.Available || e.Changing || p.expectedBack(e) {
			p.counts = p.counts.add(e.Role, 1)
			p.domains[e.Domain] = p.domains[e.Domain].add(e.Role, 1)
		}
		if e.Available {
			p.serving = p.serving.add(e.Role, 1)
		}
		if e.Changing {
			p.changing++
			p.changingPerDomain[e.Domain]++
		}
	}
	return p
}

// maxRestartTime is how long an engine that went down is still expected to come
// back. A crashed engine restarts before the gain of a role change in its place
// would exceed the cost.
const maxRestartTime = 45 * time.Second

// expectedBack reports whether an engine that is down is expected to come back
// soon. It is not if its whole failure domain is down.
func (p *planning) expectedBack(e Engine) bool {
	if e.Available || e.Changing || e.Fixed || e.Down > maxRestartTime {
		return false
	}
	return slices.ContainsFunc(p.engines, func(o Engine) bool { return o.Domain == e.Domain && o.Available })
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

func (p *planning) value(c counts) float64 { return p.in.Efficiency.value(c, p.scenarios) }

func (p *planning) apply(i int, to msg.Role) {
	e := &p.engines[i]
	p.counts = p.counts.add(e.Role, -1).add(to, 1)
	p.serving = p.serving.add(e.Role, -1)
	p.domains[e.Domain] = p.domains[e.Domain].add(e.Role, -1).add(to, 1)
	e.Previous, e.Role = e.Role, to
	e.Available, e.Changing = false, true
	p.changing++
	p.changingPerDomain[e.Domain]++
}

// bestChange returns the change with the largest gain after costs and the index
// of its engine. If no change is worth its cost, it returns the index -1 and the
// reason.
func (p *planning) bestChange() (Change, int, string) {
	best, at := Change{}, -1
	reason := "no engine may change"
	now := p.value(p.counts)
	for _, from := range roles {
		i := p.cheapestEngine(from)
		if i < 0 {
			continue
		}
		for _, to := range roles {
			after := p.counts.add(from, -1).add(to, 1)
			if to == from || !p.domains.keepsRedundancy(p.engines[i].Domain, from, to) {
				continue
			}
			c := p.evaluate(i, to, p.value(after)-now)
			if c.Gain <= p.requiredRatio(from, to)*c.Cost {
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

// requiredRatio returns the factor by which the gain of a change must exceed its
// cost.
func (p *planning) requiredRatio(from, to msg.Role) float64 {
	for _, e := range p.engines {
		recent := e.Changing || e.SinceChange < p.in.Costs.ReversalTime
		if recent && e.Role == from && e.Previous == to {
			return p.in.Costs.ReversalMargin
		}
	}
	return p.in.Costs.Margin
}

// cheapestEngine returns the index of the engine of a role whose change costs
// least, or -1. It considers only the failure domains with the most engines of
// the role, see domainSlack.
func (p *planning) cheapestEngine(from msg.Role) int {
	most := p.domains.maxInDomain(from)
	at := -1
	for i, e := range p.engines {
		if e.Role != from || !p.mayChange(e) || p.domains[e.Domain].of(from) < most-domainSlack {
			continue
		}
		if at < 0 || p.lostTime(e) < p.lostTime(p.engines[at]) {
			at = i
		}
	}
	return at
}

func (p *planning) mayChange(e Engine) bool {
	if !e.Available || e.Changing || e.Fixed {
		return false
	}
	return p.changingPerDomain[e.Domain] < p.in.Limits.PerDomain && e.SinceChange >= p.in.Costs.MinChangeInterval
}

// lostTime returns the engine time that a change of the engine takes. While it
// drains, an engine still does half of its work on average.
func (p *planning) lostTime(e Engine) time.Duration {
	return p.in.Costs.ChangeTime + p.in.Costs.ColdTime + e.DrainTime/2
}

// evaluate returns a change with its gain and cost. perSecond is the
// additional work that the pool serves per second after the change. The gain
// is this work over the part of the horizon that remains after the change.
func (p *planning) evaluate(i int, to msg.Role, perSecond float64) Change {
	e := p.engines[i]
	lost := p.lostTime(e)
	remaining := max(0, p.in.Costs.Horizon-lost)
	c := Change{
		Target: e.ID,
		From:   e.Role,
		To:     to,
		Gain:   perSecond * remaining.Seconds(),
		Cost:   lost.Seconds() * max(minMarginalValue, p.marginalValue(e.Role)),
	}
	c.Reason = fmt.Sprintf("wins %.1f engine-seconds for %.1f over %s", c.Gain, c.Cost, p.in.Costs.Horizon)
	return c
}

// minMarginalValue is the minimum cost of a missing engine, in engine-seconds
// per second. It keeps idle pools, in which a missing engine costs no work, from
// changing roles without need.
const minMarginalValue = 0.4

// marginalValue returns the work, in engine-seconds per second, that the pool
// serves less at present if one more engine of the role is out of service.
func (p *planning) marginalValue(r msg.Role) float64 {
	eff := p.in.Efficiency
	return eff.value(p.serving, p.presentScenario) - eff.value(p.serving.add(r, -1), p.presentScenario)
}
