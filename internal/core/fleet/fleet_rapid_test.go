package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// checkRecord fails when a target is under two open orders.
func checkRecord(t *rapid.T, w *world) {
	for _, e := range w.entries {
		rec := e.ctl.pools[testPool].authority.record
		if rec == nil {
			continue
		}
		seen := map[msg.TargetID]bool{}
		for _, o := range rec.Orders {
			if seen[o.Target] {
				t.Fatalf("%s is under two orders: %+v", o.Target, rec.Orders)
			}
			seen[o.Target] = true
		}
	}
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
}

func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), testManifest("1", fixedRoles(2, 3)), 6, 2)
		w.run(11 * time.Second)
		w.grant(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkRecord(t, w) },
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"take over": func(*rapid.T) { w.takeOver() },
			"pause": func(t *rapid.T) {
				w.entries[rapid.IntRange(0, 1).Draw(t, "entry")].paused = rapid.Bool().Draw(t, "paused")
			},
			"crash": func(t *rapid.T) { w.crash(w.sides[rapid.IntRange(0, 5).Draw(t, "side")]) },
			"fail":  func(t *rapid.T) { w.sides[rapid.IntRange(0, 5).Draw(t, "side")].failAt = 1 },
			"restart side": func(t *rapid.T) {
				s := w.sides[rapid.IntRange(0, 5).Draw(t, "side")]
				if s.busy == nil { // the fixed port keeps a successor out while the predecessor's order runs
					w.startSide(s)
				}
			},
			"loss":     func(t *rapid.T) { w.lose = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "share") },
			"platform": func(t *rapid.T) { w.platformDown = rapid.Bool().Draw(t, "down") },
			"operator": func(t *rapid.T) {
				w.wishDrain(rapid.Bool().Draw(t, "undo"))
			},
			"roles": func(t *rapid.T) {
				m := testManifest(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), fixedRoles(rapid.IntRange(0, 4).Draw(t, "prefill"), 2))
				for _, e := range w.entries {
					w.configure(e, m)
				}
			},
		})
		w.settle(t)
	})
}

func (w *world) wishDrain(undo bool) {
	w.operatorCall++
	w.step(w.entries[0], msg.DrainRequested{Call: w.operatorCall, Target: "t05", Undo: undo})
}

func (w *world) settled() bool {
	rolesDone := w.count(msg.RolePrefill) == 2 && w.count(msg.RoleDecode) == 3
	return rolesDone && w.onVersion("9") == 6 && len(w.record().Orders) == 0
}

// settle ends the faults and checks that the fleet reaches what is wanted.
func (w *world) settle(t *rapid.T) {
	w.lose, w.platformDown = 0, false
	for _, e := range w.entries {
		e.paused = false
	}
	for _, s := range w.sides {
		s.failAt = 0
	}
	w.run(40 * time.Second) // unsettled writes end
	w.wishDrain(true)
	m := testManifest("9", manifest.RolePolicy{Mode: manifest.RolesFixed, Prefill: 2, Decode: 3})
	for _, e := range w.entries {
		w.configure(e, m)
	}
	w.takeOver()
	for end := w.now + 12*time.Minute; w.now < end && !w.settled(); {
		w.run(5 * time.Second)
		checkRecord(t, w)
	}
	if w.settled() {
		return
	}
	if p, d := w.count(msg.RolePrefill), w.count(msg.RoleDecode); p != 2 || d != 3 {
		t.Fatalf("roles %d/%d, record %+v", p, d, w.record())
	}
	if n := w.onVersion("9"); n != 6 {
		t.Fatalf("%d targets on the version, record %+v", n, w.record())
	}
	if len(w.record().Orders) != 0 {
		t.Fatalf("open orders %+v", w.record().Orders)
	}
}
