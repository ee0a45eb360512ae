package scenario

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

// Tests that under random faults, with competing candidates, lost responses,
// pauses and network cuts, no two nodes hold the lease at once and the epoch
// never decreases.
func TestNeverTwoHoldersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := leaseSimulation(100+seed, 5, 3, poolLease)
			sim.store.responseLossRate = 0.2
			var highest msg.Epoch
			for range 60 {
				injectFault(sim)
				for range 100 {
					sim.run(tick)
					holders := sim.holders(poolLease)
					if len(holders) > 1 {
						t.Fatalf("%v: two holders", sim.now)
					}
					if len(holders) == 0 {
						continue
					}
					epoch := epochOf(holders[0], poolLease)
					if epoch < highest {
						t.Fatalf("%v: epoch %d after %d", sim.now, epoch, highest)
					}
					highest = epoch
				}
			}
			if highest < 2 {
				t.Fatal("the lease never changed its holder under the faults")
			}
		})
	}
}

// worker writes under the lease at each tick while it is held. It stands for a
// component that acts under a lease, as the fleet component sends orders. The
// platform does not check the epochs of these writes.
type worker struct {
	held  msg.LeaseChanged
	calls uint64
}

const workKind msg.Kind = "work"

// Step implements reducer.Component.
func (k *worker) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.LeaseChanged:
		k.held = ev
	case msg.Tick:
		if !k.held.Held || now >= k.held.Until {
			return nil
		}
		k.calls++
		return []msg.Effect{msg.PutObject{
			Call: msg.CallID(1<<60 | k.calls), Kind: workKind, Value: []byte(fmt.Sprint(k.held.Epoch)), NotAfter: k.held.Until,
		}}
	}
	return nil
}

// Tests that calls under a lease which are delayed by nearly the call deadline
// still arrive before the first calls of the successor.
func TestLateCallsArriveBeforeThoseOfSuccessor(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(300+seed, entryHosts(5, 3), func(n *node) []reducer.Component {
				return append(leaseComponents(lease.Config{}, poolLease)(n), &worker{})
			})
			sim.store.extraLatency = func(n *node, eff msg.Effect) time.Duration {
				if put, ok := eff.(msg.PutObject); ok && put.Kind == workKind {
					return lease.DefaultCallDeadline - 2*platformLatency
				}
				return 0
			}
			var highest int
			sim.store.onPut = func(eff msg.PutObject) {
				if eff.Kind != workKind {
					return
				}
				epoch, err := strconv.Atoi(string(eff.Value))
				if err != nil || epoch < highest {
					t.Fatalf("%v: epoch %d after %d", sim.now, epoch, highest)
				}
				highest = epoch
			}
			for range 40 {
				holders := sim.holders(poolLease)
				if len(holders) == 1 {
					disruptHolder(sim, holders[0])
				}
				sim.run(time.Duration(sim.rand.Int64N(int64(12 * time.Second))))
				sim.cut = func(_, _ msg.HostID) bool { return false }
				for _, n := range sim.allNodes {
					n.resume()
				}
				sim.run(time.Duration(sim.rand.Int64N(int64(4 * time.Second))))
			}
			if highest < 5 {
				t.Fatal("the lease rarely changed its holder under the faults")
			}
		})
	}
}

// disruptHolder pauses the holder, cuts it off, or stops and restarts it.
func disruptHolder(sim *simulation, n *node) {
	switch sim.rand.IntN(3) {
	case 0:
		n.pause()
	case 1:
		victim := n.host.Host
		sim.cut = func(from, to msg.HostID) bool { return to == victim && from == platformHost }
	case 2:
		n.deliver(msg.StopRequested{})
		sim.run(10 * time.Millisecond)
		n.kill()
		sim.start(n.host, n.incarnation+1)
	}
}

// injectFault changes one fault at random.
func injectFault(sim *simulation) {
	n := sim.allNodes[sim.rand.IntN(len(sim.allNodes))]
	switch sim.rand.IntN(6) {
	case 0:
		n.pause()
	case 1, 2:
		n.resume()
	case 3:
		victim := n.host.Host
		oneWay := sim.rand.IntN(2) == 0
		sim.cut = func(from, to msg.HostID) bool { return to == victim || !oneWay && from == victim }
	case 4:
		sim.cut = func(_, _ msg.HostID) bool { return false }
	case 5:
		sim.store.latency = time.Duration(sim.rand.Int64N(int64(3 * time.Second)))
	}
}
