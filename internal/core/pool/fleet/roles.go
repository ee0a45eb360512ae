package fleet

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// remainingResponseTime is the expected remaining time of one running
	// response. maxDrainTime is the time after which running responses are moved
	// to other targets.
	remainingResponseTime = 200 * time.Millisecond
	maxDrainTime          = 5 * time.Second
	// minDemandSamples is the number of demand samples before the first plan.
	minDemandSamples = 30
)

// proposeRoles adds the planned role changes to the record.
func (c *Controller) proposeRoles(now msg.Time, p *pool, next *Record) {
	p.plan = c.makePlan(now, p, next)
	for _, change := range p.plan.Changes {
		t := p.targets[change.Target]
		p.addOrder(next, t, msg.Order{Kind: msg.OrderSetRole, Role: change.To}, c.cfg.OrderTimeout, change.Reason)
	}
}

// makePlan returns the role changes that the pool's mode and the planner call
// for at present.
func (c *Controller) makePlan(now msg.Time, p *pool, rec *Record) planner.Plan {
	if p.spec == nil || p.spec.Kind != manifest.PoolEngines {
		return planner.Plan{Reason: "the pool has no engines"}
	}
	in := c.plannerInput(now, p, rec)
	switch p.spec.Roles.Mode {
	case manifest.RolesMixed:
		return planner.PlanSplit(in, planner.Split{})
	case manifest.RolesFixed:
		return planner.PlanSplit(in, planner.Split{Prefill: p.spec.Roles.Prefill, Decode: p.spec.Roles.Decode})
	}
	if p.estimator.Samples() < minDemandSamples {
		return planner.Plan{Reason: "demand is not known yet"}
	}
	return planner.PlanChanges(in)
}

func (c *Controller) plannerInput(now msg.Time, p *pool, rec *Record) planner.Input {
	in := planner.Input{
		Forecast:   p.estimator.Forecast(),
		Efficiency: c.cfg.Efficiency,
		Costs:      c.cfg.Costs,
		Limits:     planner.LimitsFor(len(p.targets), len(p.spec.Shape), p.spec.Rollout.MaxUnavailable),
	}
	for _, t := range p.sorted() {
		in.Engines = append(in.Engines, c.plannerEngine(now, p, rec, t))
	}
	return in
}

func (c *Controller) plannerEngine(now msg.Time, p *pool, rec *Record, t *target) planner.Engine {
	e := planner.Engine{
		ID:          t.id,
		Domain:      t.domain,
		Role:        t.report.Role,
		Available:   t.serves(now),
		Fixed:       !c.mayChange(now, p, rec, t),
		SinceChange: now - t.roleChangedAt,
		Previous:    t.previousRole,
	}
	if !e.Available {
		e.Down = now - t.lastServing
		e.Fixed = c.drainReason(p, rec, t) != ""
	}
	if t.report.Role != msg.RolePrefill {
		e.DrainTime = min(maxDrainTime, time.Duration(t.report.Running)*remainingResponseTime)
	}
	open := rec.openOrder(t.id)
	if open == nil || !slices.Contains([]msg.OrderKind{msg.OrderSetRole, msg.OrderLoadModel}, open.Order.Kind) {
		return e
	}
	e.Changing, e.Available = true, false
	if open.Order.Kind == msg.OrderSetRole {
		e.Role = open.Order.Role
	}
	return e
}
