package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost model of a plain service: serviceWorkers calls at once, the others
// wait in order of arrival.
const (
	serviceWorkers = 8
	serviceTime    = 40 * time.Millisecond
)

// service is an instance of a plain service with its side daemon.
type service struct {
	*server
	running []*sequence
	waiting []*sequence
}

func (s *service) begin(q *sequence) {
	if len(s.running) >= serviceWorkers {
		s.waiting = append(s.waiting, q)
		return
	}
	s.running = append(s.running, q)
	life := s.life
	s.world.after(serviceTime, func() {
		if s.life == life {
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
	s.world.token(s.server, q)
	s.world.ended(s.server, q, msg.AttemptDone, msg.TokenUsage{})
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

func (s *service) cancel(msg.AttemptID) *sequence { return nil }

func (s *service) crashed() []*sequence {
	lost := append(s.running, s.waiting...)
	s.running, s.waiting = nil, nil
	return lost
}

func (s *service) load() msg.LoadReport {
	return msg.LoadReport{Running: len(s.running), Queued: len(s.waiting), MaxBatch: serviceWorkers}
}

func (s *service) takeEvents() []msg.CacheEvent { return nil }
