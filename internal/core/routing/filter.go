package routing

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Count returns the number of a pool's known targets and of those that take
// attempts.
func (r *Router) Count(now msg.Time, id msg.PoolID) (targets, serving int) {
	p := r.pools[id]
	if p == nil {
		return 0, 0
	}
	for _, t := range p.targets {
		if t.open(now) {
			serving++
		}
	}
	return len(p.targets), serving
}

// open reports whether the target takes attempts at all.
func (t *target) open(now msg.Time) bool {
	return !t.lost && !t.leaving && t.load.Phase == msg.PhaseServing && now-t.readAt <= reportLimit
}

// takes reports whether the target may be given the request at all.
func (t *target) takes(now msg.Time, req *Request) bool {
	switch {
	case !t.open(now):
		return false
	case req.Suspect && (t.suspects > 0 || now < t.suspectUntil):
		return false
	case t.kind == msg.TargetEngine && !t.serves(req):
		return false
	}
	return !slices.Contains(req.Exclude, t.id)
}

// serves reports whether the engine has the model and the adapter loaded.
func (t *target) serves(req *Request) bool {
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

// fits reports whether the target has a free sequence and KV cache at all.
func (t *target) fits(req *Request) bool {
	limit := t.load.MaxBatch
	if limit <= 0 {
		limit = defaultBatch
	}
	if t.batch() >= limit {
		return false
	}
	return t.load.KVTotal == 0 || t.kv()+req.PromptTokens+req.OutputTokens <= t.load.KVTotal
}
