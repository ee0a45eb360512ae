package proof

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
)

// maxOrderTime is an upper bound of the time that the simulated engines take to
// execute an order.
const maxOrderTime = 4 * time.Second

// reducer is an entry's or a side's reducer.
type reducer interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// newReducer returns the reducer of the process. The mutations switch off
// safeguards of its components.
func (p *proc) newReducer() reducer {
	m := p.s.mutations
	parts := core.ComponentConfigs{
		Idempotency: idempotency.Config{Mutation: m.claim},
		Recorder:    usage.RecorderConfig{Mutation: m.recorder},
		Reporter:    usage.ReporterConfig{Mutation: m.reporter},
		Observer:    probe{p},
		Lease:       m.lease,
		TargetAgent: targetagent.Config{MaxOrderDuration: maxOrderTime},
	}
	if p.self.Kind == msg.HostTarget {
		return core.NewSide(core.SideConfig{Self: p.self, Incarnation: p.incarnation, Components: parts})
	}
	return core.NewEntry(core.EntryConfig{Self: p.self, Incarnation: p.incarnation, Components: parts})
}

// probe is a component that passes events between components to the oracle. With
// the mutation alwaysConfirmConfig it also confirms the configuration at each tick.
type probe struct{ p *proc }

// Step implements reducer.Component.
func (pr probe) Step(now msg.Time, ev msg.Event) []msg.Effect {
	o := pr.p.s.oracle
	if _, ok := ev.(msg.Tick); ok && pr.p.s.mutations.alwaysConfirmConfig && pr.p.generation > 0 {
		return []msg.Effect{msg.Raise{Event: msg.ConfigConfirmed{Generation: pr.p.generation, Until: now + time.Hour}}}
	}
	switch ev := ev.(type) {
	case msg.ConfigChanged:
		o.configApplied(pr.p, ev)
	case msg.LeaseChanged:
		o.leaseChanged(pr.p, ev)
	case msg.UsageCounted:
		o.counted[ev.Attempt] = countedAttempt{ev.Account, ev.Continued}
	case msg.SideAttemptEnded:
		if r := pr.p.attempts[ev.Attempt]; r != nil && ev.Result != msg.AttemptNotRun && !r.spec.PrefillOnly {
			o.counted[ev.Attempt] = countedAttempt{r.spec.Account, r.spec.Continued}
		}
	}
	return nil
}

// refusedResult is the result of an attempt that the side refused.
func refusedResult(eff msg.RefuseAttempt) msg.AttemptResult {
	if eff.MayHaveRun {
		return msg.AttemptLost
	}
	return msg.AttemptNotRun
}
