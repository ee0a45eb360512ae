package routing

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Policy is the rule by which a router selects a target.
type Policy uint8

// Policies. All but PolicyCost are baselines for measurements.
const (
	// PolicyCost selects the cheapest target on which the request can be served
	// in time, out of those that hold a prefix of the prompt and a few random
	// ones.
	PolicyCost Policy = iota
	// PolicyLeastLoaded selects the target with the fewest sequences.
	PolicyLeastLoaded
	// PolicyRoundRobin selects the targets in turn.
	PolicyRoundRobin
)

// String returns the policy's name, as used in logs and tables.
func (p Policy) String() string {
	return [...]string{"least cost", "least loaded", "round robin"}[p]
}

const (
	// randomSamples is the number of targets drawn at random for a decision, a
	// target possibly more than once. Random draws keep entries that have the
	// same delayed load reports from all selecting the same target.
	randomSamples = 4
	// maxHits bounds the candidates that come from the lookup of the prompt's
	// prefix.
	maxHits = 6
)

// pickCheapest selects the cheapest of the targets that hold a prefix of the
// prompt and a few random ones. If none of them has capacity, it compares all
// targets of the pool.
func (r *Router) pickCheapest(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	r.hits = r.cache.Lookup(r.hits[:0], req.Prefix)
	for _, h := range r.hits {
		if t := r.targets[h.Target]; t != nil && t.pool == req.Pool && len(r.sample) < maxHits {
			r.addCandidate(now, req, candidate{target: t, blocks: h.Blocks, trust: h.Trust})
		}
	}
	for range randomSamples {
		r.addCandidate(now, req, r.newCandidate(p.targets[r.rng.IntN(len(p.targets))]))
	}
	if best := r.cheapest(); best != nil {
		return best
	}
	return r.pickFromAll(now, p, req)
}

// pickFromAll selects the cheapest of all targets of the pool, which it visits
// in order from a random start.
func (r *Router) pickFromAll(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	first := r.rng.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.eligible(now, req) && t.hasFreeSlot(req) {
			c := r.newCandidate(t)
			r.score(now, req, &c)
			r.sample = append(r.sample, c)
		}
	}
	return r.cheapest()
}

// newCandidate returns a candidate for the target, with its expected cache hit
// if the lookup found one.
func (r *Router) newCandidate(t *target) candidate {
	for _, h := range r.hits {
		if h.Target == t.id {
			return candidate{target: t, blocks: h.Blocks, trust: h.Trust}
		}
	}
	return candidate{target: t}
}

// addCandidate scores a candidate and adds it to the sample, unless the target
// is not eligible or is in the sample already.
func (r *Router) addCandidate(now msg.Time, req *Request, c candidate) {
	if !c.target.eligible(now, req) {
		return
	}
	for i := range r.sample {
		if r.sample[i].target == c.target {
			return
		}
	}
	r.score(now, req, &c)
	r.sample = append(r.sample, c)
}

// cheapest returns the cheapest candidate of the sample that has capacity, or
// nil if there is none.
func (r *Router) cheapest() *candidate {
	var best *candidate
	for i := range r.sample {
		c := &r.sample[i]
		if c.hasCapacity && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// pickLeastLoaded selects the target with the fewest sequences. They include
// those that this entry sent after the last load report was read. It is a
// baseline for measurements.
func (r *Router) pickLeastLoaded(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	first := r.rng.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.eligible(now, req) && t.hasFreeSlot(req) {
			r.sample = append(r.sample, candidate{target: t, cost: float64(t.batch()), prefill: req.PromptTokens, hasCapacity: true})
		}
	}
	return r.cheapest()
}

// pickRoundRobin selects the next target in turn that is eligible and has a free
// slot. It is a baseline for measurements.
func (r *Router) pickRoundRobin(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	for range p.targets {
		t := p.targets[p.next%len(p.targets)]
		p.next++
		if t.eligible(now, req) && t.hasFreeSlot(req) {
			r.sample = append(r.sample, candidate{target: t, prefill: req.PromptTokens, hasCapacity: true})
			return &r.sample[0]
		}
	}
	return nil
}
