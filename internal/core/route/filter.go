package route

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// reportLimit is the age after which a target without a newer report takes no
// new attempts.
const reportLimit = 10 * time.Second

// candidate is a target that passed the filter.
type candidate struct {
	target *target
	cost   float64
}

// filter returns the targets that may take the request now.
func (r *Router) filter(now msg.Time, p *pool, req *Request) []candidate {
	out := make([]candidate, 0, len(p.targets))
	for _, t := range p.targets {
		if t.takes(now, req) {
			out = append(out, candidate{target: t})
		}
	}
	return out
}

// takes reports whether the target may be given the request at all.
func (t *target) takes(now msg.Time, req *Request) bool {
	switch {
	case t.lost, t.leaving, t.load.Phase != msg.PhaseServing:
		return false
	case now-t.readAt > reportLimit:
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
		if m.Model != req.Model || (req.Version != "" && m.Version != req.Version) {
			continue
		}
		if req.Adapter == "" || slices.Contains(m.Adapters, req.Adapter) {
			return true
		}
	}
	return false
}
