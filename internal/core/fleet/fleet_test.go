package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// testManifest has one pool with the given numbers of dedicated roles.
func testManifest(version string, roles manifest.RolePolicy) *manifest.Manifest {
	return &manifest.Manifest{
		Models: []manifest.Model{{Name: "m", Version: version}},
		Pools: []manifest.Pool{{
			Name: testPool, Kind: manifest.PoolEngines, Model: "m", Roles: roles,
			Rollout: manifest.Rollout{MaxUnavailable: 2},
			Shape: []manifest.DomainShape{
				{FailureDomain: "d0", Min: 2, Max: 4},
				{FailureDomain: "d1", Min: 2, Max: 4},
			},
		}},
		Routes: []manifest.Route{{Name: "chat", Pool: testPool, Access: manifest.AccessPublic}},
	}
}

func mixedRoles() manifest.RolePolicy { return manifest.RolePolicy{Mode: manifest.RolesMixed} }

func fixedRoles(prefill, decode int) manifest.RolePolicy {
	return manifest.RolePolicy{Mode: manifest.RolesFixed, Prefill: prefill, Decode: decode}
}

// started returns a world whose first entry holds the lease and whose fresh
// gates take orders.
func started(m *manifest.Manifest) *world {
	w := newWorld(1, m, 6, 2)
	w.run(11 * time.Second)
	w.grant(0)
	return w
}

func (w *world) count(r msg.Role) int {
	n := 0
	for _, s := range w.sides {
		if s.report.Role == r {
			n++
		}
	}
	return n
}

func (w *world) onVersion(v string) int {
	n := 0
	for _, s := range w.sides {
		if holds(s.report, "m", v) {
			n++
		}
	}
	return n
}

func TestFixedRolesAreReached(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", fixedRoles(2, 3)))
	w.run(time.Minute)
	is.Equal(w.count(msg.RolePrefill), 2)
	is.Equal(w.count(msg.RoleDecode), 3)
	is.Equal(w.count(msg.RoleMixed), 1)
	is.Equal(len(w.record().Orders), 0)
	is.Equal(w.violations, nil)
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, testManifest("1", fixedRoles(2, 3)), 6, 2)
	w.run(time.Minute)
	is.Equal(w.count(msg.RoleMixed), 6)
}

func TestNothingIsOrderedThatCanNotBeRecorded(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", mixedRoles()))
	w.run(5 * time.Second)
	for _, e := range w.entries {
		w.configure(e, testManifest("1", fixedRoles(2, 3)))
	}
	w.platformDown = true
	w.run(time.Minute)
	is.Equal(w.count(msg.RoleMixed), 6)
	w.platformDown = false
	w.run(time.Minute)
	is.Equal(w.count(msg.RolePrefill), 2)
}

func TestSuccessorTakesOverMidway(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", fixedRoles(2, 3)))
	w.run(2 * time.Second)
	open := w.record().Orders
	is.True(len(open) > 0)
	w.entries[0].paused = true
	w.takeOver()
	w.run(200 * time.Millisecond)
	for _, o := range w.record().Orders {
		is.Equal(o.Order.Epoch, w.epoch)
	}
	w.run(time.Minute)
	w.entries[0].paused = false
	w.run(time.Minute)
	is.Equal(w.count(msg.RolePrefill), 2)
	is.Equal(w.count(msg.RoleDecode), 3)
	is.Equal(w.violations, nil)
	changes := 0
	for _, s := range w.sides {
		changes += s.roles
	}
	is.Equal(changes, 5) // the open orders were carried on, not given twice
}

func TestRecordOfANewerEpochIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", fixedRoles(2, 3)))
	w.run(time.Minute)
	late := w.entries[1]
	w.step(late, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: 0, Until: w.now + time.Hour})
	w.run(10 * time.Second)
	is.Equal(late.ctl.pools[testPool].authority.record, nil)
	is.Equal(w.record().Epoch, w.epoch)
}

