// Package daemon runs the reducers of entry and side daemons. It turns I/O into
// events and executes effects as I/O.
package daemon

import (
	"context"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

// eventBuffer is the number of events that may be queued for the reducer.
const eventBuffer = 8192

// Loop passes events to a reducer, one at a time, and the reducer's effects to a
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

// NewLoop returns a loop that uses the system's clocks. Its clock is monotonic and
// starts at zero. It calls execute on the loop's goroutine, so execute must neither
// block nor call [Loop.Post], which may block.
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

// Now returns the time of the loop's clock.
func (l *Loop) Now() msg.Time { return l.clock() }

// Post queues an event for the reducer. It blocks while the buffer is full, and
// drops the event if the loop has ended.
func (l *Loop) Post(ev msg.Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// Query runs f on the loop's goroutine between two steps and waits for it to
// return. It reports whether f ran, which it does not if the loop has ended.
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

// Run steps the reducer until ctx ends, with started as the first event.
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
