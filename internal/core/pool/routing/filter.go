package routing

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// CountTargets returns the number of known targets of a pool, and the number of
// those that accept attempts.
func (r *Router) CountTargets(now msg.Time, id msg.PoolID) (targets, serving int) {
	p := r.pools[id]
	if p == nil {
		return 0, 0
	}
	for _, t := range p.targets {
		if t.acceptsAttempts(now) {
			serving++
		}
	}
	return len(p.targets), serving
}

// acceptsAttempts reports whether the target accepts attempts of any request: it
// is reachable and serving, its host is not leaving, and its load report is
// recent.
func (t *target) acceptsAttempts(now msg.Time) bool {
	return !t.unreachable && !t.leaving && t.load.Phase == msg.PhaseServing && now-t.readAt <= maxReportAge
}

// eligible reports whether the request may run on the target, regardless of the
// target's load.
func (t *target) eligible(now msg.Time, req *Request) bool {
	switch {
	case !t.acceptsAttempts(now):
		return false
	case req.Suspect && (t.suspects > 0 || now < t.suspectUntil):
		return false
	case t.kind == msg.TargetEngine && !t.hasModel(req):
		return false
	}
	return !slices.Contains(req.Exclude, t.id)
}

// hasModel reports whether the engine has the request's model and adapter
// loaded.
func (t *target) hasModel(req *Request) bool {
	for i := range t.load.Models {
		m := &t.load.Models[i]
		if m.Model != req.Model {
			continue
		}
		if req.Adapter == "" || slices.Contains(m.Adapters, req.Adapter) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether the target's batch is below its limit and its KV
// cache has space for the prompt and the expected output. A target that reports
// no KV cache size passes the second check.
func (t *target) hasFreeSlot(req *Request) bool {
	limit := t.load.MaxBatch
	if limit <= 0 {
		limit = defaultMaxBatch
	}
	if t.batch() >= limit {
		return false
	}
	return t.load.KVTotal == 0 || t.kvUsed()+req.PromptTokens+req.OutputTokens <= t.load.KVTotal
}
