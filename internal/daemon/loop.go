// Package daemon runs the reducers: it turns I/O into events and effects into
// I/O.
package daemon

import (
	"context"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

// eventBuffer is the number of events that may wait for the reducer.
const eventBuffer = 8192

// Loop feeds events to a reducer, one at a time, and hands its effects to a
// driver.
type Loop struct {
	reducer trace.Reducer
	execute func(now msg.Time, eff msg.Effect)
	clock   func() msg.Time
	wall    func() time.Time
	events  chan msg.Event
	queries chan func(now msg.Time)
	stopped chan struct{}
}

// NewLoop returns a loop. Execute is called on the loop's goroutine and must
// not block or post events from it.
func NewLoop(reducer trace.Reducer, execute func(now msg.Time, eff msg.Effect)) *Loop {
	start := time.Now()
	clock := func() msg.Time { return time.Since(start) }
	return newLoop(reducer, execute, clock, func() time.Time { return time.Now().UTC() })
}

// newLoop returns a loop with the given clock and wall clock.
func newLoop(reducer trace.Reducer, execute func(now msg.Time, eff msg.Effect), clock func() msg.Time, wall func() time.Time) *Loop {
	return &Loop{
		reducer: reducer,
		execute: execute,
		clock:   clock,
		wall:    wall,
		events:  make(chan msg.Event, eventBuffer),
		queries: make(chan func(msg.Time)),
		stopped: make(chan struct{}),
	}
}

// Now returns the time on the process's clock.
func (l *Loop) Now() msg.Time { return l.clock() }

// Post hands an event to the reducer. It waits while the buffer is full and
// drops the event once the loop has ended.
func (l *Loop) Post(ev msg.Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// Query runs f between two steps and waits for it. It reports whether f ran.
func (l *Loop) Query(f func(now msg.Time)) bool {
	done := make(chan struct{})
	select {
	case l.queries <- func(now msg.Time) { f(now); close(done) }:
		<-done
		return true
	case <-l.stopped:
		return false
	}
}

// Run steps the reducer until ctx ends. The first event is started.
func (l *Loop) Run(ctx context.Context, started msg.Started) {
	defer close(l.stopped)
	ticker := time.NewTicker(msg.TickInterval)
	defer ticker.Stop()
	l.step(started)
	for {
		select {
		case ev := <-l.events:
			l.step(ev)
		case q := <-l.queries:
			q(l.Now())
		case <-ticker.C:
			l.step(msg.Tick{Wall: l.wall()})
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) step(ev msg.Event) {
	now := l.Now()
	for _, eff := range l.reducer.Step(now, ev) {
		l.execute(now, eff)
	}
}
