package lease

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Status describes all leases to operators.
type Status struct {
	Leases []Info `json:"leases"`
}

// Info describes one lease as this daemon last observed it.
type Info struct {
	Name msg.LeaseName `json:"name"`
	// Held reports whether this daemon holds the lease.
	Held  bool      `json:"held"`
	Epoch msg.Epoch `json:"epoch"`
	// Holder is the holder that was last observed, and SeenAgo the time since
	// the lease object was last read in its present version.
	Holder  msg.HostID    `json:"holder,omitempty"`
	SeenAgo time.Duration `json:"seenAgo"`
	// Candidate reports whether this daemon is a candidate for the lease.
	Candidate bool `json:"candidate"`
}

// Status returns the state of all leases, in the order in which they were first
// requested.
func (c *Component) Status(now msg.Time) Status {
	var s Status
	for _, l := range c.sortedLeases() {
		s.Leases = append(s.Leases, Info{
			Name:      l.name,
			Held:      l.held,
			Epoch:     l.record.Epoch,
			Holder:    l.record.Holder,
			SeenAgo:   now - l.lastSeenAt,
			Candidate: l.rank < candidates,
		})
	}
	return s
}
