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

func partOf(h msg.Host) *Component {
	p := New(Config{Self: msg.Self{Host: h.Host, Domain: h.Domain, Kind: h.Kind}})
	p.Step(0, msg.Started{Seed: 1})
	return p
}

// list answers the part's open read.
func (p *Component) list(now msg.Time, hosts []msg.Host) []msg.Effect {
	return p.Step(now, msg.HostsListed{Call: p.call, Hosts: hosts})
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

func connected(p *Component) map[msg.HostID]bool {
	out := make(map[msg.HostID]bool)
	for h := range p.connect {
		out[h] = true
	}
	return out
}

func TestHostsAreSortedByWhatTheyAre(t *testing.T) {
	is := is.New(t)
	list := hosts(3, 2)
	list[1].State = msg.HostLeaving
	list[4].State = msg.HostLeaving
	p := partOf(list[0])
	m := raised(p.list(0, list))
	is.Equal(len(m.Entries), 2) // a leaving entry takes no duty
	is.Equal(len(m.Targets), 2)
	is.Equal(m.Leaving, []msg.HostID{"e001", "t001"})
	is.Equal(len(connected(p)), 3)

	p.read(0)
	is.Equal(raised(p.list(0, list)), nil) // nothing new
	p.read(0)
	effs := p.list(0, list[:1])
	is.Equal(len(connected(p)), 0)
	is.True(raised(effs) != nil)
}

func TestFailedReadKeepsTheList(t *testing.T) {
	is := is.New(t)
	p := partOf(hosts(1, 0)[0])
	p.list(0, hosts(3, 0))
	p.read(0)
	effs := p.Step(0, msg.HostsListed{Call: p.call, Status: msg.CallUnavailable})
	is.Equal(len(effs), 0)
	is.Equal(len(p.hosts), 3)
	is.True(p.readAt <= 2*retryInterval)
}

func TestNewsLeadsToOneRead(t *testing.T) {
	is := is.New(t)
	list := hosts(40, 0)
	var p *Component
	for _, h := range list {
		p = partOf(h)
		p.list(0, list)
		if !p.reader {
			break
		}
	}
	is.True(!p.reader)
	is.True(p.readAt >= slowInterval/2)
	p.Step(time.Second, msg.PeerHostsReported{Digest: p.digest})
	is.True(p.readAt >= slowInterval/2) // its own list is no news
	p.Step(time.Second, msg.PeerHostsReported{Digest: 12345})
	is.True(p.readAt <= time.Second+newsDelay)
	p.read(2 * time.Second)
	p.list(2*time.Second, list)
	p.Step(3*time.Second, msg.PeerHostsReported{Digest: 12345})
	is.True(p.readAt >= 2*time.Second+slowInterval/2) // the same news again
}

// Every host can be reached on demand, and a new address is told.
func TestOtherHostsAreLocated(t *testing.T) {
	is := is.New(t)
	list := hosts(60, 50)
	for i := range list {
		list[i].Addr = "10.0.0.1"
	}
	p := partOf(list[0])
	reachable := make(map[msg.HostID]bool)
	for _, eff := range p.list(0, list) {
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
	p.read(0)
	again := 0
	for _, eff := range p.list(0, list) {
		switch eff := eff.(type) {
		case msg.Connect:
			again++
		case msg.SetHostAddr:
			again++
		case msg.Disconnect:
			t.Fatalf("%s is dropped", eff.Host)
		}
	}
	is.Equal(again, len(list)-1)
}

func TestConnectionsOfALargeFleet(t *testing.T) {
	is := is.New(t)
	list := hosts(100, 150)
	perTarget := make(map[msg.HostID]int)
	peers := make(map[msg.HostID]map[msg.HostID]bool)
	for _, h := range list[:100] {
		p := partOf(h)
		p.list(0, list)
		entries, targets := 0, 0
		peers[h.Host] = connected(p)
		for c := range peers[h.Host] {
			if c[0] == 't' {
				targets++
				perTarget[c]++
			} else {
				entries++
			}
		}
		is.True(entries <= 12)
		is.True(targets <= 2*targetsPerEntry)
	}
	is.Equal(len(perTarget), 150)
	for _, n := range perTarget {
		is.True(n >= entriesPerTarget)
	}
	for a, of := range peers {
		for b := range of {
			if b[0] == 'e' {
				is.True(peers[b][a]) // neighbours agree on it
			}
		}
	}
}
