package fleet

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// pool is the controller's state of one pool. What it knows of targets and
// demand is kept on every entry, so that a successor can act at once.
type pool struct {
	name msg.PoolID
	// spec is nil while the manifest does not name the pool.
	spec *manifest.Pool

	authority authority
	targets   map[msg.TargetID]*target
	estimator *demand.Estimator
	learner   demand.Learner
	plan      planner.Plan
	rollout   rollout
	market    market
}

// target is what is known of one target.
type target struct {
	id     msg.TargetID
	host   msg.HostID
	domain msg.FailureDomain
	kind   msg.TargetKind
	report msg.LoadReport
	seen   msg.Time
	lost   bool
	// served is when the target last took new work.
	served msg.Time
	// changed is when the role last changed.
	changed msg.Time
	// failures counts orders that failed in a row; none is given before
	// resting ends.
	failures int
	resting  msg.Time
}

const (
	// freshFor is the age up to which a target's report counts.
	freshFor = 5 * time.Second
	// forgetAfter is how long a silent target is remembered.
	forgetAfter = 2 * time.Minute
	restMin     = 10 * time.Second
	restMax     = 5 * time.Minute
)

func newPool(name msg.PoolID, horizon time.Duration) *pool {
	return &pool{
		name:      name,
		targets:   make(map[msg.TargetID]*target),
		estimator: demand.New(horizon),
		market:    newMarket(),
	}
}

// reachable reports whether the target's side daemon was heard of lately.
func (t *target) reachable(now msg.Time) bool {
	return !t.lost && now-t.seen <= freshFor
}

// serves reports whether the target takes new work.
func (t *target) serves(now msg.Time) bool {
	return t.reachable(now) && t.report.Phase == msg.PhaseServing
}

// failed notes a failed order and rests the target for longer each time.
func (t *target) failed(now msg.Time) {
	rest := min(restMin<<min(t.failures, 5), restMax)
	t.failures++
	t.resting = now + rest
}

func (c *Controller) onReport(now msg.Time, ev msg.TargetReported) {
	p := c.pool(ev.Target.Pool)
	t, ok := p.targets[ev.Target.Target]
	if !ok {
		t = &target{id: ev.Target.Target, changed: -c.cfg.Costs.Rest, served: -forgetAfter}
		p.targets[t.id] = t
	}
	if ok && !t.lost && now-ev.Age < t.seen {
		return // older than what is known
	}
	if ok && t.report.Role != ev.Report.Role {
		t.changed = now
	}
	t.host, t.domain, t.kind = ev.Host, ev.Domain, ev.Target.Kind
	t.report = ev.Report
	t.seen = now - ev.Age
	t.lost = false
	if t.serves(now) {
		t.served = now
	}
	if t.kind == msg.TargetEngine && t.serves(now) {
		r := ev.Report
		p.learner.Observe(float64(r.PrefillRate), r.Running, r.MaxBatch, r.StepTime)
	}
}

func (c *Controller) onTargetLost(_ msg.Time, ev msg.TargetUnreachable) {
	for _, name := range c.names() {
		if t, ok := c.pools[name].targets[ev.Target]; ok {
			t.lost = true
		}
	}
}

// sorted returns the pool's targets in order of id.
func (p *pool) sorted() []*target {
	return sortedValues(p.targets)
}

// forgetSilent drops targets that were not heard of for long, from memory and
// from the record. Orders to them have timed out by then.
func (p *pool) forgetSilent(now msg.Time, next *Record) {
	for _, t := range p.sorted() {
		if now-t.seen > forgetAfter {
			delete(p.targets, t.id)
		}
	}
	for _, id := range next.targets() {
		if p.gone(now, id) {
			next.forget(id)
		}
	}
}

// gone reports whether nothing was heard of a target for long, while this
// daemon looked after the pool.
func (p *pool) gone(now msg.Time, id msg.TargetID) bool {
	_, known := p.targets[id]
	return !known && now-p.authority.since > forgetAfter
}
