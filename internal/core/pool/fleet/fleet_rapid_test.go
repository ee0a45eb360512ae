package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// checkRecord fails the test if a target has two open orders or if the
// simulation recorded a violation.
func checkRecord(t *rapid.T, sim *simulation) {
	for _, e := range sim.entries {
		rec := e.ctl.pools[testPool].authority.record
		if rec == nil {
			continue
		}
		seen := map[msg.TargetID]bool{}
		for _, o := range rec.Orders {
			if seen[o.Target] {
				t.Fatalf("target %s has two open orders: %+v", o.Target, rec.Orders)
			}
			seen[o.Target] = true
		}
	}
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
}

func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), testManifest("1", fixedRoles(2, 3)), 6, 2)
		sim.advance(11 * time.Second)
		sim.grantLease(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkRecord(t, sim) },
			"run": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"take over": func(*rapid.T) { sim.moveLease() },
			"pause": func(t *rapid.T) {
				sim.entries[rapid.IntRange(0, 1).Draw(t, "entry")].paused = rapid.Bool().Draw(t, "paused")
			},
			"crash": func(t *rapid.T) { sim.crash(sim.sides[rapid.IntRange(0, 5).Draw(t, "side")]) },
			"fail":  func(t *rapid.T) { sim.sides[rapid.IntRange(0, 5).Draw(t, "side")].crashesLeft = 1 },
			"restart side": func(t *rapid.T) {
				s := sim.sides[rapid.IntRange(0, 5).Draw(t, "side")]
				if s.busy == nil { // the fixed port prevents a restart while the old process executes an order
					sim.startSide(s)
				}
			},
			"loss":     func(t *rapid.T) { sim.lossRate = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "share") },
			"platform": func(t *rapid.T) { sim.platformDown = rapid.Bool().Draw(t, "down") },
			"operator": func(t *rapid.T) {
				sim.requestDrain(rapid.Bool().Draw(t, "undo"))
			},
			"roles": func(t *rapid.T) {
				m := testManifest(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), fixedRoles(rapid.IntRange(0, 4).Draw(t, "prefill"), 2))
				for _, e := range sim.entries {
					sim.configure(e, m)
				}
			},
		})
		sim.checkConvergence(t)
	})
}

func (sim *simulation) requestDrain(undo bool) {
	sim.operatorCall++
	sim.step(sim.entries[0], msg.DrainRequested{Call: sim.operatorCall, Target: "t05", Undo: undo})
}

func (sim *simulation) converged() bool {
	rolesDone := sim.countRole(msg.RolePrefill) == 2 && sim.countRole(msg.RoleDecode) == 3
	return rolesDone && sim.countVersion("9") == 6 && len(sim.record().Orders) == 0
}

// checkConvergence ends all faults and checks that the pool then reaches the
// wanted roles and model version.
func (sim *simulation) checkConvergence(t *rapid.T) {
	sim.lossRate, sim.platformDown = 0, false
	for _, e := range sim.entries {
		e.paused = false
	}
	for _, s := range sim.sides {
		s.crashesLeft = 0
	}
	sim.advance(40 * time.Second) // writes with an unknown result are settled or given up
	sim.requestDrain(true)
	m := testManifest("9", manifest.RolePolicy{Mode: manifest.RolesFixed, Prefill: 2, Decode: 3})
	for _, e := range sim.entries {
		sim.configure(e, m)
	}
	sim.moveLease()
	for end := sim.now + 12*time.Minute; sim.now < end && !sim.converged(); {
		sim.advance(5 * time.Second)
		checkRecord(t, sim)
	}
	if sim.converged() {
		return
	}
	if p, d := sim.countRole(msg.RolePrefill), sim.countRole(msg.RoleDecode); p != 2 || d != 3 {
		t.Fatalf("roles %d/%d, record %+v", p, d, sim.record())
	}
	if n := sim.countVersion("9"); n != 6 {
		t.Fatalf("%d targets on the version, record %+v", n, sim.record())
	}
	if len(sim.record().Orders) != 0 {
		t.Fatalf("open orders %+v", sim.record().Orders)
	}
}
