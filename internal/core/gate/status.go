package gate

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Status describes a gate to operators.
type Status struct {
	Target   msg.TargetID `json:"target"`
	Phase    string       `json:"phase"`
	Role     string       `json:"role"`
	Running  int          `json:"running"`
	Held     bool         `json:"held"`
	Stopping bool         `json:"stopping"`
	Epoch    msg.Epoch    `json:"epoch"`
	Order    msg.OrderID  `json:"order,omitempty"`
	// ReadAgeMillis is the age of the last read of the target.
	ReadAgeMillis int64 `json:"readAgeMillis"`
}

// Status returns the gate's state.
func (g *Gate) Status(now msg.Time) Status {
	s := Status{
		Target:        g.target.Target,
		Phase:         g.phase().String(),
		Role:          g.reads.report.Role.String(),
		Running:       g.attempts.count(),
		Held:          g.held,
		Stopping:      g.stopping,
		Epoch:         g.orders.epoch,
		ReadAgeMillis: (now - g.reads.at).Milliseconds(),
	}
	if g.orders.open != nil {
		s.Order = g.orders.open.order.ID
	}
	return s
}
