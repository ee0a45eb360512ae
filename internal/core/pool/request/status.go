package request

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Status is the state of the requests on an entry daemon, as shown to
// operators.
type Status struct {
	Open     int          `json:"open"`
	Running  int          `json:"running"`
	Stopping bool         `json:"stopping"`
	Pools    []PoolStatus `json:"pools"`
}

// PoolStatus is the state of the requests for one pool, as shown to operators.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Waiting is the number of requests in the fair queue. Suspects is the
	// number of requests that wait outside of it for a target without another
	// suspect, because a target went down while it ran them.
	Waiting  int `json:"waiting"`
	Suspects int `json:"suspects"`
	// Targets is the number of known targets, and Serving that of targets that
	// accept attempts.
	Targets int `json:"targets"`
	Serving int `json:"serving"`
}

// Status returns the state of the requests at the time now.
func (m *Manager) Status(now msg.Time) Status {
	s := Status{Open: len(m.requests), Running: len(m.attempts), Stopping: m.stopping}
	for _, p := range m.pools {
		targets, serving := m.router.CountTargets(now, msg.PoolID(p.name))
		s.Pools = append(s.Pools, PoolStatus{
			Pool: p.name, Waiting: p.queue.Len(), Suspects: len(p.suspects), Targets: targets, Serving: serving,
		})
	}
	return s
}
