package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// usageDeadline is the time after a window's end by which it must be reported.
	usageDeadline = 10 * time.Second
	// collectTime is the time after a window's end by which it is reported without an
	// outage.
	collectTime = 4 * time.Second
	// silentCall is the time after which a call without a response ends.
	silentCall = 1500 * time.Millisecond
	// reportDelay is the time after the end of an outage by which all windows that
	// ended before are reported.
	reportDelay = 2200 * time.Millisecond
	// takeoverDelay is the same if the holder of the lease was killed: a candidate that
	// did not hear of the last renewal waits from the time at which it reads it.
	takeoverDelay = 7 * time.Second
)

// outage is a time in which the store does not serve. A silent store does not respond
// at all, while another one refuses each call.
type outage struct {
	from, until time.Duration
	silent      bool
}

func (o outage) contains(now time.Duration) bool { return now >= o.from && now < o.until }

// callsStore reports whether an effect is a call of the store.
func callsStore(eff msg.Effect) bool {
	switch eff.(type) {
	case msg.ReadRoutes, msg.ReadInstances:
		return true
	}
	_, ok := coretest.Failed(eff, msg.CallUnavailable)
	return ok
}

// fail ends a call that was made in an outage of the store.
func (sim *directSimulation) fail(n *directNode, eff msg.Effect) {
	delay, ev := sim.delay(), msg.Event(nil)
	switch eff := eff.(type) {
	case msg.ReadRoutes:
		ev = msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable}
	case msg.ReadInstances:
		ev = msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable}
	default:
		ev, _ = coretest.Failed(eff, msg.CallUnavailable)
		if sim.storeOutage.silent {
			ev = lostResponse(eff)
		}
	}
	if sim.storeOutage.silent {
		delay = silentCall
	}
	sim.afterDelay(delay, n, func() { sim.step(n, ev) })
}

// TestUsageAfterOutage checks that an outage of the store delays no usage window beyond
// the end of the outage by more than reportDelay, or takeoverDelay if the holder of the
// lease is killed in it.
func TestUsageAfterOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		sim.prompt = true
		sim.advance(12 * time.Second)
		from := sim.now + time.Duration(rapid.IntRange(0, 4999).Draw(t, "after_ms"))*time.Millisecond
		sim.storeOutage = outage{from, from + time.Duration(rapid.IntRange(4000, 8500).Draw(t, "length_ms"))*time.Millisecond, rapid.Bool().Draw(t, "silent")}
		killAt := from + time.Duration(rapid.IntRange(1500, 4000).Draw(t, "kill_ms"))*time.Millisecond
		if !rapid.Bool().Draw(t, "kill") {
			killAt = -1
		}
		allowed := reportDelay
		if killAt > 0 {
			allowed = takeoverDelay
		}
		for sim.now < from+25*time.Second {
			for _, n := range sim.nodes {
				sim.count(n, 1)
			}
			sim.advance(500 * time.Millisecond)
			if killAt > 0 && sim.now >= killAt {
				sim.startProcess(sim.lastReporter)
				killAt = -1
			}
		}
		sim.checkUsage(t, sim.now-usageDeadline, allowed)
	})
}

// checkUsage checks the windows that ended before a time. All are reported, those that
// the outage has not delayed within half of the time that they have.
func (sim *directSimulation) checkUsage(t *rapid.T, before, allowed time.Duration) {
	for window, runs := range sim.startedRuns {
		end := time.Duration((window+1)*int64(fuzzWindow) - sim.wall().Add(-sim.now).UnixNano())
		if end > before {
			continue
		}
		latest := max(end+collectTime, sim.storeOutage.until+allowed)
		if end+usageDeadline/2 < sim.storeOutage.from || end > sim.storeOutage.until || allowed == takeoverDelay {
			latest = max(end+usageDeadline, sim.storeOutage.until+allowed)
		}
		if at, ok := sim.reportedAt[window]; !ok || at > latest {
			t.Fatalf("window of %d runs that ended at %s was reported at %s, after %s; outage %v", runs, end, at, latest, sim.storeOutage)
		}
	}
}
