package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/config"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

// statePublisher publishes a demand of one for one pool, and numbers of served
// tokens for a number of accounts.
type statePublisher struct{ accounts int }

// Step implements reducer.Component.
func (s statePublisher) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if _, ok := ev.(msg.Started); !ok {
		return nil
	}
	demand := msg.SectionValue{Entries: []msg.SectionEntry{{Key: "p", Values: []float32{1, 2}}}}
	var service msg.SectionValue
	for i := range s.accounts {
		service.Entries = append(service.Entries, msg.SectionEntry{Key: fmt.Sprintf("account-%04d", i), Values: []float32{float32(i)}})
	}
	effs := []msg.Effect{msg.Raise{Event: msg.PublishState{Section: msg.SectionDemand, Value: demand}}}
	if s.accounts > 0 {
		effs = append(effs, msg.Raise{Event: msg.PublishState{Section: msg.SectionServedTokens, Value: service}})
	}
	return effs
}

func aggregateSimulation(seed uint64, hosts, domains, accounts int) *simulation {
	return newSimulation(seed, entryHosts(hosts, domains), func(n *node) []reducer.Component {
		return append(configComponents(n), statePublisher{accounts})
	})
}

// lastAggregate returns the last aggregate of a section that the node received.
func (n *node) lastAggregate(s msg.Section) (msg.AggregateReceived, bool) {
	for i := len(n.recorded) - 1; i >= 0; i-- {
		if st, ok := n.recorded[i].ev.(msg.AggregateReceived); ok && st.Section == s {
			return st, true
		}
	}
	return msg.AggregateReceived{}, false
}

// allReceivedFrom reports whether every running node's aggregate of demand has
// contributions from the expected number of other nodes.
func (sim *simulation) allReceivedFrom(others func(n *node) int) bool {
	for _, n := range sim.allNodes {
		if n.dead {
			continue
		}
		st, _ := n.lastAggregate(msg.SectionDemand)
		if st.Hosts != others(n) {
			return false
		}
	}
	return true
}

func TestAggregatesCountEveryOtherDaemonOnce(t *testing.T) {
	for _, hosts := range []int{2, 5, 40, 150} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			sim := aggregateSimulation(1, hosts, 4, 0)
			sim.run(25 * time.Second)
			is.True(sim.allReceivedFrom(func(*node) int { return hosts - 1 }))
			for _, n := range sim.allNodes {
				st, _ := n.lastAggregate(msg.SectionDemand)
				is.Equal(st.Value.Entries[0].Values, []float32{float32(hosts - 1), 2 * float32(hosts-1)})
				is.True(st.Age > 0 && st.Age < 25*time.Second)
			}
		})
	}
}

func TestEmptyAggregateIsRaisedAfterLastContribution(t *testing.T) {
	is := is.New(t)
	sim := aggregateSimulation(1, 2, 1, 0)
	sim.run(10 * time.Second)
	is.True(sim.allReceivedFrom(func(*node) int { return 1 }))
	sim.allNodes[0].kill()
	sim.run(15 * time.Second)
	st, _ := sim.allNodes[1].lastAggregate(msg.SectionDemand)
	is.Equal(st.Hosts, 0)
	is.Equal(len(st.Value.Entries), 0)
}

func TestLargestEntriesAreKept(t *testing.T) {
	is := is.New(t)
	sim := aggregateSimulation(2, 20, 4, 300)
	sim.run(20 * time.Second)
	st, ok := sim.allNodes[0].lastAggregate(msg.SectionServedTokens)
	is.True(ok)
	is.Equal(len(st.Value.Entries), 32)
	is.Equal(st.Value.Entries[0].Key, "account-0268")
	is.Equal(st.Value.Entries[31].Values[0], float32(19*299))
}

// Tests that no daemon's confirmation expires while inner daemons of the tree
// die one after the other during an outage of the store, and that the aggregates
// are complete again afterwards.
func TestUnresponsiveParentsAreReplaced(t *testing.T) {
	is := is.New(t)
	sim := aggregateSimulation(3, 60, 4, 0)
	sim.run(5 * time.Second)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.run(3 * time.Second)
	sim.store.down = true
	dead := 0
	for _, h := range exchange.Roots(sim.hosts)[:3] {
		sim.nodes[h.Host].kill()
		dead++
		for range 40 {
			sim.run(100 * time.Millisecond)
			is.True(sim.allConfirmed(1))
		}
	}
	for i := 0; i < len(sim.allNodes) && dead < 15; i += 4 {
		if sim.allNodes[i].dead || isRoot(sim, sim.allNodes[i]) {
			continue // A majority of the voter set must keep running.
		}
		sim.allNodes[i].kill()
		dead++
		for range 20 {
			sim.run(100 * time.Millisecond)
			is.True(sim.allConfirmed(1))
		}
	}
	sim.run(30 * time.Second)
	for range 12 {
		is.True(sim.allReceivedFrom(func(*node) int { return 59 - dead }))
		sim.run(time.Second)
	}
}

func isRoot(sim *simulation, n *node) bool {
	for _, h := range exchange.Roots(sim.hosts) {
		if h.Host == n.host.Host {
			return true
		}
	}
	return false
}

// Tests a network partition between two regions, one of which contains the
// platform. The aggregates in each region count its own daemons. Only the
// region with the platform, or one with a majority of the voter set, goes on
// with requests that have an API key.
func TestPartitionedRegions(t *testing.T) {
	is := is.New(t)
	sim := aggregateSimulation(4, 40, 4, 0)
	sim.run(5 * time.Second)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.run(20 * time.Second)
	inner := map[msg.HostID]bool{platformHost: true}
	for _, h := range sim.hosts {
		inner[h.Host] = h.Region == "r0"
	}
	inner[platformHost] = true
	sim.cut = func(from, to msg.HostID) bool { return inner[from] != inner[to] }
	rootsOutside := 0
	for _, h := range exchange.Roots(sim.hosts) {
		if h.Region == "r1" {
			rootsOutside++
		}
	}
	sim.run(config.FreshFor)
	for range 100 {
		sim.run(time.Second)
		for _, n := range sim.allNodes {
			is.Equal(n.fresh(), n.host.Region == "r0" || rootsOutside > len(exchange.Roots(sim.hosts))/2)
		}
	}
	is.True(sim.allReceivedFrom(func(*node) int { return 19 }))
	sim.cut = func(_, _ msg.HostID) bool { return false }
	sim.run(30 * time.Second)
	is.True(sim.allConfirmed(1))
	is.True(sim.allReceivedFrom(func(*node) int { return 39 }))
}

func TestOneWayCutKeepsConfirmation(t *testing.T) {
	is := is.New(t)
	sim := aggregateSimulation(5, 40, 4, 0)
	sim.run(5 * time.Second)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.run(3 * time.Second)
	victim := exchange.Roots(sim.hosts)[0].Host
	sim.cut = func(from, _ msg.HostID) bool { return from == victim }
	for range 100 {
		sim.run(100 * time.Millisecond)
		for _, n := range sim.allNodes {
			is.True(n.fresh() || n.host.Host == victim)
		}
	}
}

func TestMessagesPerDaemonDoNotGrowWithFleet(t *testing.T) {
	is := is.New(t)
	most := func(hosts int) int {
		sim := aggregateSimulation(6, hosts, 4, 0)
		sim.run(5 * time.Second)
		sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
		sim.run(3 * time.Second)
		sim.measureTraffic = true
		sim.run(10 * time.Second)
		n := 0
		for _, o := range sim.allNodes {
			n = max(n, o.sentMsgs)
		}
		return n
	}
	is.True(most(200) <= most(40)*3/2)
}
