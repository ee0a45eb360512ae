package scenario

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

const poolLease msg.LeaseName = "pool/chat"

// wanter wants leases from the start.
type wanter struct{ names []msg.LeaseName }

// Step implements a reducer's part.
func (w wanter) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if _, ok := ev.(msg.Started); !ok {
		return nil
	}
	var effs []msg.Effect
	for _, name := range w.names {
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: name, Want: true}})
	}
	return effs
}

func leaseParts(cfg lease.Config, names ...msg.LeaseName) func(n *node) []reducer.Component {
	return func(n *node) []reducer.Component {
		c := cfg
		c.Self = n.host.Host
		c.Incarnation = n.inc()
		return []reducer.Component{lease.New(c), membership.New(membership.Config{Self: n.self()}), wanter{names}}
	}
}

func leaseWorld(seed uint64, hosts, domains int, names ...msg.LeaseName) *world {
	return newWorld(seed, entryHosts(hosts, domains), leaseParts(lease.Config{}, names...))
}

// settle runs until exactly one node holds the lease.
func settle(t *testing.T, w *world, name msg.LeaseName) *node {
	t.Helper()
	_, ok := w.until(time.Minute, func() bool { return len(w.holders(name)) == 1 })
	if !ok {
		t.Fatal("nobody acquired the lease")
	}
	return w.holders(name)[0]
}

// epochOf is the epoch under which a node holds a lease.
func epochOf(n *node, name msg.LeaseName) msg.Epoch {
	c, _ := n.lease(name)
	return c.Epoch
}

// neverTwo fails the test when two nodes hold the lease at once, and returns
// the time until a node other than the old one holds it.
func neverTwo(t *testing.T, w *world, name msg.LeaseName, old *node, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := w.until(limit, func() bool {
		holders := w.holders(name)
		if len(holders) > 1 {
			t.Fatalf("%s and %s hold the lease at once", holders[0].host.Host, holders[1].host.Host)
		}
		return len(holders) == 1 && holders[0] != old
	})
	if !ok {
		t.Fatalf("nobody took the lease over within %v", limit)
	}
	return took
}

// shortest and longest bound a takeover after an unplanned loss: the whole
// length and the call deadline, less the age of the last renewal; and besides
// an interval of observation and the ranks' delays.
const (
	shortest = lease.DefaultLength + lease.DefaultCallDeadline - lease.DefaultRenew - time.Second
	longest  = lease.DefaultLength + lease.DefaultCallDeadline + 2*lease.DefaultObserve + time.Second
)

func TestKilledHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(1, 6, 3, poolLease)
	old := settle(t, w, poolLease)
	w.run(20 * time.Second)
	is.True(old.holds(poolLease)) // it keeps renewing
	epoch := epochOf(old, poolLease)
	old.kill()
	took := neverTwo(t, w, poolLease, old, longest)
	is.True(took >= shortest)
	is.True(epochOf(w.holders(poolLease)[0], poolLease) > epoch)
}

func TestPausedHolderDropsItsAuthorityFirst(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(2, 6, 3, poolLease)
	old := settle(t, w, poolLease)
	w.run(5 * time.Second)
	old.pause()
	w.run(lease.DefaultMargin + tick)
	is.True(old.holds(poolLease)) // by its own clock there was time left
	old.resume()
	w.run(tick)
	c, _ := old.lease(poolLease)
	is.True(!c.Held || c.Epoch > 1) // a later authority carries a new epoch

	before := epochOf(settle(t, w, poolLease), poolLease)
	holder := settle(t, w, poolLease)
	holder.pause()
	neverTwo(t, w, poolLease, holder, longest)
	holder.resume()
	w.run(30 * time.Second)
	is.Equal(len(w.holders(poolLease)), 1)
	is.True(epochOf(w.holders(poolLease)[0], poolLease) > before)
}

