package fleet

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// decide takes one decision for a pool: it records what is to be done and
// sends again what is due.
func (c *Controller) decide(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	switch a.stage {
	case stageReading:
		return c.readRecord(now, p)
	case stageClaiming, stageIdle:
		return nil
	}
	if p.spec == nil || c.stopping || !a.valid(now) {
		return nil
	}
	effs := append(c.sendOrders(now, p), c.sendPurchases(now, p)...)
	if a.pending != nil {
		return effs
	}
	next := a.record.clone()
	p.forgetSilent(now, next)
	c.proposeDrains(now, p, next)
	if p.spec.Kind == manifest.PoolEngines {
		effs = append(effs, c.proposeLoads(now, p, next)...)
		c.proposeRoles(now, p, next)
	}
	effs = append(effs, c.proposePurchases(now, p, next)...)
	return append(effs, c.save(now, p, next)...)
}

// mayChange reports whether a planned change of the target may begin.
func (c *Controller) mayChange(now msg.Time, p *pool, rec *Record, t *target) bool {
	return t.serves(now) && now >= t.resting && rec.open(t.id) == nil && c.drainReason(p, rec, t) == ""
}

// unavailable counts the targets that are out, or about to be.
func (p *pool) unavailable(now msg.Time, rec *Record) int {
	n := 0
	for _, t := range p.sorted() {
		if !t.serves(now) || rec.open(t.id) != nil {
			n++
		}
	}
	return n
}

// changesAtOnce is the number of targets that may be out for a roll-out.
func (p *pool) changesAtOnce() int {
	if n := p.spec.Rollout.MaxUnavailable; n > 0 {
		return n
	}
	return max(1, len(p.targets)/changeShare)
}

// changeShare is the part of a pool that a roll-out may take out at once where
// the manifest sets no limit: one in this many.
const changeShare = 5

func sortedValues(m map[msg.TargetID]*target) []*target {
	out := make([]*target, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
