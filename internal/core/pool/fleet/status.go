package fleet

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/planner"
)

// Status is the state of the pools as this entry daemon sees it, for operators.
type Status struct {
	Pools []PoolStatus `json:"pools"`
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Pool msg.PoolID `json:"pool"`
	// Holder means that this entry daemon manages the pool, under Epoch.
	Holder     bool              `json:"holder"`
	Epoch      msg.Epoch         `json:"epoch,omitempty"`
	Targets    []TargetStatus    `json:"targets"`
	Demand     demand.Forecast   `json:"demand"`
	Capability demand.Capability `json:"capability"`
	// Orders and ProvisionRequests are the open ones. They are empty unless this
	// daemon holds the pool's lease, because only the holder reads the record
	// that contains them.
	Orders            []RecordedOrder    `json:"orders,omitempty"`
	ProvisionRequests []ProvisionRequest `json:"purchases,omitempty"`
	Retiring          []msg.TargetID     `json:"retiring,omitempty"`
	Halt              *Halt              `json:"halt,omitempty"`
	// Needed is the number of targets that the pool needs, and NeededReason the
	// reason for it.
	Needed       int    `json:"needed,omitempty"`
	NeededReason string `json:"neededReason,omitempty"`
}

// TargetStatus is the state of one target.
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
	// Drain is the reason why the target is to be drained, or empty.
	Drain string `json:"drain,omitempty"`
}

// Status returns the state of all pools.
func (c *Controller) Status(now msg.Time) Status {
	s := Status{Pools: []PoolStatus{}}
	for _, name := range c.poolNames() {
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
		Pool:              p.name,
		Holder:            p.authority.stage == stageActive,
		Epoch:             p.authority.epoch,
		Targets:           []TargetStatus{},
		Demand:            p.estimator.Forecast(),
		Capability:        p.learner.Capability(c.cfg.DeclaredCapability),
		Orders:            rec.Orders,
		ProvisionRequests: rec.ProvisionRequests,
		Retiring:          rec.Retiring,
		Halt:              rec.Halt,
		Needed:            p.provisioning.needed,
		NeededReason:      p.provisioning.reason,
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

// PlanStatus is the planner's current plan for a pool and the demand that it is
// based on.
type PlanStatus struct {
	Pool   msg.PoolID      `json:"pool"`
	Demand demand.Forecast `json:"demand"`
	Plan   planner.Plan    `json:"plan"`
}

// Plan returns the planner's current plan for a pool. It returns false if the
// pool is unknown.
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
