package engine

import (
	"context"
	"sync"
)

// slots hands out places in the running batch, lowest priority number first.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire waits for a place. It reports false when the context ended first.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	// The place was handed over in the meantime.
	s.handOver()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver()
}

func (s *slots) handOver() {
	best := -1
	for i, w := range s.waiting {
		if best < 0 || w.priority < s.waiting[best].priority {
			best = i
		}
	}
	if best < 0 {
		s.free++
		return
	}
	close(s.waiting[best].ready)
	s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
}

func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
