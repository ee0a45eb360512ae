package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestTargetsAreOrderedOncePerDomainDespiteLostAnswers(t *testing.T) {
	is := is.New(t)
	m := testManifest("1", mixedRoles())
	for i := range m.Pools[0].Shape {
		m.Pools[0].Shape[i].Min = 5
		m.Pools[0].Shape[i].Max = 6
	}
	sim := newSimulationWithLease(m)
	sim.lossRate = 0.5
	sim.advance(2 * time.Minute)
	domains := map[msg.FailureDomain]int{}
	for _, l := range sim.listed {
		domains[l.Domain]++
	}
	is.Equal(domains, map[msg.FailureDomain]int{"d0": 2, "d1": 2}) // three targets per domain report already
}

// A request that the platform rejects, because the target of its token was released,
// gives way to one with another token.
func TestRejectedProvisionRequestIsReplaced(t *testing.T) {
	is := is.New(t)
	m := testManifest("1", mixedRoles())
	m.Pools[0].Shape[0].Min = 4
	m.Pools[0].Shape[1].Min = 3
	sim := newSimulationWithLease(m)
	sim.rejectsFirstToken = true
	sim.advance(2 * time.Minute)
	is.Equal(len(sim.listed), 1)
	is.True(len(sim.provisioned) > 1)
}

func TestTargetLeavingThePlatformIsReplacedAndDrained(t *testing.T) {
	is := is.New(t)
	m := testManifest("1", mixedRoles())
	for i := range m.Pools[0].Shape {
		m.Pools[0].Shape[i].Min = 3
	}
	sim := newSimulationWithLease(m)
	for _, s := range sim.sides {
		sim.listed = append(sim.listed, msg.ProvisionedTarget{Target: s.id, Domain: s.domain, Ready: true})
	}
	sim.advance(10 * time.Second)
	is.Equal(len(sim.provisioned), 0)
	sim.listed[1].Leaving = true
	sim.advance(20 * time.Second)
	is.Equal(len(sim.provisioned), 1)
	is.Equal(sim.provisioned[0].Domain, msg.FailureDomain("d1"))
	is.Equal(sim.side("t01").agent.Status(sim.now).Phase, "draining")
}

func TestSilentTargetIsReplacedUnlessWholeDomainIsCutOff(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprint(whole), func(t *testing.T) {
			is := is.New(t)
			m := testManifest("1", mixedRoles())
			for i := range m.Pools[0].Shape {
				m.Pools[0].Shape[i].Min = 3
			}
			sim := newSimulationWithLease(m)
			for _, s := range sim.sides {
				sim.listed = append(sim.listed, msg.ProvisionedTarget{Target: s.id, Domain: s.domain, Ready: true})
			}
			sim.advance(time.Minute)
			for _, s := range sim.sides {
				s.cutOff = s.id == "t01" || (whole && s.domain == "d1")
			}
			sim.advance(3 * time.Minute)
			is.Equal(len(sim.released) == 1, !whole)
			is.Equal(len(sim.provisioned) == 1, !whole)
		})
	}
}

func TestOnlyDrainedTargetsAreReleased(t *testing.T) {
	is := is.New(t)
	sim := newSimulationWithLease(testManifest("1", mixedRoles()))
	for i, s := range sim.sides {
		sim.listed = append(sim.listed, msg.ProvisionedTarget{Target: s.id, Domain: sim.sides[i].domain, Ready: true})
	}
	// On each target, one long attempt that must not be moved prevents the drain
	// from completing.
	sim.advance(surplusFactor*defaultLeadTime - 10*time.Second)
	for _, s := range sim.sides {
		sim.stepSide(s, msg.AttemptOffered{From: "e0", Spec: msg.AttemptSpec{Attempt: "a-" + msg.AttemptID(s.id)}})
	}
	sim.advance(time.Minute)
	is.Equal(len(sim.record().Retiring), 1)
	is.Equal(len(sim.released), 0)
	id := sim.record().Retiring[0]
	sim.stepSide(sim.side(id), msg.SideAttemptEnded{Attempt: "a-" + msg.AttemptID(id)})
	sim.advance(30 * time.Second)
	is.Equal(len(sim.released), 1)
	is.Equal(sim.released[0].Target, id)
}
