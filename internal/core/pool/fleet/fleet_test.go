package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// testManifest returns a manifest with one pool that has the given version and
// role policy.
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

// newSimulationWithLease returns a simulation in which the first entry daemon
// holds the lease. It waits for 11 seconds before that, so that the newly
// started target agents accept orders.
func newSimulationWithLease(m *manifest.Manifest) *simulation {
	sim := newSimulation(1, m, 6, 2)
	sim.advance(11 * time.Second)
	sim.grantLease(0)
	return sim
}

func (sim *simulation) countRole(r msg.Role) int {
	n := 0
	for _, s := range sim.sides {
		if s.report.Role == r {
			n++
		}
	}
	return n
}

func (sim *simulation) countVersion(v string) int {
	n := 0
	for _, s := range sim.sides {
		if hasModel(s.report, "m", v) {
			n++
		}
	}
	return n
}

func TestControllerReachesFixedRoles(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RolePrefill), 2)
	is.Equal(sim.countRole(msg.RoleDecode), 3)
	is.Equal(sim.countRole(msg.RoleMixed), 1)
	is.Equal(len(sim.record().Orders), 0)
	is.Equal(sim.violations, nil)
}

func TestNoOrderWithoutLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, testManifest("1", fixedRoles(2, 3)), 6, 2)
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RoleMixed), 6)
}

func TestNoOrderUntilItIsRecorded(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", mixedRoles()))
	sim.advance(5 * time.Second)
	for _, e := range sim.entries {
		sim.configure(e, testManifest("1", fixedRoles(2, 3)))
	}
	sim.platformDown = true
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RoleMixed), 6)
	sim.platformDown = false
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RolePrefill), 2)
}

func TestNewLeaseHolderContinuesOpenOrders(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	sim.advance(2 * time.Second)
	open := sim.record().Orders
	is.True(len(open) > 0)
	sim.entries[0].paused = true
	sim.moveLease()
	sim.advance(200 * time.Millisecond)
	for _, o := range sim.record().Orders {
		is.Equal(o.Order.Epoch, sim.epoch)
	}
	sim.advance(time.Minute)
	sim.entries[0].paused = false
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RolePrefill), 2)
	is.Equal(sim.countRole(msg.RoleDecode), 3)
	is.Equal(sim.violations, nil)
	changes := 0
	for _, s := range sim.sides {
		changes += s.roleChanges
	}
	is.Equal(changes, 5) // the open orders were continued, and none was executed twice
}

// The record is read so late that the lease leaves no time to write it. Once the
// lease is renewed, the controller acts on the pool.
func TestRecordReadNearEndOfLeaseIsReadAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, testManifest("1", fixedRoles(2, 3)), 6, 2)
	sim.advance(11 * time.Second)
	sim.grantLease(0)
	e := sim.entries[0]
	sim.step(e, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: sim.epoch, Until: sim.now + sendMargin + 10*time.Millisecond})
	sim.advance(time.Minute)
	is.Equal(sim.countRole(msg.RolePrefill), 2)
	is.Equal(sim.countRole(msg.RoleDecode), 3)
}

// The planner learns which role an engine had before its last change.
func TestPlannerKnowsPreviousRole(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	sim.advance(time.Minute)
	p := sim.holderController().pools[testPool]
	for _, t := range p.sorted() {
		e := sim.holderController().plannerEngine(sim.now, p, sim.record(), t)
		is.Equal(e.Previous, msg.RoleMixed)
		is.True(e.SinceChange < time.Minute == (e.Role != msg.RoleMixed))
	}
	for _, e := range sim.entries {
		sim.configure(e, testManifest("1", mixedRoles()))
	}
	sim.advance(time.Minute)
	prefilled := 0
	for _, t := range p.sorted() {
		if sim.holderController().plannerEngine(sim.now, p, sim.record(), t).Previous == msg.RolePrefill {
			prefilled++
		}
	}
	is.Equal(prefilled, 2)
}

// An order without a response is sent again after the shortest delay.
func TestFirstResendIsNotDelayedTwice(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	c := sim.holderController()
	p := c.pools[testPool]
	for len(p.authority.deliveries) == 0 {
		sim.advance(100 * time.Millisecond)
	}
	id := slices.Sorted(maps.Keys(p.authority.deliveries))[0]
	rec, d := *sim.record().order(id), p.authority.deliveries[id]
	d.sends = 1
	c.retryOrder(sim.now, p, rec, time.Hour, "no response")
	is.Equal(d.nextSend-sim.now, minResendDelay)
	d.sends = 2
	c.retryOrder(sim.now, p, rec, time.Hour, "no response")
	is.Equal(d.nextSend-sim.now, 2*minResendDelay)
}

func TestRecordOfNewerEpochIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	sim.advance(time.Minute)
	outdated := sim.entries[1]
	sim.step(outdated, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: 0, Until: sim.now + time.Hour})
	sim.advance(10 * time.Second)
	is.Equal(outdated.ctl.pools[testPool].authority.record, nil)
	is.Equal(sim.record().Epoch, sim.epoch)
}

func TestControllerConvergesAfterCrashDuringOrder(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", fixedRoles(2, 3)))
	for _, s := range sim.sides {
		s.crashesLeft = 1
	}
	sim.advance(3 * time.Minute)
	is.Equal(sim.countRole(msg.RolePrefill), 2)
	is.Equal(sim.countRole(msg.RoleDecode), 3)
	is.Equal(sim.violations, nil)
}

func TestOperatorDrain(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", mixedRoles()))
	sim.advance(5 * time.Second)
	e := sim.entries[1] // any entry daemon accepts the request
	sim.step(e, msg.DrainRequested{Call: 1, Author: "op", Target: "t03"})
	sim.advance(10 * time.Second)
	is.Equal(e.drainAnswers, []msg.AnswerDrainRequest{{Call: 1, Status: msg.CallOK}})
	is.Equal(sim.side("t03").agent.Status(sim.now).Phase, "draining")
	sim.moveLease()
	sim.advance(10 * time.Second)
	is.Equal(sim.side("t03").agent.Status(sim.now).Phase, "draining")
	sim.step(e, msg.DrainRequested{Call: 2, Author: "op", Target: "t03", Undo: true})
	sim.advance(10 * time.Second)
	is.Equal(sim.side("t03").agent.Status(sim.now).Phase, "serving")
	is.Equal(len(e.drainAnswers), 2)
}

func TestDrainSurvivesSideDaemonRestart(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", mixedRoles()))
	sim.step(sim.entries[0], msg.DrainRequested{Call: 1, Target: "t03"})
	sim.advance(10 * time.Second)
	sim.startSide(sim.side("t03"))
	sim.advance(10 * time.Second)
	is.Equal(sim.side("t03").agent.Status(sim.now).Phase, "draining")
}

func TestLeavingHostIsDrained(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", mixedRoles()))
	sim.step(sim.entries[0], msg.MembersChanged{Leaving: []msg.HostID{"h-t02"}})
	sim.advance(10 * time.Second)
	is.Equal(sim.side("t02").agent.Status(sim.now).Phase, "draining")
}

func TestRolloutKeepsMaxUnavailable(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("2", mixedRoles()))
	sim.changeTime = 8 * time.Second
	out := 0
	for sim.countVersion("2") < 6 && sim.now < 5*time.Minute {
		sim.advance(100 * time.Millisecond)
		busy := 0
		for _, s := range sim.sides {
			if s.busy != nil {
				busy++
			}
		}
		out = max(out, busy)
	}
	is.Equal(sim.countVersion("2"), 6)
	is.Equal(out, 2)
}

func TestFailingRolloutHaltsUntilNewVersion(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("2", mixedRoles()))
	for _, s := range sim.sides {
		s.crashesLeft = 100
	}
	sim.advance(3 * time.Minute)
	is.True(sim.record().Halt != nil)
	is.Equal(sim.countVersion("1"), 6)
	for _, s := range sim.sides {
		s.crashesLeft = 0
	}
	sim.advance(time.Minute)
	is.Equal(sim.countVersion("1"), 6) // the roll-out stays halted
	for _, e := range sim.entries {
		sim.configure(e, testManifest("3", mixedRoles()))
	}
	sim.advance(3 * time.Minute)
	is.Equal(sim.countVersion("3"), 6)
	is.True(sim.record().Halt == nil)
}

func TestServicePoolIsDrainedButGetsNoRolesOrModels(t *testing.T) {
	is := is.New(t)
	m := testManifest("2", fixedRoles(2, 3))
	m.Pools[0].Kind = manifest.PoolService
	m.Pools[0].Model = ""
	sim := newSimulationWithLease(m)
	sim.step(sim.entries[0], msg.DrainRequested{Call: 1, Target: "t02"})
	sim.advance(time.Minute)
	is.Equal(sim.side("t02").agent.Status(sim.now).Phase, "draining")
	is.Equal(sim.countRole(msg.RoleMixed), 6)
	is.Equal(sim.countVersion("1"), 6)
}

func TestPlannerFollowsDemand(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", manifest.RolePolicy{}))
	for range 90 {
		for i := range 20 {
			sim.step(sim.entries[0], msg.RequestArrived{
				Req: msg.RequestID(string(rune('a' + i))), Model: "chat", PromptTokens: 4000, MaxTokens: 60,
			})
		}
		sim.advance(time.Second)
	}
	plan, ok := sim.holderController().Plan(sim.now, testPool)
	is.True(ok)
	is.True(plan.Demand.Mean.Prefill > 3)
	is.True(sim.countRole(msg.RolePrefill) >= 2)
	is.Equal(sim.violations, nil)
}
