package fleet

import (
	"fmt"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// haltAfter is the number of failures that stops a roll-out.
	haltAfter = 2
	// loadBackoff multiplies the gap between loads after each failure.
	loadBackoff = 2
	maxBackoff  = 5
)

// rollout follows the loads of the pool's model version.
type rollout struct {
	model, version string
	failures       int
	next           msg.Time
}

// proposeLoads adds loads of the model and its adapters to the record.
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
	if next.Halt != nil || now < r.next {
		return effs
	}
	t, o := c.nextLoad(now, p, next, model)
	if t == nil {
		return effs
	}
	r.next = now + c.cfg.LoadGap<<min(r.failures*loadBackoff/2, maxBackoff)
	p.add(next, t, o, c.cfg.OrderTimeout, "the manifest asks for "+model.Name+" "+model.Version)
	return effs
}

// checkHalt stops a roll-out whose targets fail. A newer version ends the
// halt.
func (c *Controller) checkHalt(now msg.Time, p *pool, next *Record, model *manifest.Model) []msg.Effect {
	if h := next.Halt; h != nil {
		if h.Model != model.Name || h.Version != model.Version {
			next.Halt = nil
		}
		return nil
	}
	bad := p.rollout.failures
	for _, t := range p.sorted() {
		if t.report.Phase == msg.PhaseDown && t.reachable(now) && holds(t.report, model.Name, model.Version) {
			bad++
		}
	}
	if bad < haltAfter || !p.mixedVersions(model) {
		return nil
	}
	next.Halt = &Halt{Model: model.Name, Version: model.Version, Reason: fmt.Sprintf("%d failures with this version", bad)}
	return []msg.Effect{logLine(msg.LogWarn, "Roll-out halted",
		attr("pool", string(p.name)), attr("model", model.Name), attr("version", model.Version), attr("reason", next.Halt.Reason))}
}

// mixedVersions reports whether another version of the model still serves, so
// that a halt leaves the pool working.
func (p *pool) mixedVersions(model *manifest.Model) bool {
	return slices.ContainsFunc(p.sorted(), func(t *target) bool {
		return slices.ContainsFunc(t.report.Models, func(m msg.LoadedModel) bool {
			return m.Model == model.Name && m.Version != model.Version
		})
	})
}

// nextLoad returns the target that needs a load most, and the order.
func (c *Controller) nextLoad(now msg.Time, p *pool, rec *Record, model *manifest.Model) (*target, msg.Order) {
	for _, t := range p.byNeed(model) {
		if !c.mayChange(now, p, rec, t) {
			continue
		}
		serves := holds(t.report, model.Name, "")
		current := holds(t.report, model.Name, model.Version)
		if !current && (!serves || p.unavailable(now, rec) < p.changesAtOnce()) {
			return t, msg.Order{Kind: msg.OrderLoadModel, Model: model.Name, Version: model.Version}
		}
		if adapter := missingAdapter(t.report, model); current && adapter != "" {
			return t, msg.Order{Kind: msg.OrderLoadAdapter, Model: model.Name, Version: model.Version, Adapter: adapter}
		}
	}
	return nil, msg.Order{}
}

// byNeed returns the targets without any version of the model first, those in
// the failure domains with the fewest current ones before others.
func (p *pool) byNeed(model *manifest.Model) []*target {
	current := make(map[msg.FailureDomain]int)
	for _, t := range p.targets {
		if holds(t.report, model.Name, model.Version) {
			current[t.domain]++
		}
	}
	out := p.sorted()
	rank := func(t *target) int {
		if holds(t.report, model.Name, "") {
			return len(p.targets) + current[t.domain]
		}
		return current[t.domain]
	}
	slices.SortStableFunc(out, func(a, b *target) int { return rank(a) - rank(b) })
	return out
}

// holds reports whether a target has a model, in any version for "".
func holds(r msg.LoadReport, model, version string) bool {
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
