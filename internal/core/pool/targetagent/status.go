package targetagent

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Status describes a target agent to operators.
type Status struct {
	Target msg.TargetID `json:"target"`
	Phase  string       `json:"phase"`
	Role   string       `json:"role"`
	// Running is the number of admitted attempts that have not ended. Unlike that
	// of a load report it includes those that the target has queued.
	Running   int         `json:"running"`
	DrainHeld bool        `json:"held"`
	Stopping  bool        `json:"stopping"`
	Epoch     msg.Epoch   `json:"epoch"`
	Order     msg.OrderID `json:"order,omitempty"`
	// ReadAgeMillis is the age of the last read of the target.
	ReadAgeMillis int64 `json:"readAgeMillis"`
}

// Status returns the agent's state for operators.
func (a *Agent) Status(now msg.Time) Status {
	s := Status{
		Target:        a.target.Target,
		Phase:         a.phase().String(),
		Role:          a.reads.report.Role.String(),
		Running:       a.attempts.count(),
		DrainHeld:     a.drainHeld,
		Stopping:      a.stopping,
		Epoch:         a.orders.epoch,
		ReadAgeMillis: (now - a.reads.readAt).Milliseconds(),
	}
	if a.orders.open != nil {
		s.Order = a.orders.open.order.ID
	}
	return s
}
