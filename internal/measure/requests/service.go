package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Cost model of an instance of the plain service. It processes serviceWorkers
// requests at a time, each for serviceTime; others wait in the order of arrival.
const (
	serviceWorkers = 8
	serviceTime    = 40 * time.Millisecond
)

// service is an instance of the plain service with its side daemon.
type service struct {
	*server
	running []*sequence
	waiting []*sequence
}

func (s *service) start(q *sequence) {
	if len(s.running) >= serviceWorkers {
		s.waiting = append(s.waiting, q)
		return
	}
	s.running = append(s.running, q)
	crashesBefore := s.crashes
	s.sim.after(serviceTime, func() {
		if s.crashes == crashesBefore {
			s.finish(q)
		}
	})
}

func (s *service) finish(q *sequence) {
	for i := range s.running {
		if s.running[i] == q {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	s.sim.deliverToken(s.server, q)
	s.sim.endAttempt(s.server, q, msg.AttemptDone, msg.TokenUsage{})
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

func (s *service) cancel(msg.AttemptID) *sequence { return nil }

func (s *service) dropAll() []*sequence {
	lost := append(s.running, s.waiting...)
	s.running, s.waiting = nil, nil
	return lost
}

func (s *service) load() msg.LoadReport {
	return msg.LoadReport{Running: len(s.running), Queued: len(s.waiting), MaxBatch: serviceWorkers}
}

func (s *service) takeEvents() []msg.CacheEvent { return nil }
