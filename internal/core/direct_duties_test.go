package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The property tests in this file run the reducers of several entry daemons of
// the direct path against one store. They check the duties that only one of the
// daemons may perform at a time.

// duty is the history of the calls for one subject: the usage reports, or the
// role changes of one engine. Each call is an action under a lease.
type duty struct {
	epoch         msg.Epoch
	actions       []action
	holderByEpoch map[msg.Epoch]msg.HostID
}

// action is a call that a daemon made under a lease.
type action struct {
	at   time.Duration
	host msg.HostID
}

// onReport checks a usage report as it reaches the platform.
func (sim *directSimulation) onReport(n *directNode, eff msg.ReportWindow) {
	sim.checkDuty("usage", n.host, eff.Epoch)
	sim.lastReporter = n
	if _, ok := sim.reportedAt[eff.Window]; !ok {
		sim.reportedAt[eff.Window] = sim.now
	}
	if old, ok := sim.usage[eff.Window]; ok && !maps.Equal(old, eff.Counts) {
		sim.t.Fatalf("window %d was reported with %v and then with %v", eff.Window, old, eff.Counts)
	}
	sim.usage[eff.Window] = eff.Counts
	var sum int64
	for _, n := range eff.Counts {
		sum += n
	}
	if sum > sim.startedRuns[eff.Window] {
		sim.t.Fatalf("window %d was reported with %d runs, but only %d were started", eff.Window, sum, sim.startedRuns[eff.Window])
	}
}

func (sim *directSimulation) onRoleChange(from msg.HostID, eff msg.ChangeRole) {
	sim.checkDuty("order of "+string(eff.Target), from, eff.Epoch)
	for i := range sim.engines {
		if sim.engines[i].Target == eff.Target {
			sim.engines[i].Role = eff.Role
		}
	}
}

// checkDuty checks that only one daemon at a time performs a duty: the epochs
// never decrease, each epoch has one holder, and no daemon acts again within
// fuzzTurn if another daemon has acted in between.
func (sim *directSimulation) checkDuty(subject string, from msg.HostID, epoch msg.Epoch) {
	d := sim.duties[subject]
	if d == nil {
		d = &duty{holderByEpoch: make(map[msg.Epoch]msg.HostID)}
		sim.duties[subject] = d
	}
	if epoch < d.epoch {
		sim.t.Fatalf("%s: epoch %d after %d", subject, epoch, d.epoch)
	}
	d.epoch = epoch
	if h, ok := d.holderByEpoch[epoch]; ok && h != from {
		sim.t.Fatalf("%s: %s and %s act under epoch %d", subject, h, from, epoch)
	}
	d.holderByEpoch[epoch] = from
	d.actions = append(d.actions, action{sim.now, from})
	other := false
	for _, a := range slices.Backward(d.actions) {
		switch {
		case sim.now-a.at > fuzzTurn:
			return
		case a.host != from:
			other = true
		case other:
			sim.t.Fatalf("%s: %s acts again after %s, although another daemon has acted in between", subject, from, sim.now-a.at)
		}
	}
}

// count records that runs have started, and reports each of them to a daemon by
// a RunCounted event.
func (sim *directSimulation) count(n *directNode, runs int) {
	for range runs {
		sim.startedRuns[sim.wall().UnixNano()/int64(fuzzWindow)]++
		sim.step(n, msg.RunCounted{Account: "acme", Wall: sim.wall()})
	}
}

// restart stops a daemon in order and starts it again.
func (sim *directSimulation) restart(n *directNode) {
	sim.step(n, msg.StopRequested{})
	sim.advance(3 * time.Second)
	sim.startProcess(n)
}

// TestDutiesWithReportsHeldUp guards against a report that is held up in a partition and passes
// after one of the next holder: something between has acknowledged it, so that its sender
// can't recall it.
func TestDutiesWithReportsHeldUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		sim.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { sim.t = t; sim.advance(sim.duration(t)) },
			"hold up": func(t *rapid.T) { sim.t = t; sim.holdUpFor = sim.duration(t) + 6*time.Second },
			"kill":    func(t *rapid.T) { sim.t = t; sim.startProcess(sim.pick(t)) },
			"stop":    func(t *rapid.T) { sim.t = t; sim.restart(sim.pick(t)) },
			"count":   func(t *rapid.T) { sim.t = t; sim.count(sim.pick(t), rapid.IntRange(1, 9).Draw(t, "runs")) },
		})
	})
}

// TestDutiesWithOrdersHeldUp guards against the same for orders to engines.
func TestDutiesWithOrdersHeldUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { sim.t = t; sim.advance(sim.duration(t)) },
			"hold up": func(t *rapid.T) { sim.t = t; sim.holdOrdersFor = sim.duration(t) + 6*time.Second },
			"kill":    func(t *rapid.T) { sim.t = t; sim.startProcess(sim.pick(t)) },
			"stop":    func(t *rapid.T) { sim.t = t; sim.restart(sim.pick(t)) },
		})
	})
}

// TestDutiesUnderAnyFault kills and pauses daemons, cuts them off from the
// store, loses its responses and makes it continue from an older copy, at any time.
func TestDutiesUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		sim.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass":   func(t *rapid.T) { sim.t = t; sim.advance(sim.duration(t)) },
			"kill":   func(t *rapid.T) { sim.t = t; sim.startProcess(sim.pick(t)) },
			"pause":  func(t *rapid.T) { sim.t = t; sim.pick(t).pausedUntil = sim.now + sim.duration(t) },
			"cut":    func(t *rapid.T) { sim.t = t; sim.pick(t).cutUntil = sim.now + sim.duration(t) },
			"mute":   func(t *rapid.T) { sim.t = t; sim.pick(t).responsesLostUntil = sim.now + sim.duration(t) },
			"stop":   func(t *rapid.T) { sim.t = t; sim.restart(sim.pick(t)) },
			"count":  func(t *rapid.T) { sim.t = t; sim.count(sim.pick(t), rapid.IntRange(1, 9).Draw(t, "runs")) },
			"rewind": func(t *rapid.T) { sim.t = t; sim.rewind(rapid.IntRange(0, 6).Draw(t, "age")) },
		})
	})
}

// TestDutiesWithoutFaults checks that, without faults, every run is reported
// and the engines get their roles.
func TestDutiesWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newDirectSimulation(t)
		for range 30 {
			sim.count(sim.pick(t), rapid.IntRange(0, 5).Draw(t, "runs"))
			sim.advance(time.Second)
		}
		sim.advance(15 * time.Second)
		for window, startedRuns := range sim.startedRuns {
			var sum int64
			for _, n := range sim.usage[window] {
				sum += n
			}
			if sum != startedRuns {
				t.Fatalf("window %d: %d of %d runs were reported", window, sum, startedRuns)
			}
		}
		decoding := 0
		for _, e := range sim.engines {
			if e.Role == msg.RoleDecode {
				decoding++
			}
		}
		if decoding != 4 {
			t.Fatalf("%d of %d engines decode", decoding, len(sim.engines))
		}
	})
}
