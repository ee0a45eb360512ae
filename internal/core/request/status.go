package request

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Status is what operators see of the requests on an entry daemon.
type Status struct {
	Open     int          `json:"open"`
	Running  int          `json:"running"`
	Stopping bool         `json:"stopping"`
	Pools    []PoolStatus `json:"pools"`
}

// PoolStatus is what operators see of the requests for one pool.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Waiting counts the queued requests, Suspects those that wait for a
	// target of their own because one went down under them.
	Waiting  int `json:"waiting"`
	Suspects int `json:"suspects"`
	// Targets counts the known targets and Serving those that take attempts.
	Targets int `json:"targets"`
	Serving int `json:"serving"`
}

// Status returns what operators see of the requests.
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
