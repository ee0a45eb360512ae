package core

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// stopNotice is the least time between the request to stop and the stop, in
// which the platform's balancer sees that the daemon is no longer ready.
const stopNotice = time.Second

// stopFlush bounds how long a graceful shutdown waits for the platform once
// nothing else is left to do.
const stopFlush = 15 * time.Second

// idler is a part that has work to finish before a graceful shutdown.
type idler interface {
	// Idle reports whether nothing is left to do.
	Idle() bool
}

// stopper emits StopReady once the requests are over and the flushers have
// finished, or stopFlush after the last request.
type stopper struct {
	requests idler
	flushers []idler

	asked  bool
	since  msg.Time // the last instant with an open request
	notice msg.Time
	done   bool
}

// Step implements [reducer.Component].
func (s *stopper) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev.(type) {
	case msg.StopRequested:
		if !s.asked {
			s.asked, s.since, s.notice = true, now, now+stopNotice
		}
	case msg.Tick:
		return s.onTick(now)
	}
	return nil
}

func (s *stopper) onTick(now msg.Time) []msg.Effect {
	if !s.asked || s.done {
		return nil
	}
	if !s.requests.Idle() {
		s.since = now
		return nil
	}
	if now < s.notice || (!s.flushed() && now-s.since < stopFlush) {
		return nil
	}
	s.done = true
	return []msg.Effect{msg.StopCompleted{}}
}

func (s *stopper) flushed() bool {
	for _, f := range s.flushers {
		if !f.Idle() {
			return false
		}
	}
	return true
}
