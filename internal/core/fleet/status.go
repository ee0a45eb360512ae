package fleet

import (
	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Status describes the fleet to operators, as this entry sees it.
type Status struct {
	Pools []PoolStatus `json:"pools"`
}

// PoolStatus describes one pool.
type PoolStatus struct {
	Pool msg.PoolID `json:"pool"`
	// Holder says that this entry looks after the pool, under Epoch.
	Holder     bool              `json:"holder"`
	Epoch      msg.Epoch         `json:"epoch,omitempty"`
	Targets    []TargetStatus    `json:"targets"`
	Demand     demand.Forecast   `json:"demand"`
	Capability demand.Capability `json:"capability"`
	// Orders and Purchases are open; only the holder knows them.
	Orders    []Intent       `json:"orders,omitempty"`
	Purchases []Purchase     `json:"purchases,omitempty"`
	Retiring  []msg.TargetID `json:"retiring,omitempty"`
	Halt      *Halt          `json:"halt,omitempty"`
	// Needed is the wanted number of targets, and why.
	Needed       int    `json:"needed,omitempty"`
	NeededReason string `json:"neededReason,omitempty"`
}

// TargetStatus describes one target.
type TargetStatus struct {
	Target    msg.TargetID      `json:"target"`
	Host      msg.HostID        `json:"host"`
	Domain    msg.FailureDomain `json:"failureDomain"`
	Phase     string            `json:"phase"`
	Role      string            `json:"role,omitempty"`
	Models    []msg.LoadedModel `json:"models,omitempty"`
	Running   int               `json:"running"`
	Queued    int               `json:"queued"`
	Reachable bool              `json:"reachable"`
	// Drain says why the target is to be drained.
	Drain string `json:"drain,omitempty"`
}

// Status returns the state of all pools.
func (c *Controller) Status(now msg.Time) Status {
	s := Status{Pools: []PoolStatus{}}
	for _, name := range c.names() {
		s.Pools = append(s.Pools, c.poolStatus(now, c.pools[name]))
	}
	return s
}

func (c *Controller) poolStatus(now msg.Time, p *pool) PoolStatus {
	rec := p.authority.record
	if rec == nil {
		rec = &Record{}
	}
	s := PoolStatus{
		Pool:         p.name,
		Holder:       p.authority.stage == stageActive,
		Epoch:        p.authority.epoch,
		Targets:      []TargetStatus{},
		Demand:       p.estimator.Forecast(),
		Capability:   p.learner.Capability(c.cfg.Declared),
		Orders:       rec.Orders,
		Purchases:    rec.Purchases,
		Retiring:     rec.Retiring,
		Halt:         rec.Halt,
		Needed:       p.market.needed,
		NeededReason: p.market.reason,
	}
	for _, t := range p.sorted() {
		s.Targets = append(s.Targets, c.targetStatus(now, p, rec, t))
	}
	return s
}

func (c *Controller) targetStatus(now msg.Time, p *pool, rec *Record, t *target) TargetStatus {
	s := TargetStatus{
		Target:    t.id,
		Host:      t.host,
		Domain:    t.domain,
		Phase:     t.report.Phase.String(),
		Models:    t.report.Models,
		Running:   t.report.Running,
		Queued:    t.report.Queued,
		Reachable: t.reachable(now),
		Drain:     c.drainReason(p, rec, t),
	}
	if t.kind == msg.TargetEngine {
		s.Role = t.report.Role.String()
	}
	return s
}

// PlanStatus is what the role planner would do now, and from what.
type PlanStatus struct {
	Pool   msg.PoolID      `json:"pool"`
	Demand demand.Forecast `json:"demand"`
	Plan   planner.Plan    `json:"plan"`
}

// Plan returns what the planner would do for a pool now. It reports false for
// an unknown pool.
func (c *Controller) Plan(now msg.Time, name msg.PoolID) (PlanStatus, bool) {
	p, ok := c.pools[name]
	if !ok {
		return PlanStatus{}, false
	}
	rec := p.authority.record
	if rec == nil {
		rec = &Record{}
	}
	return PlanStatus{Pool: name, Demand: p.estimator.Forecast(), Plan: c.makePlan(now, p, rec)}, true
}
