package route

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// score sets the cost of each candidate.
func (r *Router) score(_ msg.Time, _ *Request, candidates []candidate) {
	for i := range candidates {
		t := candidates[i].target
		reported := t.load.Running + t.load.Queued
		candidates[i].cost = float64(max(reported, t.running))
	}
}