func TestCrashPartwayConverges(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", fixedRoles(2, 3)))
	for _, s := range w.sides {
		s.failAt = 1
	}
	w.run(3 * time.Minute)
	is.Equal(w.count(msg.RolePrefill), 2)
	is.Equal(w.count(msg.RoleDecode), 3)
	is.Equal(w.violations, nil)
}

func TestOperatorDrain(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", mixedRoles()))
	w.run(5 * time.Second)
	e := w.entries[1] // the wish may reach any entry
	w.step(e, msg.DrainRequested{Call: 1, Author: "op", Target: "t03"})
	w.run(10 * time.Second)
	is.Equal(e.drained, []msg.AnswerDrainRequest{{Call: 1, Status: msg.CallOK}})
	is.Equal(w.side("t03").agent.Status(w.now).Phase, "draining")
	w.takeOver()
	w.run(10 * time.Second)
	is.Equal(w.side("t03").agent.Status(w.now).Phase, "draining")
	w.step(e, msg.DrainRequested{Call: 2, Author: "op", Target: "t03", Undo: true})
	w.run(10 * time.Second)
	is.Equal(w.side("t03").agent.Status(w.now).Phase, "serving")
	is.Equal(len(e.drained), 2)
}

func TestDrainOutlivesTheSideDaemon(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", mixedRoles()))
	w.step(w.entries[0], msg.DrainRequested{Call: 1, Target: "t03"})
	w.run(10 * time.Second)
	w.startSide(w.side("t03"))
	w.run(10 * time.Second)
	is.Equal(w.side("t03").agent.Status(w.now).Phase, "draining")
}

func TestLeavingHostIsDrained(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", mixedRoles()))
	w.step(w.entries[0], msg.MembersChanged{Leaving: []msg.HostID{"h-t02"}})
	w.run(10 * time.Second)
	is.Equal(w.side("t02").agent.Status(w.now).Phase, "draining")
}

func TestRolloutKeepsItsBound(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("2", mixedRoles()))
	w.changeTime = 8 * time.Second
	out := 0
	for w.onVersion("2") < 6 && w.now < 5*time.Minute {
		w.run(100 * time.Millisecond)
		busy := 0
		for _, s := range w.sides {
			if s.busy != nil {
				busy++
			}
		}
		out = max(out, busy)
	}
	is.Equal(w.onVersion("2"), 6)
	is.Equal(out, 2)
}

func TestFailingRolloutHaltsAndANewVersionGoesOn(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("2", mixedRoles()))
	for _, s := range w.sides {
		s.failAt = 100
	}
	w.run(3 * time.Minute)
	is.True(w.record().Halt != nil)
	is.Equal(w.onVersion("1"), 6)
	for _, s := range w.sides {
		s.failAt = 0
	}
	w.run(time.Minute)
	is.Equal(w.onVersion("1"), 6) // halted for good
	for _, e := range w.entries {
		w.configure(e, testManifest("3", mixedRoles()))
	}
	w.run(3 * time.Minute)
	is.Equal(w.onVersion("3"), 6)
	is.True(w.record().Halt == nil)
}

func TestTargetsAreOrderedPerDomainOnce(t *testing.T) {
	is := is.New(t)
	m := testManifest("1", mixedRoles())
	for i := range m.Pools[0].Shape {
		m.Pools[0].Shape[i].Min = 5
		m.Pools[0].Shape[i].Max = 6
	}
	w := started(m)
	w.lose = 0.5
	w.run(2 * time.Minute)
	domains := map[msg.FailureDomain]int{}
	for _, l := range w.listed {
		domains[l.Domain]++
	}
	is.Equal(domains, map[msg.FailureDomain]int{"d0": 2, "d1": 2}) // three each report already
}

