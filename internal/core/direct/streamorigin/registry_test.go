package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// net is a set of registries whose messages arrive at once, unless their sender or
// receiver is down.
type net struct {
	registries map[msg.HostID]*Registry
	hosts      []msg.Host
	down       map[msg.HostID]bool
}

func newNet(n int) *net {
	net := &net{registries: make(map[msg.HostID]*Registry), down: make(map[msg.HostID]bool)}
	for i := range n {
		net.hosts = append(net.hosts, msg.Host{Host: msg.HostID(fmt.Sprintf("e%03d", i)), Domain: msg.FailureDomain(fmt.Sprint(i % 3))})
	}
	for _, h := range net.hosts {
		net.restart(h.Host)
	}
	return net
}

func (n *net) restart(id msg.HostID) {
	r := New()
	n.registries[id] = r
	r.Step(0, msg.Started{Self: msg.Self{Host: id}})
	r.Step(0, msg.MembersChanged{Entries: n.hosts})
}

func (n *net) deliver(now msg.Time, from msg.HostID, effects []msg.Effect) {
	for _, eff := range effects {
		s, ok := eff.(msg.SendPeer)
		if ok && !n.down[from] && !n.down[s.To] {
			n.deliver(now, s.To, n.registries[s.To].Step(now, msg.PeerReceived{From: from, Message: s.Message}))
		}
	}
}

// find asks an entry until the search ends.
func (n *net) find(now msg.Time, id msg.HostID, stream uint64) (string, State) {
	for {
		version, state, effects := n.registries[id].Find(now, stream)
		n.deliver(now, id, effects)
		if state != Pending {
			return version, state
		}
		now += msg.TickInterval
		n.deliver(now, id, n.registries[id].Step(now, msg.Tick{}))
	}
}

// The entry at which a stream began and two more may be gone when it is resumed.
func TestOriginIsFoundAfterLossOfThreeEntries(t *testing.T) {
	for _, size := range []int{4, 26, 390} {
		is := is.New(t)
		n := newNet(size)
		const first = "e000"
		for stream := range uint64(200) {
			clear(n.down)
			n.deliver(0, first, n.registries[first].Record(0, stream, "v1"))
			n.down[first] = true
			for _, id := range n.registries[first].keepers(stream)[1:] {
				n.down[id] = true
			}
			for _, h := range n.hosts[:min(size, 10)] {
				if n.down[h.Host] {
					continue
				}
				version, state := n.find(0, h.Host, stream)
				is.Equal(state, Known)
				is.Equal(version, "v1")
			}
		}
	}
}

func TestSearchEndsWithoutOrigin(t *testing.T) {
	is := is.New(t)
	n := newNet(4)
	_, state := n.find(0, "e001", 7)
	is.Equal(state, Unknown)
	n.down["e000"], n.down["e002"], n.down["e003"] = true, true, true
	_, state = n.find(time.Second, "e001", 8)
	is.Equal(state, Unknown)
}

func TestOriginsExpire(t *testing.T) {
	is := is.New(t)
	n := newNet(1)
	r := n.registries["e000"]
	r.Record(0, 7, "v1")
	r.Step(retention, msg.Tick{})
	is.Equal(len(r.origins)+len(r.recent), 0)
}