func TestRenewalUnderWayDoesNotRestoreDroppedAuthority(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(2, 6, 3, poolLease)
	w.store.slow = lease.DefaultRenew - 100*time.Millisecond // a renewal is nearly always under way
	old := settle(t, w, poolLease)
	w.run(5 * time.Second)
	epoch := epochOf(old, poolLease)
	old.pause()
	w.run(lease.DefaultMargin + 2*tick)
	old.resume()
	w.run(time.Millisecond)
	is.True(!old.holds(poolLease))
	for range 500 {
		w.run(tick)
		is.True(!old.holds(poolLease) || epochOf(old, poolLease) > epoch)
	}
}

func TestCutHolderStopsBeforeItsSuccessorStarts(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprintf("one way %v", oneWay), func(t *testing.T) {
			w := leaseWorld(3, 6, 3, poolLease)
			old := settle(t, w, poolLease)
			w.run(5 * time.Second)
			w.cut = func(from, to msg.HostID) bool {
				return to == old.host.Host || !oneWay && from == old.host.Host
			}
			if oneWay {
				// Its renewals reach the platform, whose answers are lost:
				// it can't know, must stop, and keeps others out until it
				// gives up writing.
				longEnough := longest + lease.DefaultLength
				neverTwo(t, w, poolLease, old, longEnough)
				return
			}
			neverTwo(t, w, poolLease, old, longest)
		})
	}
}

func TestLostAnswersAreSettled(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(4, 6, 3, poolLease)
	old := settle(t, w, poolLease)
	epoch := epochOf(old, poolLease)
	for range 5 {
		w.store.loseNext = 1
		w.run(7 * time.Second)
		is.Equal(len(w.holders(poolLease)), 1)
	}
	is.True(old.holds(poolLease)) // one lost answer costs no lease
	is.Equal(epochOf(old, poolLease), epoch)
}

func TestStoreOutageEndsAuthorityAndItComesBack(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(5, 6, 3, poolLease)
	settle(t, w, poolLease)
	w.store.down = true
	w.run(lease.DefaultLength)
	is.Equal(len(w.holders(poolLease)), 0)
	w.run(time.Hour)
	is.Equal(len(w.holders(poolLease)), 0)
	w.store.down = false
	_, ok := w.until(longest, func() bool { return len(w.holders(poolLease)) == 1 })
	is.True(ok)
}

func TestPlannedStopHandsOverPromptly(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(6, 6, 3, poolLease)
	old := settle(t, w, poolLease)
	w.run(5 * time.Second)
	old.deliver(msg.StopRequested{})
	is.True(!old.holds(poolLease)) // authority ends before anybody is told
	took := neverTwo(t, w, poolLease, old, time.Minute)
	is.True(took >= lease.DefaultCallDeadline)
	is.True(took < lease.DefaultCallDeadline+2*time.Second)
}

func TestRestartedHolderWaitsLikeAnyOther(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(7, 1, 1, poolLease)
	old := settle(t, w, poolLease)
	old.kill()
	again := w.start(old.host, 1)
	took := neverTwo(t, w, poolLease, old, time.Minute)
	is.True(took >= lease.DefaultLength+lease.DefaultCallDeadline)
	is.True(epochOf(again, poolLease) > epochOf(old, poolLease))
}

func TestAllCandidatesLostIsNoticedByOthers(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(8, 12, 3, poolLease)
	settle(t, w, poolLease)
	w.run(3 * time.Minute) // surveys have begun
	killed := 0
	for _, n := range w.order {
		if c := candidateOf(n); c {
			n.kill()
			killed++
		}
	}
	is.Equal(killed, 3)
	_, ok := w.until(4*lease.DefaultSurvey, func() bool { return len(w.holders(poolLease)) == 1 })
	is.True(ok)
}

func TestOnlyTheHolderWrites(t *testing.T) {
	is := is.New(t)
	w := leaseWorld(8, 12, 3, poolLease)
	settle(t, w, poolLease)
	w.run(time.Minute)
	w.store.writes = 0
	w.run(5 * time.Minute)
	renewals := int(5 * time.Minute / lease.DefaultRenew)
	is.True(w.store.writes <= renewals)
}