func TestWithdrawnTargetIsReplacedAndDrained(t *testing.T) {
	is := is.New(t)
	m := testManifest("1", mixedRoles())
	for i := range m.Pools[0].Shape {
		m.Pools[0].Shape[i].Min = 3
	}
	w := started(m)
	for _, s := range w.sides {
		w.listed = append(w.listed, msg.ProvisionedTarget{Target: s.id, Domain: s.domain, Ready: true})
	}
	w.run(10 * time.Second)
	is.Equal(len(w.ordered), 0)
	w.listed[1].Leaving = true
	w.run(20 * time.Second)
	is.Equal(len(w.ordered), 1)
	is.Equal(w.ordered[0].Domain, msg.FailureDomain("d1"))
	is.Equal(w.side("t01").agent.Status(w.now).Phase, "draining")
}

func TestSilentTargetIsReplacedUnlessItsDomainIsCutOff(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprint(whole), func(t *testing.T) {
			is := is.New(t)
			m := testManifest("1", mixedRoles())
			for i := range m.Pools[0].Shape {
				m.Pools[0].Shape[i].Min = 3
			}
			w := started(m)
			for _, s := range w.sides {
				w.listed = append(w.listed, msg.ProvisionedTarget{Target: s.id, Domain: s.domain, Ready: true})
			}
			w.run(time.Minute)
			for _, s := range w.sides {
				s.lost = s.id == "t01" || (whole && s.domain == "d1")
			}
			w.run(3 * time.Minute)
			is.Equal(len(w.withdrawn) == 1, !whole)
			is.Equal(len(w.ordered) == 1, !whole)
		})
	}
}

func TestServicePoolIsDrainedAndKeepsNoRoles(t *testing.T) {
	is := is.New(t)
	m := testManifest("2", fixedRoles(2, 3))
	m.Pools[0].Kind = manifest.PoolService
	m.Pools[0].Model = ""
	w := started(m)
	w.step(w.entries[0], msg.DrainRequested{Call: 1, Target: "t02"})
	w.run(time.Minute)
	is.Equal(w.side("t02").agent.Status(w.now).Phase, "draining")
	is.Equal(w.count(msg.RoleMixed), 6)
	is.Equal(w.onVersion("1"), 6)
}

func TestOnlyDrainedTargetsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", mixedRoles()))
	for i, s := range w.sides {
		w.listed = append(w.listed, msg.ProvisionedTarget{Target: s.id, Domain: w.sides[i].domain, Ready: true})
	}
	// One long attempt that must not move keeps its target from being drained.
	w.run(surplusFactor*defaultLeadTime - 10*time.Second)
	for _, s := range w.sides {
		w.stepSide(s, msg.AttemptOffered{From: "e0", Spec: msg.AttemptSpec{Attempt: "a-" + msg.AttemptID(s.id)}})
	}
	w.run(time.Minute)
	is.Equal(len(w.record().Retiring), 1)
	is.Equal(len(w.withdrawn), 0)
	id := w.record().Retiring[0]
	w.stepSide(w.side(id), msg.SideAttemptEnded{Attempt: "a-" + msg.AttemptID(id)})
	w.run(30 * time.Second)
	is.Equal(len(w.withdrawn), 1)
	is.Equal(w.withdrawn[0].Target, id)
}

func TestPlannerFollowsDemand(t *testing.T) {
	is := is.New(t)
	w := started(testManifest("1", manifest.RolePolicy{}))
	for range 90 {
		for i := range 20 {
			w.step(w.entries[0], msg.RequestArrived{
				Req: msg.RequestID(string(rune('a' + i))), Model: "chat", PromptTokens: 4000, MaxTokens: 60,
			})
		}
		w.run(time.Second)
	}
	plan, ok := w.active().Plan(w.now, testPool)
	is.True(ok)
	is.True(plan.Demand.Mean.Prefill > 3)
	is.True(w.count(msg.RolePrefill) >= 2)
	is.Equal(w.violations, nil)
}
