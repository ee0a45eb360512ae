package fleet

import (
	"fmt"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// maxRolloutFailures is the number of failures that halts a roll-out.
	maxRolloutFailures = 2
	// loadBackoffFactor is the factor by which the time between two loads grows
	// with each failure. maxLoadBackoffShift limits the number of doublings.
	loadBackoffFactor   = 2
	maxLoadBackoffShift = 5
)

// rollout is the state of loading the pool's current model version.
type rollout struct {
	model, version string
	failures       int
	nextLoadAt     msg.Time
}

// proposeLoads adds one load of the model or of an adapter to the record if one
// is due.
func (c *Controller) proposeLoads(now msg.Time, p *pool, next *Record) []msg.Effect {
	model := c.index.Model(p.spec.Model)
	if model == nil {
		return nil
	}
	r := &p.rollout
	if r.model != model.Name || r.version != model.Version {
		*r = rollout{model: model.Name, version: model.Version}
	}
	effs := c.checkHalt(now, p, next, model)
	if next.Halt != nil || now < r.nextLoadAt {
		return effs
	}
	t, o := c.nextLoad(now, p, next, model)
	if t == nil {
		return effs
	}
	r.nextLoadAt = now + c.cfg.MinModelLoadInterval<<min(r.failures*loadBackoffFactor/2, maxLoadBackoffShift)
	p.addOrder(next, t, o, c.cfg.OrderTimeout, "the manifest asks for "+model.Name+" "+model.Version)
	return effs
}

// checkHalt halts a roll-out if too many targets fail with the new version.
// The halt ends when the manifest names another model or version.
func (c *Controller) checkHalt(now msg.Time, p *pool, next *Record, model *manifest.Model) []msg.Effect {
	if h := next.Halt; h != nil {
		if h.Model != model.Name || h.Version != model.Version {
			next.Halt = nil
		}
		return nil
	}
	failures := p.rollout.failures
	for _, t := range p.sorted() {
		if t.report.Phase == msg.PhaseDown && t.reachable(now) && hasModel(t.report, model.Name, model.Version) {
			failures++
		}
	}
	if failures < maxRolloutFailures || !p.servesOtherVersion(model) {
		return nil
	}
	next.Halt = &Halt{Model: model.Name, Version: model.Version, Reason: fmt.Sprintf("%d failures with this version", failures)}
	return []msg.Effect{logLine(msg.LogWarn, "Roll-out halted",
		attr("pool", string(p.name)), attr("model", model.Name), attr("version", model.Version), attr("reason", next.Halt.Reason))}
}

// servesOtherVersion reports whether a target still has another version of the
// model. Only then does a halt leave the pool working.
func (p *pool) servesOtherVersion(model *manifest.Model) bool {
	return slices.ContainsFunc(p.sorted(), func(t *target) bool {
		return slices.ContainsFunc(t.report.Models, func(m msg.LoadedModel) bool {
			return m.Model == model.Name && m.Version != model.Version
		})
	})
}

// nextLoad returns the target to load next, and the order for it.
func (c *Controller) nextLoad(now msg.Time, p *pool, rec *Record, model *manifest.Model) (*target, msg.Order) {
	for _, t := range p.sortedByLoadNeed(model) {
		if !c.mayChange(now, p, rec, t) {
			continue
		}
		hasAny := hasModel(t.report, model.Name, "")
		current := hasModel(t.report, model.Name, model.Version)
		if !current && (!hasAny || p.countUnavailable(now, rec) < p.maxUnavailable()) {
			return t, msg.Order{Kind: msg.OrderLoadModel, Model: model.Name, Version: model.Version}
		}
		if adapter := missingAdapter(t.report, model); current && adapter != "" {
			return t, msg.Order{Kind: msg.OrderLoadAdapter, Model: model.Name, Version: model.Version, Adapter: adapter}
		}
	}
	return nil, msg.Order{}
}

// sortedByLoadNeed returns the targets in the order in which they should load
// the model: first those without any version of it, and among equals those in
// the failure domains with the fewest targets on the current version.
func (p *pool) sortedByLoadNeed(model *manifest.Model) []*target {
	current := make(map[msg.FailureDomain]int)
	for _, t := range p.targets {
		if hasModel(t.report, model.Name, model.Version) {
			current[t.domain]++
		}
	}
	out := p.sorted()
	rank := func(t *target) int {
		if hasModel(t.report, model.Name, "") {
			return len(p.targets) + current[t.domain]
		}
		return current[t.domain]
	}
	slices.SortStableFunc(out, func(a, b *target) int { return rank(a) - rank(b) })
	return out
}

// hasModel reports whether a target has a version of a model loaded. An empty
// version means any.
func hasModel(r msg.LoadReport, model, version string) bool {
	return slices.ContainsFunc(r.Models, func(m msg.LoadedModel) bool {
		return m.Model == model && (version == "" || m.Version == version)
	})
}

func missingAdapter(r msg.LoadReport, model *manifest.Model) string {
	for _, m := range r.Models {
		if m.Model != model.Name {
			continue
		}
		for _, a := range model.Adapters {
			if !slices.Contains(m.Adapters, a) {
				return a
			}
		}
	}
	return ""
}
