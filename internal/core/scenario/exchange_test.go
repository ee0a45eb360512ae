package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/config"
	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

// sharer shares a demand of one for one pool, and as many accounts as told.
type sharer struct{ accounts int }

// Step implements a reducer's part.
func (s sharer) Step(_ msg.Time, ev msg.Event) []msg.Effect {
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

func shareWorld(seed uint64, hosts, domains, accounts int) *world {
	return newWorld(seed, entryHosts(hosts, domains), func(n *node) []reducer.Component {
		return append(configParts(n), sharer{accounts})
	})
}

// shared is the last state of a section that a node was told.
func (n *node) shared(s msg.Section) (msg.AggregateReceived, bool) {
	for i := len(n.seen) - 1; i >= 0; i-- {
		if st, ok := n.seen[i].ev.(msg.AggregateReceived); ok && st.Section == s {
			return st, true
		}
	}
	return msg.AggregateReceived{}, false
}

// counted reports whether every running node counts this many others.
func (w *world) counted(others func(n *node) int) bool {
	for _, n := range w.order {
		if n.dead {
			continue
		}
		st, _ := n.shared(msg.SectionDemand)
		if st.Hosts != others(n) {
			return false
		}
	}
	return true
}

func TestSumsCountEveryOtherDaemonOnce(t *testing.T) {
	for _, hosts := range []int{2, 5, 40, 150} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			w := shareWorld(1, hosts, 4, 0)
			w.run(25 * time.Second)
			is.True(w.counted(func(*node) int { return hosts - 1 }))
			for _, n := range w.order {
				st, _ := n.shared(msg.SectionDemand)
				is.Equal(st.Value.Entries[0].Values, []float32{float32(hosts - 1), 2 * float32(hosts-1)})
				is.True(st.Age > 0 && st.Age < 25*time.Second)
			}
		})
	}
}

func TestLastContributorsEndIsTold(t *testing.T) {
	is := is.New(t)
	w := shareWorld(1, 2, 1, 0)
	w.run(10 * time.Second)
	is.True(w.counted(func(*node) int { return 1 }))
	w.order[0].kill()
	w.run(15 * time.Second)
	st, _ := w.order[1].shared(msg.SectionDemand)
	is.Equal(st.Hosts, 0)
	is.Equal(len(st.Value.Entries), 0)
}

func TestLargestEntriesAreKept(t *testing.T) {
	is := is.New(t)
	w := shareWorld(2, 20, 4, 300)
	w.run(20 * time.Second)
	st, ok := w.order[0].shared(msg.SectionServedTokens)
	is.True(ok)
	is.Equal(len(st.Value.Entries), 32)
	is.Equal(st.Value.Entries[0].Key, "account-0268")
	is.Equal(st.Value.Entries[31].Values[0], float32(19*299))
}

// Inner daemons of the tree die, one after the other, with the store out: no
// daemon's confirmation lapses, and the sums recover.
func TestSilentParentsAreReplaced(t *testing.T) {
	is := is.New(t)
	w := shareWorld(3, 60, 4, 0)
	w.run(5 * time.Second)
	w.mustApply(t, w.order[0], 0, manifestOf(3, 0))
	w.run(3 * time.Second)
	w.store.down = true
	dead := 0
	for _, h := range exchange.Roots(w.hosts)[:3] {
		w.nodes[h.Host].kill()
		dead++
		for range 40 {
			w.run(100 * time.Millisecond)
			is.True(w.everywhere(1))
		}
	}
	for i := 0; i < len(w.order) && dead < 15; i += 4 {
		if w.order[i].dead || isRoot(w, w.order[i]) {
			continue // a majority of the electorate must live
		}
		w.order[i].kill()
		dead++
		for range 20 {
			w.run(100 * time.Millisecond)
			is.True(w.everywhere(1))
		}
	}
	w.run(30 * time.Second)
	for range 12 {
		is.True(w.counted(func(*node) int { return 59 - dead }))
		w.run(time.Second)
	}
}

func isRoot(w *world, n *node) bool {
	for _, h := range exchange.Roots(w.hosts) {
		if h.Host == n.host.Host {
			return true
		}
	}
	return false
}

// Two regions lose each other; the platform is in one of them. Each side's
// sums count its own, and only the side with the platform or the majority of
// the electorate goes on with keyed requests.
func TestRegionsPart(t *testing.T) {
	is := is.New(t)
	w := shareWorld(4, 40, 4, 0)
	w.run(5 * time.Second)
	w.mustApply(t, w.order[0], 0, manifestOf(3, 0))
	w.run(20 * time.Second)
	inner := map[msg.HostID]bool{platformHost: true}
	for _, h := range w.hosts {
		inner[h.Host] = h.Region == "r0"
	}
	inner[platformHost] = true
	w.cut = func(from, to msg.HostID) bool { return inner[from] != inner[to] }
	majorityOutside := 0
	for _, h := range exchange.Roots(w.hosts) {
		if h.Region == "r1" {
			majorityOutside++
		}
	}
	w.run(config.FreshFor)
	for range 100 {
		w.run(time.Second)
		for _, n := range w.order {
			is.Equal(n.fresh(), n.host.Region == "r0" || majorityOutside > len(exchange.Roots(w.hosts))/2)
		}
	}
	is.True(w.counted(func(*node) int { return 19 }))
	w.cut = func(_, _ msg.HostID) bool { return false }
	w.run(30 * time.Second)
	is.True(w.everywhere(1))
	is.True(w.counted(func(*node) int { return 39 }))
}

func TestOneWayCutLosesNoConfirmation(t *testing.T) {
	is := is.New(t)
	w := shareWorld(5, 40, 4, 0)
	w.run(5 * time.Second)
	w.mustApply(t, w.order[0], 0, manifestOf(3, 0))
	w.run(3 * time.Second)
	victim := exchange.Roots(w.hosts)[0].Host
	w.cut = func(from, _ msg.HostID) bool { return from == victim }
	for range 100 {
		w.run(100 * time.Millisecond)
		for _, n := range w.order {
			is.True(n.fresh() || n.host.Host == victim)
		}
	}
}

func TestMessagesOfADaemonDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	most := func(hosts int) int {
		w := shareWorld(6, hosts, 4, 0)
		w.run(5 * time.Second)
		w.mustApply(t, w.order[0], 0, manifestOf(3, 0))
		w.run(3 * time.Second)
		w.meters = true
		w.run(10 * time.Second)
		n := 0
		for _, o := range w.order {
			n = max(n, o.sentMsgs)
		}
		return n
	}
	is.True(most(200) <= most(40)*3/2)
}
