package measure

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/planner"
)

// fixedSplit is a policy that never changes a role.
type fixedSplit struct{ prefill, decode, mixed int }

func (f fixedSplit) name() string {
	return fmt.Sprintf("fixed %d/%d/%d", f.prefill, f.decode, f.mixed)
}

func (f fixedSplit) roles(int) []msg.Role {
	var out []msg.Role
	for range f.prefill {
		out = append(out, msg.RolePrefill)
	}
	for range f.decode {
		out = append(out, msg.RoleDecode)
	}
	for range f.mixed {
		out = append(out, msg.RoleMixed)
	}
	return out
}

func (fixedSplit) control(*sim) {}

// threshold is a policy that every few seconds changes one engine to the other
// dedicated role if the engines of that role are busy and those of its present
// role are not.
type threshold struct {
	last float64
}

const (
	thresholdEvery = 5.0
	thresholdHigh  = 0.8
	thresholdLow   = 0.7
)

func (*threshold) name() string           { return "threshold" }
func (*threshold) roles(n int) []msg.Role { return fixedSplit{n / 2, n - n/2, 0}.roles(n) }

func (p *threshold) control(s *sim) {
	if s.now-p.last < thresholdEvery {
		return
	}
	p.last = s.now
	prefill, decode := p.utilization(s)
	switch {
	case prefill > thresholdHigh && decode < thresholdLow:
		p.changeOne(s, msg.RoleDecode, msg.RolePrefill)
	case decode > thresholdHigh && prefill < thresholdLow:
		p.changeOne(s, msg.RolePrefill, msg.RoleDecode)
	}
}

// utilization returns the mean utilization of the prefill and of the decode
// engines since the last call.
func (p *threshold) utilization(s *sim) (prefill, decode float64) {
	var prefills, decodes float64
	for _, e := range s.engines {
		if e.state != serving {
			continue
		}
		switch e.role {
		case msg.RolePrefill:
			prefills++
			prefill += e.busy / thresholdEvery
		case msg.RoleDecode:
			decodes++
			decode += float64(e.reserved) / decodeBatch
		}
	}
	for _, e := range s.engines {
		e.busy = 0
	}
	return prefill / max(1, prefills), decode / max(1, decodes)
}

func (p *threshold) changeOne(s *sim, from, to msg.Role) {
	var best *engine
	n := 0
	for _, e := range s.engines {
		if e.role != from || e.state != serving {
			continue
		}
		n++
		if best == nil || e.reserved < best.reserved {
			best = e
		}
	}
	if n > 1 {
		s.startChange(best, to)
	}
}

// plannerPolicy is the policy that runs the estimator and planner of the product.
type plannerPolicy struct {
	estimator *demand.Estimator
	costs     planner.Costs
}

func newPlannerPolicy() *plannerPolicy {
	costs := planner.DefaultCosts()
	return &plannerPolicy{estimator: demand.New(costs.Horizon), costs: costs}
}

func (*plannerPolicy) name() string           { return "planner" }
func (*plannerPolicy) roles(n int) []msg.Role { return fixedSplit{0, 0, n}.roles(n) }

func (p *plannerPolicy) control(s *sim) {
	p.estimator.Observe(seconds(s.now), s.arrivals, s.longArrivals)
	plan := planner.PlanChanges(planner.Input{
		Engines:    p.engines(s),
		Forecast:   p.estimator.Forecast(),
		Efficiency: planner.DefaultEfficiency(),
		Costs:      p.costs,
		Limits:     planner.LimitsFor(len(s.engines), s.domains, 0),
	})
	for _, c := range plan.Changes {
		for _, e := range s.engines {
			if e.id == c.Target {
				s.startChange(e, c.To)
			}
		}
	}
}

func seconds(s float64) msg.Time { return msg.Time(s * float64(time.Second)) }

func (p *plannerPolicy) engines(s *sim) []planner.Engine {
	var out []planner.Engine
	for _, e := range s.engines {
		pe := planner.Engine{
			ID:          e.id,
			Domain:      e.domain,
			Role:        e.role,
			Available:   e.state == serving,
			Changing:    e.state == draining || e.state == changing,
			SinceChange: seconds(s.now - e.changed),
			Previous:    e.previous,
			Down:        seconds(s.now - e.wentDown),
		}
		if pe.Changing {
			pe.Role, pe.Previous = e.to, e.role
		}
		if e.role != msg.RolePrefill {
			pe.DrainTime = seconds(min(drainLimit, float64(e.reserved)*0.2))
		}
		out = append(out, pe)
	}
	return out
}
