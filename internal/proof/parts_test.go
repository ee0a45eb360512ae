package proof

import (
	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/claim"
	"github.com/verbenaspur/verbenaspur/internal/core/config"
	"github.com/verbenaspur/verbenaspur/internal/core/gate"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/member"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/request"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
)

// mutations are safeguards that are switched off.
type mutations struct {
	claim    claim.Mutation
	recorder usage.RecorderMutation
	reporter usage.ReporterMutation
}

func entryParts(p *proc) []core.Part {
	m := p.s.muts
	return []core.Part{
		probe{p},
		member.New(member.Config{Self: p.self}),
		lease.New(lease.Config{Self: p.self.Host, Incarnation: p.inc}),
		config.New(config.Config{Self: p.self.Host, Incarnation: p.inc}),
		claim.New(claim.Config{Mutation: m.claim}),
		request.New(request.Config{}),
		usage.NewRecorder(usage.RecorderConfig{Mutation: m.recorder}),
		usage.NewReporter(usage.ReporterConfig{Mutation: m.reporter}),
	}
}

func sideParts(p *proc) []core.Part {
	return []core.Part{
		probe{p},
		gate.New(gate.Config{}),
		usage.NewRecorder(usage.RecorderConfig{}),
	}
}

// probe is a part that shows the oracle what the parts tell each other.
type probe struct{ p *proc }

// Step implements core.Part.
func (pr probe) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	o := pr.p.s.oracle
	switch ev := ev.(type) {
	case msg.ConfigChanged:
		o.configured(pr.p, ev)
	case msg.LeaseChanged:
		o.leaseChanged(pr.p, ev)
	case msg.UsageCounted:
		o.counted[ev.Attempt] = counted{ev.Account, ev.Continued}
	case msg.AttemptClosed:
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
