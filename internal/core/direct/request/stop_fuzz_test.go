package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// checkRefusedStopping checks that a request was refused because of the stop only if it
// could not end in time, or at the end of the drain.
func (o *oracle) checkRefusedStopping(r *trackedRequest) {
	switch {
	case o.drainEnd == 0:
		o.fatalf("request %s was refused because of a stop that has no end", r.arrival.Req)
	case o.now >= o.drainEnd:
	case r.arrivedAt < o.now || r.arrivedAt <= o.acceptUntil || r.deadline() <= o.drainEnd:
		o.fatalf("request %s was refused at %s though it could end by %s", r.arrival.Req, o.now, o.drainEnd)
	}
}

// checkStartsWithinDrain checks that an attempt may start while the daemon stops.
func (o *oracle) checkStartsWithinDrain(r *trackedRequest) {
	switch {
	case o.drainEnd == 0:
	case o.now >= o.drainEnd:
		o.fatalf("attempt of %s at %s, the drain has ended at %s", r.arrival.Req, o.now, o.drainEnd)
	case r.arrivedAt > o.acceptUntil && r.deadline() > o.drainEnd:
		o.fatalf("request %s was accepted at %s and may end after the drain", r.arrival.Req, r.arrivedAt)
	}
}

func (o *oracle) stop(t *rapid.T) {
	if o.stopped {
		return
	}
	o.stopped = true
	ev := msg.StopRequested{
		AcceptFor: time.Duration(rapid.IntRange(0, 3000).Draw(t, "accept")) * time.Millisecond,
		DrainFor:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "drain")) * time.Millisecond,
	}
	if ev.DrainFor > 0 {
		o.acceptUntil, o.drainEnd = o.now+ev.AcceptFor, o.now+ev.DrainFor
	}
	o.step(ev)
}

// TestStopUnderAnyFault is TestRequestsUnderAnyFault with a stop at any moment.
func TestStopUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		actions := o.actions()
		actions["stop"] = o.stop
		o.runToEnd(t, actions)
	})
}
