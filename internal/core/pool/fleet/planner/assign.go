package planner

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Split is a fixed number of engines per role. The other engines are mixed.
type Split struct{ Prefill, Decode int }

// PlanSplit returns the changes to begin now to reach a fixed split, within the
// limits. The engines whose change costs least come first.
func PlanSplit(in Input, want Split) Plan {
	p := newPlanning(in)
	plan := Plan{Value: p.value(p.counts), Reason: "the manifest fixes the roles"}
	for p.changing < in.Limits.PerPool {
		from, to, ok := p.counts.nextChange(want)
		if !ok {
			break
		}
		i := p.cheapestEngine(from)
		if i < 0 {
			break
		}
		plan.Changes = append(plan.Changes, Change{
			Target: p.engines[i].ID,
			From:   from,
			To:     to,
			Cost:   p.lostTime(p.engines[i]).Seconds(),
			Reason: plan.Reason,
		})
		p.apply(i, to)
	}
	plan.Planned = p.value(p.counts)
	return plan
}

// nextChange returns one change that brings the counts closer to a split. It
// returns false if there is none.
func (c counts) nextChange(want Split) (from, to msg.Role, ok bool) {
	over := c.surplus(want)
	for _, r := range roles {
		if over.of(r) > 0 {
			from, ok = r, true
			break
		}
	}
	for _, r := range roles {
		if over.of(r) < 0 {
			return from, r, ok
		}
	}
	return from, to, false
}

// surplus returns by how many engines each role exceeds the split; a negative
// number means that engines are missing. All engines beyond the split should be
// mixed, so missing engines are taken from the mixed ones. If the pool is too
// small for the split, the number of decode engines is reduced first.
func (c counts) surplus(want Split) counts {
	prefill := min(want.Prefill, c.total())
	decode := min(want.Decode, c.total()-prefill)
	return counts{
		prefill: c.prefill - prefill,
		decode:  c.decode - decode,
		mixed:   c.mixed - (c.total() - prefill - decode),
	}
}
