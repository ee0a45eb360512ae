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

// stopper emits StopReady once all idlers have finished.
type stopper struct {
	idlers []idler
	since  msg.Time
	asked  bool
	done   bool
}

// Step implements [Part].
func (s *stopper) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev.(type) {
	case msg.StopRequested:
		if !s.asked {
			s.asked, s.since = true, now
		}
	case msg.Tick:
		return s.onTick(now)
	}
	return nil
}

func (s *stopper) onTick(now msg.Time) []msg.Effect {
	if !s.asked || s.done || now-s.since < stopNotice {
		return nil
	}
	for _, i := range s.idlers {
		if !i.Idle() {
			return nil
		}
	}
	s.done = true
	return []msg.Effect{msg.StopReady{}}
}
