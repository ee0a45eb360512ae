package httpdrain

import (
	"log/slog"
	"maps"
)

// Phase is a step of a drain.
type Phase int

// Phases of a drain, in their order.
const (
	PhaseServing Phase = iota
	PhaseAnnounced
	PhaseListenersClosed
	PhaseIdleClosed
)

// String returns the name of the phase in metrics.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "listeners_closed", "idle_closed"}[p]
}

// Stats is a snapshot of a server's figures. The counts are those since its start.
type Stats struct {
	// Requests counts the requests that handlers got, by the phase in which they did.
	Requests map[Phase]int64
	// Open is the number of open connections, and Busy those of them that carry a
	// request.
	Open, Busy int
	// IdleClosed counts the connections that carried no request at CloseIdle.
	IdleClosed int64
	// Unanswered counts the requests, and parts of them, that were read and got no response
	// although the caller had not left. Of a request in the same packet as the one before
	// it, which HTTP/1.1 permits, nothing is known here.
	Unanswered int64
}

// Stats returns the present figures.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Requests = maps.Clone(s.stats.Requests)
	stats.Open = len(s.conns)
	for c := range s.conns {
		if c.busy() {
			stats.Busy++
		}
	}
	return stats
}

// LogValue implements [slog.LogValuer].
func (s Stats) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("open", s.Open), slog.Int("busy", s.Busy),
		slog.Int64("requests_announced", s.Requests[PhaseAnnounced]),
		slog.Int64("requests_listeners_closed", s.Requests[PhaseListenersClosed]),
		slog.Int64("requests_idle_closed", s.Requests[PhaseIdleClosed]),
		slog.Int64("idle_closed", s.IdleClosed), slog.Int64("unanswered", s.Unanswered),
	)
}
