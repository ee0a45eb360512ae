package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/config"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

// SideConfig configures a [Side].
type SideConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// Components overrides the default configurations of components, for tests.
	Components ComponentConfigs
}

// Side is the reducer of a side daemon.
type Side struct {
	*reducer.Reducer
	agent    *targetagent.Agent
	recorder *usage.Recorder

	// drained is set once the target is drained during a graceful shutdown, and
	// stopped once StopCompleted has been emitted.
	drained   bool
	drainedAt msg.Time
	stopped   bool
}

// NewSide returns the reducer of a side daemon.
func NewSide(cfg SideConfig) *Side {
	s := &Side{agent: targetagent.New(cfg.Components.TargetAgent), recorder: usage.NewRecorder(cfg.Components.Recorder)}
	s.Reducer = newReducer(
		cfg.Components.Observer,
		membership.New(membership.Config{Self: cfg.Self}),
		exchange.New(exchange.Config{Self: cfg.Self}),
		config.NewFollower(),
		s.agent,
		s.recorder,
		poison.NewCrashReporter(),
	)
	return s
}

// Step processes one event and returns the effects for the driver. The agent
// emits StopCompleted once the target is drained. Step delays this effect until
// the usage records are stored, but for maxFlushTime at most, since the entry
// daemons hold the same records.
func (s *Side) Step(now msg.Time, ev msg.Event) []msg.Effect {
	effs := s.Reducer.Step(now, ev)
	out := effs[:0]
	for _, eff := range effs {
		if _, ok := eff.(msg.StopCompleted); ok {
			s.drained, s.drainedAt = true, now
			continue
		}
		out = append(out, eff)
	}
	if s.drained && !s.stopped && (s.recorder.Idle() || now-s.drainedAt > maxFlushTime) {
		s.stopped = true
		out = append(out, msg.StopCompleted{})
	}
	return out
}

// Status returns the state of the side daemon for operators.
func (s *Side) Status(now msg.Time) targetagent.Status { return s.agent.Status(now) }
