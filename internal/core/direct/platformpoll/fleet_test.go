package platformpoll

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	testInterval = time.Second
	// testBound is the time within which a change must be in force: twice the poll
	// interval.
	testBound = 2 * testInterval
)

// delivery is an event that arrives at a daemon later.
type delivery struct {
	at   msg.Time
	host msg.HostID
	ev   msg.Event
}

// fleet runs the components of many daemons in three failure domains against one
// platform, with delays on the network.
type fleet struct {
	is         *is.I
	now        msg.Time
	hosts      []msg.Host
	components map[msg.HostID]*Component
	// silent daemons neither run nor answer; cut ones can't reach the platform.
	silent, cut map[msg.HostID]bool
	delay       time.Duration
	queue       []delivery
	table       *msg.RouteTable
	era         msg.StoreEra
	list        []msg.Instance
	revision    msg.Revision
	// reads counts the reads of the configuration, and listReads those of the targets.
	reads     int
	listReads int
	// readAt holds when each daemon last read the configuration.
	readAt    map[msg.HostID]msg.Time
	version   map[msg.HostID]uint64
	targets   map[msg.HostID]int
	confirmed map[msg.HostID]msg.Time
	told      map[msg.HostID]msg.EntriesTold
}

func newFleet(t *testing.T, n int) *fleet {
	f := newStartedFleet(t, n)
	f.advance(3 * time.Second)
	return f
}

// newStartedFleet returns a fleet whose daemons have just started and know each other.
func newStartedFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		is: is.New(t), now: time.Minute, components: make(map[msg.HostID]*Component), silent: make(map[msg.HostID]bool), cut: make(map[msg.HostID]bool),
		delay: 2 * time.Millisecond, table: &msg.RouteTable{Version: 5}, list: twoTargets, revision: 1,
		version: make(map[msg.HostID]uint64), targets: make(map[msg.HostID]int), confirmed: make(map[msg.HostID]msg.Time), told: make(map[msg.HostID]msg.EntriesTold),
		readAt: make(map[msg.HostID]msg.Time),
	}
	for i := range n {
		h := msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%03d", i)), Domain: msg.FailureDomain(fmt.Sprint("d", i%3))}
		f.hosts = append(f.hosts, h)
		f.components[h.Host] = New(Config{
			Self: msg.Self{Host: h.Host, Domain: h.Domain}, RoutesInterval: testInterval, InstancesInterval: testInterval,
		})
	}
	for _, h := range f.hosts {
		f.step(h.Host, msg.MembersChanged{Entries: f.hosts, Complete: true})
	}
	return f
}

func (f *fleet) post(host msg.HostID, after time.Duration, ev msg.Event) {
	f.queue = append(f.queue, delivery{f.now + after, host, ev})
}

func (f *fleet) step(host msg.HostID, ev msg.Event) {
	if f.silent[host] {
		return
	}
	for _, eff := range f.components[host].Step(f.now, ev) {
		switch eff := eff.(type) {
		case msg.ReadRoutes:
			f.reads++
			f.readAt[host] = f.now
			read := msg.RoutesRead{Call: eff.Call, Status: msg.CallOK, Sent: f.now, Table: f.table, Era: f.era}
			if f.cut[host] {
				read = msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: f.now}
			}
			f.post(host, 4*time.Millisecond, read)
		case msg.ReadInstances:
			f.listReads++
			read := msg.InstancesRead{Call: eff.Call, Status: msg.CallOK, Sent: f.now, Era: f.era, Revision: f.revision, Instances: f.list}
			if f.cut[host] {
				read = msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: f.now}
			}
			f.post(host, 4*time.Millisecond, read)
		case msg.SendPeer:
			f.post(eff.To, f.delay, msg.PeerReceived{From: host, Message: eff.Message})
		case msg.Raise:
			f.onRaised(host, eff.Event)
		}
	}
}

func (f *fleet) onRaised(host msg.HostID, ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RoutesChanged:
		f.version[host] = ev.Table.Version
	case msg.InstancesChanged:
		f.targets[host] = len(ev.Instances)
	case msg.EntriesTold:
		f.told[host] = ev
	case msg.RoutesConfirmed:
		f.is.True(ev.At <= f.now)
		f.confirmed[host] = ev.At
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += msg.TickInterval
		due := f.queue
		f.queue = nil
		for _, m := range due {
			if m.at > f.now {
				f.queue = append(f.queue, m)
				continue
			}
			f.step(m.host, m.ev)
		}
		for _, h := range f.hosts {
			f.step(h.Host, msg.Tick{})
		}
	}
}

// readers returns the daemons that read the platform for the others.
func (f *fleet) readers() []msg.Host { return chooseReaders(f.hosts) }

// follower returns a daemon that is no reader.
func (f *fleet) follower() msg.HostID {
	for _, h := range f.hosts {
		if !f.components[h.Host].readers.isReader {
			return h.Host
		}
	}
	return ""
}

// inForce reports whether every running daemon has the platform's state.
func (f *fleet) inForce() bool {
	for _, h := range f.hosts {
		if !f.silent[h.Host] && (f.version[h.Host] != f.table.Version || f.targets[h.Host] != len(f.list)) {
			return false
		}
	}
	return true
}
