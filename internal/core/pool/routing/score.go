package routing

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// BlockTokens is the number of prompt tokens in one block of a prefix cache.
const BlockTokens = 2000

const (
	// congestionCost is the cost in seconds of using an engine's last free slot.
	// The cost of other slots falls with the square of the load.
	congestionCost = 0.3
	// serviceCost is the cost in seconds of a target of a plain service that is
	// loaded up to its limit.
	serviceCost = 0.05
	// crossDomainCost is the cost in seconds of a target in another failure
	// domain of the entry's region, and crossRegionCost that of a target in
	// another region.
	crossDomainCost = 0.003
	crossRegionCost = 0.06
	// wrongRoleCost is the cost in seconds of running a whole request on an
	// engine whose role is only prefill or only decode.
	wrongRoleCost = 0.5
	// negligibleWait is the wait for the prefill backlog, in seconds, up to which
	// an engine counts as idle. A request may then start even if its own prefill
	// takes longer than the limit for the first token.
	negligibleWait = 0.02
	// Other entries are expected to have sent prefill work to an engine since its
	// load report was read. unseenFraction is the fraction of that work that is
	// assumed to be still waiting. maxUnseenAge bounds the time since the report
	// for which that work is counted.
	unseenFraction = 0.5
	maxUnseenAge   = time.Second
	// lateFactor is the limit for the time to the first token of requests that
	// have already missed the goal, as a multiple of the goal.
	lateFactor = 3
	// mayWaitShare is the fraction of a target's capacity that is available to
	// requests of the class that may wait.
	mayWaitShare = 0.8
)

// candidate is an eligible target and its score.
type candidate struct {
	target *target
	// blocks is the number of the prompt's blocks that are expected in the
	// target's cache. It is weighted by trust, the ratio of actual to expected
	// cache hits on the target so far, up to 1 (see prefixindex.Index.Trust).
	blocks int
	trust  float64
	// prefill is the expected prefill work of the request in tokens.
	prefill int
	cost    float64
	// hasCapacity reports that the target can serve the request in time.
	hasCapacity bool
}

// score sets the cost of a candidate in seconds and whether it has capacity.
// For an engine the cost is the expected time to the first token, plus the costs
// of distance, congestion and a role for only a part of the request.
func (r *Router) score(now msg.Time, req *Request, c *candidate) {
	t := c.target
	t.shrinkBacklog(now)
	share := req.share()
	slots := t.batchSlots(r.cfg.TimeBetweenTokens) * share
	load := float64(t.batch()+1) / slots
	c.cost = r.distanceCost(t)
	c.hasCapacity = load <= 1 && t.hasFreeSlot(req)
	if t.kind == msg.TargetService {
		c.cost += serviceCost * load
		return
	}
	c.prefill = max(req.PromptTokens-int(float64(c.blocks*BlockTokens)*c.trust), 1)
	wait := t.prefillDelay(now) * r.backlogFraction(req)
	first := wait + float64(c.prefill)/t.prefillRate()
	c.cost += first + congestionCost*load*load + roleCost(t.load.Role)
	limit := r.firstTokenLimit(req)
	c.hasCapacity = c.hasCapacity && (first <= limit || wait <= negligibleWait)
}

// prefillDelay estimates the time in seconds until the engine can begin another
// prefill. It includes a fraction of the work that other entries are expected to
// have sent since the report.
func (t *target) prefillDelay(now msg.Time) float64 {
	age := min(now-t.readAt, maxUnseenAge).Seconds()
	return (t.backlog + unseenFraction*t.othersRate*age) / t.prefillRate()
}

// backlogFraction returns the fraction of an engine's backlog that is served
// before the request. Engines serve accounts over their fair share last, so that
// a request of another account does not wait for their work.
func (r *Router) backlogFraction(req *Request) float64 {
	p := r.pools[req.Pool]
	if req.Over || p.sentPrefill <= 0 {
		return 1
	}
	return 1 - p.sentOverShare/p.sentPrefill
}

// share returns the fraction of a target's capacity that is available to the
// request.
func (req *Request) share() float64 {
	share := req.Share
	if share == 0 {
		share = 1
	}
	if req.Class == msg.ClassMayWait {
		share *= mayWaitShare
	}
	return share
}

// firstTokenLimit returns the time in seconds within which the first token is
// expected: what is left of the goal, a multiple of the goal once it is missed,
// or the whole goal for requests that may wait.
func (r *Router) firstTokenLimit(req *Request) float64 {
	if req.Class == msg.ClassMayWait {
		return r.cfg.TimeToFirstToken.Seconds()
	}
	left := r.cfg.TimeToFirstToken - req.Waited
	if left <= 0 {
		return r.cfg.TimeToFirstToken.Seconds() * lateFactor
	}
	return left.Seconds()
}

// roleCost returns the cost in seconds of running a whole request on an engine
// of the role.
func roleCost(role msg.Role) float64 {
	if role == msg.RoleMixed {
		return 0
	}
	return wrongRoleCost
}

// distanceCost returns the cost in seconds of the network path to the target.
func (r *Router) distanceCost(t *target) float64 {
	if t.domain == r.self.Domain {
		return 0
	}
	if r.index != nil && r.index.Region(string(t.domain)) != r.index.Region(string(r.self.Domain)) {
		return crossRegionCost
	}
	return crossDomainCost
}
