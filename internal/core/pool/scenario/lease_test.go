package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

const poolLease msg.LeaseName = "pool/chat"

// leaseRequester requests leases when it starts.
type leaseRequester struct{ names []msg.LeaseName }

// Step implements reducer.Component.
func (r leaseRequester) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if _, ok := ev.(msg.Started); !ok {
		return nil
	}
	var effs []msg.Effect
	for _, name := range r.names {
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: name, Want: true}})
	}
	return effs
}

func leaseComponents(cfg lease.Config, names ...msg.LeaseName) func(n *node) []reducer.Component {
	return func(n *node) []reducer.Component {
		c := cfg
		c.Self = n.host.Host
		c.Incarnation = n.incarnationID()
		return []reducer.Component{lease.New(c), membership.New(membership.Config{Self: n.self()}), leaseRequester{names}}
	}
}

func leaseSimulation(seed uint64, hosts, domains int, names ...msg.LeaseName) *simulation {
	return newSimulation(seed, entryHosts(hosts, domains), leaseComponents(lease.Config{}, names...))
}

// waitForHolder runs the simulation until exactly one node holds the lease.
func waitForHolder(t *testing.T, sim *simulation, name msg.LeaseName) *node {
	t.Helper()
	_, ok := sim.until(time.Minute, func() bool { return len(sim.holders(name)) == 1 })
	if !ok {
		t.Fatal("no node acquired the lease")
	}
	return sim.holders(name)[0]
}

// epochOf returns the epoch under which a node holds a lease.
func epochOf(n *node, name msg.LeaseName) msg.Epoch {
	c, _ := n.lease(name)
	return c.Epoch
}

// waitForSuccessor runs the simulation until a node other than the old one
// holds the lease, and returns the time that this takes. It fails the test if
// two nodes hold the lease at once.
func waitForSuccessor(t *testing.T, sim *simulation, name msg.LeaseName, old *node, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := sim.until(limit, func() bool {
		holders := sim.holders(name)
		if len(holders) > 1 {
			t.Fatalf("%s and %s hold the lease at once", holders[0].host.Host, holders[1].host.Host)
		}
		return len(holders) == 1 && holders[0] != old
	})
	if !ok {
		t.Fatalf("no other node acquired the lease within %v", limit)
	}
	return took
}

// minTakeover and maxTakeover limit the time of a takeover after an unplanned
// loss of the holder. The minimum is the lease's length plus the call
// deadline, less the largest age of the last renewal. The maximum adds the
// time until a candidate observes the lease, and the delays by rank.
const (
	minTakeover = lease.DefaultLength + lease.DefaultCallDeadline - lease.DefaultRenew - time.Second
	maxTakeover = lease.DefaultLength + lease.DefaultCallDeadline + 2*lease.DefaultObserve + time.Second
)

func TestKilledHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(1, 6, 3, poolLease)
	old := waitForHolder(t, sim, poolLease)
	sim.run(20 * time.Second)
	is.True(old.holds(poolLease)) // The holder keeps renewing.
	epoch := epochOf(old, poolLease)
	old.kill()
	took := waitForSuccessor(t, sim, poolLease, old, maxTakeover)
	is.True(took >= minTakeover)
	is.True(epochOf(sim.holders(poolLease)[0], poolLease) > epoch)
}

func TestResumedHolderLosesAuthorityFirst(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(2, 6, 3, poolLease)
	old := waitForHolder(t, sim, poolLease)
	sim.run(5 * time.Second)
	old.pause()
	sim.run(lease.DefaultMargin + tick)
	is.True(old.holds(poolLease)) // By the clock of the paused process, time is left.
	old.resume()
	sim.run(tick)
	c, _ := old.lease(poolLease)
	is.True(!c.Held || c.Epoch > 1) // If it acquired the lease again, the epoch is new.

	before := epochOf(waitForHolder(t, sim, poolLease), poolLease)
	holder := waitForHolder(t, sim, poolLease)
	holder.pause()
	waitForSuccessor(t, sim, poolLease, holder, maxTakeover)
	holder.resume()
	sim.run(30 * time.Second)
	is.Equal(len(sim.holders(poolLease)), 1)
	is.True(epochOf(sim.holders(poolLease)[0], poolLease) > before)
}

func TestRenewalInFlightDoesNotRestoreLostAuthority(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(2, 6, 3, poolLease)
	sim.store.latency = lease.DefaultRenew - 100*time.Millisecond // A renewal is nearly always in flight.
	old := waitForHolder(t, sim, poolLease)
	sim.run(5 * time.Second)
	epoch := epochOf(old, poolLease)
	old.pause()
	sim.run(lease.DefaultMargin + 2*tick)
	old.resume()
	sim.run(time.Millisecond)
	is.True(!old.holds(poolLease))
	for range 500 {
		sim.run(tick)
		is.True(!old.holds(poolLease) || epochOf(old, poolLease) > epoch)
	}
}

