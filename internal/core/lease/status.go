package lease

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Status describes all leases for operators.
type Status struct {
	Leases []Info `json:"leases"`
}

// Info describes one lease as this daemon knows it.
type Info struct {
	Name msg.LeaseName `json:"name"`
	// Held says that this daemon holds it.
	Held  bool      `json:"held"`
	Epoch msg.Epoch `json:"epoch"`
	// Holder is the last known holder and SeenAgo the time since its last
	// renewal was seen.
	Holder  msg.HostID    `json:"holder,omitempty"`
	SeenAgo time.Duration `json:"seenAgo"`
	// Candidate says that this daemon stands by for it.
	Candidate bool `json:"candidate"`
}

// Status returns the state of all leases in the order in which they were
// first wanted.
func (p *Component) Status(now msg.Time) Status {
	var s Status
	for _, l := range p.sorted() {
		s.Leases = append(s.Leases, Info{
			Name:      l.name,
			Held:      l.held,
			Epoch:     l.record.Epoch,
			Holder:    l.record.Holder,
			SeenAgo:   now - l.stillAt,
			Candidate: l.rank < candidates,
		})
	}
	return s
}
