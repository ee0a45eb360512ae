package planner

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Split is a fixed number of engines per role; the rest is mixed.
type Split struct{ Prefill, Decode int }

// Assign returns the changes that lead towards a fixed split, cheapest drains
// first, within the limits.
func Assign(in Input, want Split) Plan {
	w := newWork(in)
	plan := Plan{Value: w.value(w.counts), Reason: "the manifest fixes the roles"}
	for w.open < in.Limits.AtOnce {
		from, to, ok := w.counts.towards(want)
		if !ok {
			break
		}
		i := w.cheapest(from)
		if i < 0 {
			break
		}
		plan.Changes = append(plan.Changes, Change{
			Target: w.engines[i].ID,
			From:   from,
			To:     to,
			Cost:   w.outTime(w.engines[i]).Seconds(),
			Reason: plan.Reason,
		})
		w.take(i, to)
	}
	plan.Planned = w.value(w.counts)
	return plan
}

// towards returns one change that brings the counts closer to a split.
func (c counts) towards(want Split) (from, to msg.Role, ok bool) {
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

// surplus returns how many engines each role has too many. Missing engines
// are taken from the mixed ones.
func (c counts) surplus(want Split) counts {
	prefill := min(want.Prefill, c.total())
	decode := min(want.Decode, c.total()-prefill)
	return counts{
		prefill: c.prefill - prefill,
		decode:  c.decode - decode,
		mixed:   c.mixed - (c.total() - prefill - decode),
	}
}
