package routing

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Policy is the rule by which a router chooses.
type Policy uint8

// Policies. All but the first are baselines for measurements.
const (
	// PolicyCost takes the cheapest of the engines that hold the prefix and
	// of a few drawn at random, if the request can be served in time there.
	PolicyCost Policy = iota
	// PolicyLeastLoaded takes the target with the fewest sequences.
	PolicyLeastLoaded
	// PolicyRoundRobin takes one target after the other.
	PolicyRoundRobin
)

// String returns the policy's name in logs and tables.
func (p Policy) String() string {
	return [...]string{"least cost", "least loaded", "round robin"}[p]
}

const (
	// drawn is the number of targets drawn at random for one decision.
	// Entries that read the same late reports thus do not all choose the
	// same target.
	drawn = 4
	// maxHits bounds the holders of a prefix that are considered.
	maxHits = 6
)

// pickCheapest chooses among the holders of the prefix and a few targets
// drawn at random. Where none has room, it looks at all.
func (r *Router) pickCheapest(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	r.hits = r.cache.Lookup(r.hits[:0], req.Prefix)
	for _, h := range r.hits {
		if t := r.targets[h.Target]; t != nil && t.pool == req.Pool && len(r.sample) < maxHits {
			r.consider(now, req, candidate{target: t, pieces: h.Pieces, trust: h.Trust})
		}
	}
	for range drawn {
		r.consider(now, req, r.withHit(p.targets[r.rng.IntN(len(p.targets))]))
	}
	if best := r.cheapest(); best != nil {
		return best
	}
	return r.scan(now, p, req)
}

// scan looks at all targets, in an order that begins at random.
func (r *Router) scan(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	first := r.rng.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.takes(now, req) && t.fits(req) {
			c := r.withHit(t)
			r.score(now, req, &c)
			r.sample = append(r.sample, c)
		}
	}
	return r.cheapest()
}

// withHit returns a target with its expected hit, if it has one.
func (r *Router) withHit(t *target) candidate {
	for _, h := range r.hits {
		if h.Target == t.id {
			return candidate{target: t, pieces: h.Pieces, trust: h.Trust}
		}
	}
	return candidate{target: t}
}

// consider adds a target to the sample if it passes the filter.
func (r *Router) consider(now msg.Time, req *Request, c candidate) {
	if !c.target.takes(now, req) {
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

// cheapest returns the cheapest of the sample that has room, or nil.
func (r *Router) cheapest() *candidate {
	var best *candidate
	for i := range r.sample {
		c := &r.sample[i]
		if c.room && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// pickLeastLoaded is a baseline: the fewest sequences, reported and own.
func (r *Router) pickLeastLoaded(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	first := r.rng.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.takes(now, req) && t.fits(req) {
			r.sample = append(r.sample, candidate{target: t, cost: float64(t.batch()), prefill: req.PromptTokens, room: true})
		}
	}
	return r.cheapest()
}

// pickNext is a baseline: the next target that can take the request.
func (r *Router) pickNext(now msg.Time, p *pool, req *Request) *candidate {
	r.sample = r.sample[:0]
	for range p.targets {
		t := p.targets[p.next%len(p.targets)]
		p.next++
		if t.takes(now, req) && t.fits(req) {
			r.sample = append(r.sample, candidate{target: t, prefill: req.PromptTokens, room: true})
			return &r.sample[0]
		}
	}
	return nil
}
