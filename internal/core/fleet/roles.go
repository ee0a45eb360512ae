package fleet

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// sequenceTime is the expected rest of one running answer, and drainMax
	// the time after which answers are moved.
	sequenceTime = 200 * time.Millisecond
	drainMax     = 5 * time.Second
	// planAfter is the number of demand samples before the first plan.
	planAfter = 30
)

// proposeRoles adds role changes to the record.
func (c *Controller) proposeRoles(now msg.Time, p *pool, next *Record) {
	p.plan = c.makePlan(now, p, next)
	for _, change := range p.plan.Changes {
		t := p.targets[change.Target]
		p.add(next, t, msg.Order{Kind: msg.OrderSetRole, Role: change.To}, c.cfg.OrderTimeout, change.Reason)
	}
}

// makePlan returns what the pool's mode and the planner want now.
func (c *Controller) makePlan(now msg.Time, p *pool, rec *Record) planner.Plan {
	if p.spec == nil || p.spec.Kind != manifest.PoolEngines {
		return planner.Plan{Reason: "the pool has no engines"}
	}
	in := c.planInput(now, p, rec)
	switch p.spec.Roles.Mode {
	case manifest.RolesMixed:
		return planner.Assign(in, planner.Split{})
	case manifest.RolesFixed:
		return planner.Assign(in, planner.Split{Prefill: p.spec.Roles.Prefill, Decode: p.spec.Roles.Decode})
	}
	if p.estimator.Samples() < planAfter {
		return planner.Plan{Reason: "demand is not known yet"}
	}
	return planner.Make(in)
}

func (c *Controller) planInput(now msg.Time, p *pool, rec *Record) planner.Input {
	in := planner.Input{
		Forecast:   p.estimator.Forecast(),
		Efficiency: c.cfg.Efficiency,
		Costs:      c.cfg.Costs,
		Limits:     planner.LimitsFor(len(p.targets), len(p.spec.Shape), p.spec.Rollout.MaxUnavailable),
	}
	for _, t := range p.sorted() {
		in.Engines = append(in.Engines, c.planEngine(now, p, rec, t))
	}
	return in
}

func (c *Controller) planEngine(now msg.Time, p *pool, rec *Record, t *target) planner.Engine {
	e := planner.Engine{
		ID:          t.id,
		Domain:      t.domain,
		Role:        t.report.Role,
		Available:   t.serves(now),
		Fixed:       !c.mayChange(now, p, rec, t),
		SinceChange: now - t.changed,
	}
	if !e.Available {
		e.Down = now - t.served
		e.Fixed = c.drainReason(p, rec, t) != ""
	}
	if t.report.Role != msg.RolePrefill {
		e.DrainTime = min(drainMax, time.Duration(t.report.Running)*sequenceTime)
	}
	open := rec.open(t.id)
	if open == nil || !slices.Contains([]msg.OrderKind{msg.OrderSetRole, msg.OrderLoadModel}, open.Order.Kind) {
		return e
	}
	e.Changing, e.Available = true, false
	if open.Order.Kind == msg.OrderSetRole {
		e.Role = open.Order.Role
	}
	return e
}
