package fleet

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// pool is the controller's state of one pool. Every entry daemon keeps the
// state of targets and demand, so that a new lease holder can act at once.
type pool struct {
	name msg.PoolID
	// spec is nil while the manifest does not contain the pool.
	spec *manifest.Pool

	authority    authority
	targets      map[msg.TargetID]*target
	estimator    *demand.Estimator
	learner      demand.CapabilityLearner
	plan         planner.Plan
	rollout      rollout
	provisioning provisioning
}

// target is the state of one target.
type target struct {
	id          msg.TargetID
	host        msg.HostID
	domain      msg.FailureDomain
	kind        msg.TargetKind
	report      msg.LoadReport
	reportedAt  msg.Time
	unreachable bool
	// lastServing is when the target last accepted new work.
	lastServing msg.Time
	// roleChangedAt is when the role last changed, and previousRole the role before
	// that change.
	roleChangedAt msg.Time
	previousRole  msg.Role
	// failures counts the consecutive failed orders. No new order is sent
	// before backoffUntil.
	failures     int
	backoffUntil msg.Time
}

const (
	// maxReportAge is the age up to which a target's report is considered
	// current.
	maxReportAge = 5 * time.Second
	// silentTimeout is the time without reports after which this daemon forgets a
	// target and removes it from the record.
	silentTimeout = 2 * time.Minute
	// minOrderBackoff and maxOrderBackoff bound the time without orders after a
	// failed order.
	minOrderBackoff = 10 * time.Second
	maxOrderBackoff = 5 * time.Minute
)

func newPool(name msg.PoolID, horizon time.Duration) *pool {
	return &pool{
		name:         name,
		targets:      make(map[msg.TargetID]*target),
		estimator:    demand.New(horizon),
		provisioning: newProvisioning(),
	}
}

// reachable reports whether the target's side daemon has reported recently and
// was not found unreachable since.
func (t *target) reachable(now msg.Time) bool {
	return !t.unreachable && now-t.reportedAt <= maxReportAge
}

// serves reports whether the target accepts new work.
func (t *target) serves(now msg.Time) bool {
	return t.reachable(now) && t.report.Phase == msg.PhaseServing
}

// recordFailure counts a failed order and starts a backoff, which doubles with
// each consecutive failure.
func (t *target) recordFailure(now msg.Time) {
	backoff := min(minOrderBackoff<<min(t.failures, 5), maxOrderBackoff)
	t.failures++
	t.backoffUntil = now + backoff
}

func (c *Controller) onTargetReported(now msg.Time, ev msg.TargetReported) {
	p := c.ensurePool(ev.Target.Pool)
	t, ok := p.targets[ev.Target.Target]
	if !ok {
		t = &target{id: ev.Target.Target, roleChangedAt: -c.cfg.Costs.MinChangeInterval, lastServing: -silentTimeout}
		p.targets[t.id] = t
	}
	if ok && !t.unreachable && now-ev.Age < t.reportedAt {
		return // older than the latest report
	}
	if ok && t.report.Role != ev.Report.Role {
		t.previousRole = t.report.Role
		t.roleChangedAt = now
	}
	t.host, t.domain, t.kind = ev.Host, ev.Domain, ev.Target.Kind
	t.report = ev.Report
	t.reportedAt = now - ev.Age
	t.unreachable = false
	if t.serves(now) {
		t.lastServing = now
	}
	if t.kind == msg.TargetEngine && t.serves(now) {
		r := ev.Report
		p.learner.Observe(float64(r.PrefillRate), r.Running, r.MaxBatch, r.StepTime)
	}
}

func (c *Controller) onTargetUnreachable(_ msg.Time, ev msg.TargetUnreachable) {
	for _, name := range c.poolNames() {
		if t, ok := c.pools[name].targets[ev.Target]; ok {
			t.unreachable = true
		}
	}
}

// sorted returns the pool's targets in order of their IDs.
func (p *pool) sorted() []*target {
	return sortedValues(p.targets)
}

// removeSilentTargets removes targets that have not reported for a long time
// from memory and from the record. Orders to them have timed out by then.
func (p *pool) removeSilentTargets(now msg.Time, next *Record) {
	for _, t := range p.sorted() {
		if now-t.reportedAt > silentTimeout {
			delete(p.targets, t.id)
		}
	}
	for _, id := range next.targets() {
		if p.confirmedSilent(now, id) {
			next.removeTarget(id)
		}
	}
}

// confirmedSilent reports whether this daemon has managed the pool for longer
// than silentTimeout and does not know the target, which has therefore not
// reported for as long.
func (p *pool) confirmedSilent(now msg.Time, id msg.TargetID) bool {
	_, known := p.targets[id]
	return !known && now-p.authority.activeSince > silentTimeout
}
