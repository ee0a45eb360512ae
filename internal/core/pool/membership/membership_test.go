package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func hosts(entries, targets int) []msg.Host {
	var out []msg.Host
	for i := range entries {
		out = append(out, msg.Host{Host: msg.HostID(fmt.Sprintf("e%03d", i)), Domain: msg.FailureDomain(fmt.Sprint(i % 4))})
	}
	for i := range targets {
		out = append(out, msg.Host{Host: msg.HostID(fmt.Sprintf("t%03d", i)), Kind: msg.HostTarget})
	}
	return out
}

func newComponent(h msg.Host) *Component {
	c := New(Config{Self: msg.Self{Host: h.Host, Domain: h.Domain, Kind: h.Kind}})
	c.Step(0, msg.Started{Seed: 1})
	return c
}

// list delivers the result of the component's open read.
func (c *Component) list(now msg.Time, hosts []msg.Host) []msg.Effect {
	return c.Step(now, msg.HostsListed{Call: c.call, Hosts: hosts})
}

func raised(effs []msg.Effect) *msg.MembersChanged {
	for _, eff := range effs {
		if r, ok := eff.(msg.Raise); ok {
			m := r.Event.(msg.MembersChanged)
			return &m
		}
	}
	return nil
}

func connectedHosts(c *Component) map[msg.HostID]bool {
	out := make(map[msg.HostID]bool)
	for h := range c.connected {
		out[h] = true
	}
	return out
}

func TestHostsAreGroupedByKindAndState(t *testing.T) {
	is := is.New(t)
	list := hosts(3, 2)
	list[1].State = msg.HostLeaving
	list[4].State = msg.HostLeaving
	c := newComponent(list[0])
	m := raised(c.list(0, list))
	is.Equal(len(m.Entries), 2) // A leaving entry daemon is not among the live ones.
	is.Equal(len(m.Targets), 2)
	is.Equal(m.Leaving, []msg.HostID{"e001", "t001"})
	is.Equal(len(connectedHosts(c)), 3)

	c.read(0)
	is.Equal(raised(c.list(0, list)), nil) // The list is unchanged.
	c.read(0)
	effs := c.list(0, list[:1])
	is.Equal(len(connectedHosts(c)), 0)
	is.True(raised(effs) != nil)
}

func TestFailedReadKeepsTheList(t *testing.T) {
	is := is.New(t)
	c := newComponent(hosts(1, 0)[0])
	c.list(0, hosts(3, 0))
	c.read(0)
	effs := c.Step(0, msg.HostsListed{Call: c.call, Status: msg.CallUnavailable})
	is.Equal(len(effs), 0)
	is.Equal(len(c.hosts), 3)
	is.True(c.readAt <= 2*retryInterval)
}

func TestReportedDigestCausesOneRead(t *testing.T) {
	is := is.New(t)
	list := hosts(40, 0)
	var c *Component
	for _, h := range list {
		c = newComponent(h)
		c.list(0, list)
		if !c.frequentReader {
			break
		}
	}
	is.True(!c.frequentReader)
	is.True(c.readAt >= slowInterval/2)
	c.Step(time.Second, msg.PeerHostsReported{Digest: c.digest})
	is.True(c.readAt >= slowInterval/2) // The reported list is the known one.
	c.Step(time.Second, msg.PeerHostsReported{Digest: 12345})
	is.True(c.readAt <= time.Second+maxReadDelay)
	c.read(2 * time.Second)
	c.list(2*time.Second, list)
	c.Step(3*time.Second, msg.PeerHostsReported{Digest: 12345})
	is.True(c.readAt >= 2*time.Second+slowInterval/2) // The same digest was reported before.
}

// Tests that every host can be reached on demand, and that a new address is
// passed on to the driver.
func TestAddressesOfOtherHostsAreSet(t *testing.T) {
	is := is.New(t)
	list := hosts(60, 50)
	for i := range list {
		list[i].Addr = "10.0.0.1"
	}
	c := newComponent(list[0])
	reachable := make(map[msg.HostID]bool)
	for _, eff := range c.list(0, list) {
		switch eff := eff.(type) {
		case msg.Connect:
			reachable[eff.Host] = true
		case msg.SetHostAddr:
			reachable[eff.Host] = true
		}
	}
	is.Equal(len(reachable), len(list)-1)
	for i := range list {
		list[i].Addr = "10.0.0.2"
	}
	c.read(0)
	again := 0
	for _, eff := range c.list(0, list) {
		switch eff := eff.(type) {
		case msg.Connect:
			again++
		case msg.SetHostAddr:
			again++
		case msg.Disconnect:
			t.Fatalf("the connection to %s is closed", eff.Host)
		}
	}
	is.Equal(again, len(list)-1)
}

func TestConnectionsInLargeFleet(t *testing.T) {
	is := is.New(t)
	list := hosts(100, 150)
	perTarget := make(map[msg.HostID]int)
	peers := make(map[msg.HostID]map[msg.HostID]bool)
	for _, h := range list[:100] {
		c := newComponent(h)
		c.list(0, list)
		entries, targets := 0, 0
		peers[h.Host] = connectedHosts(c)
		for id := range peers[h.Host] {
			if id[0] == 't' {
				targets++
				perTarget[id]++
			} else {
				entries++
			}
		}
		is.True(entries <= 12)
		is.True(targets <= 2*maxTargetsPerEntry)
	}
	is.Equal(len(perTarget), 150)
	for _, n := range perTarget {
		is.True(n >= minEntriesPerTarget)
	}
	for a, of := range peers {
		for b := range of {
			if b[0] == 'e' {
				is.True(peers[b][a]) // Both ends keep the connection.
			}
		}
	}
}
