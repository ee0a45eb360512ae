package fleet

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// decide takes one decision for a pool: it sends the recorded orders and
// provision requests that are due, and then records new ones. These are sent
// once the record is stored.
func (c *Controller) decide(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	switch a.stage {
	case stageReading:
		return c.readRecord(now, p)
	case stageFencing, stageIdle:
		return nil
	}
	if p.spec == nil || c.stopping || !a.maySend(now) {
		return nil
	}
	effs := append(c.sendOrders(now, p), c.sendProvisionRequests(now, p)...)
	if a.pending != nil {
		return effs
	}
	next := a.record.clone()
	p.removeSilentTargets(now, next)
	c.proposeDrains(now, p, next)
	if p.spec.Kind == manifest.PoolEngines {
		effs = append(effs, c.proposeLoads(now, p, next)...)
		c.proposeRoles(now, p, next)
	}
	effs = append(effs, c.proposeProvisioning(now, p, next)...)
	return append(effs, c.saveRecord(now, p, next)...)
}

// mayChange reports whether a planned change of the target may begin.
func (c *Controller) mayChange(now msg.Time, p *pool, rec *Record, t *target) bool {
	return t.serves(now) && now >= t.backoffUntil && rec.openOrder(t.id) == nil && c.drainReason(p, rec, t) == ""
}

// countUnavailable counts the targets that do not serve or have an open order.
func (p *pool) countUnavailable(now msg.Time, rec *Record) int {
	n := 0
	for _, t := range p.sorted() {
		if !t.serves(now) || rec.openOrder(t.id) != nil {
			n++
		}
	}
	return n
}

// maxUnavailable returns the number of targets that may be unavailable during a
// roll-out.
func (p *pool) maxUnavailable() int {
	if n := p.spec.Rollout.MaxUnavailable; n > 0 {
		return n
	}
	return max(1, len(p.targets)/defaultUnavailableDivisor)
}

// defaultUnavailableDivisor sets the share of a pool that may be unavailable
// during a roll-out if the manifest sets no limit: one target in this many.
const defaultUnavailableDivisor = 5

func sortedValues(m map[msg.TargetID]*target) []*target {
	out := make([]*target, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
