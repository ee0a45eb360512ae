package core

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// minStopDelay is the least time between the request to stop and the stop. In
// this time, the platform's load balancer learns that the daemon is no longer
// ready.
const minStopDelay = time.Second

// maxFlushTime limits how long a graceful shutdown waits for calls to the
// platform after all other work is finished.
const maxFlushTime = 15 * time.Second

// idler is a component that may have work to finish before the daemon stops.
type idler interface {
	// Idle reports whether the component has no work left.
	Idle() bool
}

// stopper is the component that ends a graceful shutdown. It emits StopCompleted
// once all requests have ended and the flushers, the components that write to
// the platform, are idle. It waits for the flushers until maxFlushTime after the
// end of the last request at most. It does not emit StopCompleted before
// minStopDelay after the request to stop.
type stopper struct {
	requests idler
	flushers []idler

	requested    bool
	lastBusy     msg.Time // last time at which a request was open
	earliestStop msg.Time
	done         bool
}

// Step implements [reducer.Component].
func (s *stopper) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev.(type) {
	case msg.StopRequested:
		if !s.requested {
			s.requested, s.lastBusy, s.earliestStop = true, now, now+minStopDelay
		}
	case msg.Tick:
		return s.onTick(now)
	}
	return nil
}

func (s *stopper) onTick(now msg.Time) []msg.Effect {
	if !s.requested || s.done {
		return nil
	}
	if !s.requests.Idle() {
		s.lastBusy = now
		return nil
	}
	if now < s.earliestStop || (!s.allIdle() && now-s.lastBusy < maxFlushTime) {
		return nil
	}
	s.done = true
	return []msg.Effect{msg.StopCompleted{}}
}

func (s *stopper) allIdle() bool {
	for _, f := range s.flushers {
		if !f.Idle() {
			return false
		}
	}
	return true
}
