package proof

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
)

// longestOrder bounds an order's execution by the engines of the world.
const longestOrder = 4 * time.Second

// stepper is a reducer.
type stepper interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

func (p *proc) newReducer() stepper {
	m := p.s.muts
	parts := core.ComponentConfigs{
		Idempotency: idempotency.Config{Mutation: m.claim},
		Recorder:    usage.RecorderConfig{Mutation: m.recorder},
		Reporter:    usage.ReporterConfig{Mutation: m.reporter},
		Observer:    probe{p},
		Lease:       m.lease,
		TargetAgent: targetagent.Config{MaxOrderDuration: longestOrder},
	}
	if p.self.Kind == msg.HostTarget {
		return core.NewSide(core.SideConfig{Self: p.self, Incarnation: p.inc, Components: parts})
	}
	return core.NewEntry(core.EntryConfig{Self: p.self, Incarnation: p.inc, Components: parts})
}

// probe is a part that shows the oracle what the parts tell each other.
type probe struct{ p *proc }

// Step implements reducer.Component.
func (pr probe) Step(now msg.Time, ev msg.Event) []msg.Effect {
	o := pr.p.s.oracle
	if _, ok := ev.(msg.Tick); ok && pr.p.s.muts.alwaysFresh && pr.p.gen > 0 {
		return []msg.Effect{msg.Raise{Event: msg.ConfigConfirmed{Generation: pr.p.gen, Until: now + time.Hour}}}
	}
	switch ev := ev.(type) {
	case msg.ConfigChanged:
		o.configured(pr.p, ev)
	case msg.LeaseChanged:
		o.leaseChanged(pr.p, ev)
	case msg.UsageCounted:
		o.counted[ev.Attempt] = counted{ev.Account, ev.Continued}
	case msg.SideAttemptEnded:
		if r := pr.p.runs[ev.Attempt]; r != nil && ev.Result != msg.AttemptNotRun && !r.spec.PrefillOnly {
			o.counted[ev.Attempt] = counted{r.spec.Account, r.spec.Continued}
		}
	}
	return nil
}

func refusedResult(eff msg.RefuseAttempt) msg.AttemptResult {
	if eff.MayHaveRun {
		return msg.AttemptLost
	}
	return msg.AttemptNotRun
}
