package engine

import (
	"context"
	"sync"
)

// slots grants the slots of the running batch. Waiters with the lowest priority
// number are first; waiters of equal priority are served in order of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire waits for a slot. It reports false if the context ends first.
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
		s.cancelWait(w)
		return false
	}
}

// cancelWait removes a waiter whose context has ended.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	// The slot was granted in the meantime. It goes to the next waiter.
	s.grantOrFree()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantOrFree()
}

// grantOrFree gives a released slot to the first waiter, or marks it free if
// there is none.
func (s *slots) grantOrFree() {
	next := -1
	for i, w := range s.waiting {
		if next < 0 || w.priority < s.waiting[next].priority {
			next = i
		}
	}
	if next < 0 {
		s.free++
		return
	}
	close(s.waiting[next].ready)
	s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
}

func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
