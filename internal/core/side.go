package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/gate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// SideConfig configures the reducer of a side daemon.
type SideConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
}

// Side is the reducer of a side daemon.
type Side struct {
	*Reducer
	gate *gate.Gate
}

// NewSide returns the reducer of a side daemon.
func NewSide(SideConfig) *Side {
	s := &Side{gate: gate.New(gate.Config{})}
	s.Reducer = NewReducer(s.gate)
	return s
}

// Status returns what operators see of the side daemon.
func (s *Side) Status(now msg.Time) gate.Status { return s.gate.Status(now) }