func TestCutOffHolderStopsBeforeSuccessorStarts(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprintf("one way %v", oneWay), func(t *testing.T) {
			sim := leaseSimulation(3, 6, 3, poolLease)
			old := waitForHolder(t, sim, poolLease)
			sim.run(5 * time.Second)
			sim.cut = func(from, to msg.HostID) bool {
				return to == old.host.Host || !oneWay && from == old.host.Host
			}
			if oneWay {
				// Its renewals reach the platform, whose responses are
				// lost. The holder can't determine their outcome and must
				// stop acting. Other nodes can't acquire the lease until it
				// stops writing.
				longEnough := maxTakeover + lease.DefaultLength
				waitForSuccessor(t, sim, poolLease, old, longEnough)
				return
			}
			waitForSuccessor(t, sim, poolLease, old, maxTakeover)
		})
	}
}

func TestLostResponsesAreResolved(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(4, 6, 3, poolLease)
	old := waitForHolder(t, sim, poolLease)
	epoch := epochOf(old, poolLease)
	for range 5 {
		sim.store.lostResponses = 1
		sim.run(7 * time.Second)
		is.Equal(len(sim.holders(poolLease)), 1)
	}
	is.True(old.holds(poolLease)) // One lost response does not end the lease.
	is.Equal(epochOf(old, poolLease), epoch)
}

func TestAuthorityEndsDuringStoreOutageAndReturns(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(5, 6, 3, poolLease)
	waitForHolder(t, sim, poolLease)
	sim.store.down = true
	sim.run(lease.DefaultLength)
	is.Equal(len(sim.holders(poolLease)), 0)
	sim.run(time.Hour)
	is.Equal(len(sim.holders(poolLease)), 0)
	sim.store.down = false
	_, ok := sim.until(maxTakeover, func() bool { return len(sim.holders(poolLease)) == 1 })
	is.True(ok)
}

func TestGracefulStopReleasesLeasePromptly(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(6, 6, 3, poolLease)
	old := waitForHolder(t, sim, poolLease)
	sim.run(5 * time.Second)
	old.deliver(msg.StopRequested{})
	is.True(!old.holds(poolLease)) // The authority ends before the release is sent.
	took := waitForSuccessor(t, sim, poolLease, old, time.Minute)
	is.True(took >= lease.DefaultCallDeadline)
	is.True(took < lease.DefaultCallDeadline+2*time.Second)
}

func TestRestartedHolderWaitsLikeOtherNodes(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(7, 1, 1, poolLease)
	old := waitForHolder(t, sim, poolLease)
	old.kill()
	again := sim.start(old.host, 1)
	took := waitForSuccessor(t, sim, poolLease, old, time.Minute)
	is.True(took >= lease.DefaultLength+lease.DefaultCallDeadline)
	is.True(epochOf(again, poolLease) > epochOf(old, poolLease))
}

func TestLossOfAllCandidatesIsNoticed(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(8, 12, 3, poolLease)
	waitForHolder(t, sim, poolLease)
	sim.run(3 * time.Minute) // The periodic lists of all leases have begun.
	killed := 0
	for _, n := range sim.allNodes {
		if c := isCandidate(n); c {
			n.kill()
			killed++
		}
	}
	is.Equal(killed, 3)
	_, ok := sim.until(4*lease.DefaultSurvey, func() bool { return len(sim.holders(poolLease)) == 1 })
	is.True(ok)
}

func TestOnlyHolderWrites(t *testing.T) {
	is := is.New(t)
	sim := leaseSimulation(8, 12, 3, poolLease)
	waitForHolder(t, sim, poolLease)
	sim.run(time.Minute)
	sim.store.writes = 0
	sim.run(5 * time.Minute)
	renewals := int(5 * time.Minute / lease.DefaultRenew)
	is.True(sim.store.writes <= renewals)
}

func isCandidate(n *node) bool {
	for _, s := range n.components[0].(*lease.Component).Status(n.clock()).Leases {
		if s.Candidate {
			return true
		}
	}
	return false
}

func TestLeasesSpreadOverDaemons(t *testing.T) {
	is := is.New(t)
	var names []msg.LeaseName
	for i := range 64 {
		names = append(names, msg.LeaseName(fmt.Sprintf("usage/%d", i)))
	}
	sim := leaseSimulation(9, 16, 4, names...)
	sim.run(20 * time.Second)
	most := 0
	held := 0
	for _, n := range sim.allNodes {
		mine := 0
		for _, name := range names {
			if n.holds(name) {
				mine++
			}
		}
		held += mine
		most = max(most, mine)
	}
	is.Equal(held, len(names))
	is.True(most <= 12) // The mean is four.
}