func candidateOf(n *node) bool {
	for _, s := range n.parts[0].(*lease.Component).Status(n.clock()).Leases {
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
	w := leaseWorld(9, 16, 4, names...)
	w.run(20 * time.Second)
	most := 0
	held := 0
	for _, n := range w.order {
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
	is.True(most <= 12) // four are the mean
}

// Racing challengers, lost answers, pauses and cuts at random: never two
// holders, and the epochs only grow.
func TestNeverTwoHoldersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := leaseWorld(100+seed, 5, 3, poolLease)
			w.store.loseShare = 0.2
			var highest msg.Epoch
			for range 60 {
				disturb(w)
				for range 100 {
					w.run(tick)
					holders := w.holders(poolLease)
					if len(holders) > 1 {
						t.Fatalf("%v: two holders", w.now)
					}
					if len(holders) == 0 {
						continue
					}
					epoch := epochOf(holders[0], poolLease)
					if epoch < highest {
						t.Fatalf("%v: epoch %d after %d", w.now, epoch, highest)
					}
					highest = epoch
				}
			}
			if highest < 2 {
				t.Fatal("the faults never moved the lease")
			}
		})
	}
}

// worker writes under the lease at each tick while it is held, as the fleet
// part orders targets. The platform does not check its epochs.
type worker struct {
	held  msg.LeaseChanged
	calls uint64
}

const workKind msg.Kind = "work"

// Step implements a reducer's part.
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

// Calls under a lease that are held up on their way for nearly the call
// deadline still arrive before the first ones of a successor.
func TestLateCallsArriveBeforeTheSuccessors(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(300+seed, entryHosts(5, 3), func(n *node) []reducer.Component {
				return append(leaseParts(lease.Config{}, poolLease)(n), &worker{})
			})
			w.store.slowFor = func(n *node, eff msg.Effect) time.Duration {
				if put, ok := eff.(msg.PutObject); ok && put.Kind == workKind {
					return lease.DefaultCallDeadline - 2*platformLatency
				}
				return 0
			}
			var highest int
			w.store.onPut = func(eff msg.PutObject) {
				if eff.Kind != workKind {
					return
				}
				epoch, err := strconv.Atoi(string(eff.Value))
				if err != nil || epoch < highest {
					t.Fatalf("%v: epoch %d after %d", w.now, epoch, highest)
				}
				highest = epoch
			}
			for range 40 {
				holders := w.holders(poolLease)
				if len(holders) == 1 {
					upset(w, holders[0])
				}
				w.run(time.Duration(w.rand.Int64N(int64(12 * time.Second))))
				w.cut = func(_, _ msg.HostID) bool { return false }
				for _, n := range w.order {
					n.resume()
				}
				w.run(time.Duration(w.rand.Int64N(int64(4 * time.Second))))
			}
			if highest < 5 {
				t.Fatal("the faults hardly moved the lease")
			}
		})
	}
}

// upset pauses, cuts off or stops-and-restarts the holder.
func upset(w *world, n *node) {
	switch w.rand.IntN(3) {
	case 0:
		n.pause()
	case 1:
		victim := n.host.Host
		w.cut = func(from, to msg.HostID) bool { return to == victim && from == platformHost }
	case 2:
		n.deliver(msg.StopRequested{})
		w.run(10 * time.Millisecond)
		n.kill()
		w.start(n.host, n.incarnation+1)
	}
}

// disturb changes one fault at random.
func disturb(w *world) {
	n := w.order[w.rand.IntN(len(w.order))]
	switch w.rand.IntN(6) {
	case 0:
		n.pause()
	case 1, 2:
		n.resume()
	case 3:
		victim := n.host.Host
		oneWay := w.rand.IntN(2) == 0
		w.cut = func(from, to msg.HostID) bool { return to == victim || !oneWay && from == victim }
	case 4:
		w.cut = func(_, _ msg.HostID) bool { return false }
	case 5:
		w.store.slow = time.Duration(w.rand.Int64N(int64(3 * time.Second)))
	}
}
