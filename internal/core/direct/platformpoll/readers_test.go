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

// The number of reads does not grow with the number of daemons, and changes are in
// force everywhere in time.
func TestReadsDoNotGrowWithFleet(t *testing.T) {
	readsPerSecond := make(map[int]float64)
	listsPerSecond := make(map[int]float64)
	for _, n := range []int{30, 103, 390} {
		f := newFleet(t, n)
		f.reads, f.listReads = 0, 0
		f.advance(10 * time.Second)
		readsPerSecond[n] = float64(f.reads) / 10
		listsPerSecond[n] = float64(f.listReads) / 10
		f.table = &msg.RouteTable{Version: 6}
		f.list = twoTargets[:1]
		f.revision++
		f.advance(testBound - 100*time.Millisecond)
		f.is.True(f.inForce())
	}
	is := is.New(t)
	is.True(readsPerSecond[390] <= 1.5*readsPerSecond[30])
	is.True(readsPerSecond[390] < 2*maxReaders) // Three readers, at 0.6 of the interval.
	is.True(listsPerSecond[390] <= 1.5*listsPerSecond[30])
	is.True(listsPerSecond[390] < 2*maxReaders)
}

func TestReadersAreInDifferentDomains(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 30)
	domains := make(map[msg.FailureDomain]bool)
	for _, h := range f.readers() {
		domains[h.Domain] = true
	}
	is.Equal(len(domains), maxReaders)
	is.Equal(len(chooseReaders([]msg.Host{{Host: "a", Domain: "x"}, {Host: "b", Domain: "x"}})), 2)
}

// When all readers fall silent, or lose the platform, the others read it themselves, and
// their knowledge never gets older than the bound.
func TestDaemonsReadThemselvesWithoutReaders(t *testing.T) {
	for name, set := range map[string]func(*fleet) map[msg.HostID]bool{
		"silent": func(f *fleet) map[msg.HostID]bool { return f.silent },
		"cut":    func(f *fleet) map[msg.HostID]bool { return f.cut },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 30)
			for _, h := range f.readers() {
				set(f)[h.Host] = true
			}
			host := f.follower()
			for range 50 {
				f.advance(100 * time.Millisecond)
				f.is.True(f.now-f.confirmed[host] < testBound)
			}
			f.table = &msg.RouteTable{Version: 6}
			f.advance(testBound)
			f.is.Equal(f.version[host], uint64(6))
		})
	}
}

// A daemon that can't reach the platform itself hears from the readers that nothing has
// changed. Once something has, its knowledge is no longer confirmed until it has received
// the change from another daemon.
func TestCutDaemonIsConfirmedUntilChange(t *testing.T) {
	f := newFleet(t, 30)
	host := f.follower()
	f.cut[host] = true
	f.advance(10 * time.Second)
	f.is.True(f.now-f.confirmed[host] < testBound)
	f.table = &msg.RouteTable{Version: 6}
	f.list = twoTargets[:1]
	f.revision++
	changedAt := f.now
	for f.now < changedAt+testBound {
		f.advance(50 * time.Millisecond)
		f.is.True(f.confirmed[host] <= changedAt || f.version[host] == 6)
	}
	f.is.Equal(f.version[host], uint64(6))
	f.is.Equal(f.targets[host], 1)
	f.is.True(f.now-f.confirmed[host] < testBound)
}

// The age in a reply counts back from the instant at which the question left. However
// late a reply arrives, it confirms nothing that is newer.
func TestAgeCountsFromQuestion(t *testing.T) {
	f := newFleet(t, 30)
	host := f.follower()
	c := f.components[host]
	f.silent = map[msg.HostID]bool{}
	for _, h := range f.hosts {
		f.silent[h.Host] = h.Host != host
	}
	f.cut[host] = true
	f.advance(3 * time.Second)
	before := f.confirmed[host]
	c.readers.nextAsk = 0
	f.step(host, msg.Tick{})
	seq, askedAt := c.readers.lastSeq, f.now
	f.now += 4 * time.Second // The reply is delayed, or this daemon was suspended.
	const age = 300 * time.Millisecond
	f.step(host, msg.PeerReceived{Message: msg.CatalogReply{Seq: seq, ConfigVersion: 5, ConfigAge: age}})
	f.is.True(before < askedAt-age)
	f.is.Equal(f.confirmed[host], askedAt-age)

	// What this daemon tells others is as old.
	f.queue = nil
	f.step(host, msg.PeerReceived{From: "other", Message: msg.CatalogQuery{Seq: 1}})
	told, ok := f.queue[0].ev.(msg.PeerReceived)
	f.is.True(ok)
	reply, ok := told.Message.(msg.CatalogReply)
	f.is.True(ok)
	f.is.Equal(reply.ConfigAge, f.now-(askedAt-age))
}

// A reply without a question, or for a question of long ago, has no effect.
func TestUnaskedReplyIsIgnored(t *testing.T) {
	f := newFleet(t, 30)
	host := f.follower()
	c := f.components[host]
	before := f.confirmed[host]
	f.step(host, msg.PeerReceived{Message: msg.CatalogReply{Seq: c.readers.lastSeq + 1, ConfigVersion: 5}})
	f.is.Equal(f.confirmed[host], before)
}

// No daemon returns to an older configuration, whatever a reader that was restarted or
// paused still knows.
func TestOlderReaderChangesNothing(t *testing.T) {
	f := newFleet(t, 30)
	readers := f.readers()
	f.silent[readers[0].Host] = true // This reader is suspended with version 5.
	f.table = &msg.RouteTable{Version: 6}
	f.list = twoTargets[:1]
	f.revision++
	f.advance(testBound)
	f.silent[readers[0].Host] = false
	host := f.follower()
	for range 50 {
		f.advance(20 * time.Millisecond)
		f.is.Equal(f.version[host], uint64(6))
		f.is.Equal(f.targets[host], 1)
		f.is.True(f.now-f.confirmed[host] < testBound)
	}
	f.is.True(f.inForce())
}

// A target whose registration has expired in an outage has time to register again at each
// daemon, whoever reads the list first afterwards.
func TestFollowersKeepTargetsAfterOutage(t *testing.T) {
	f := newFleet(t, 30)
	for _, h := range f.hosts {
		f.cut[h.Host] = true
	}
	f.advance(4 * time.Second)
	clear(f.cut)
	f.list = twoTargets[:1]
	f.revision++
	f.advance(1200 * time.Millisecond)
	for _, h := range f.hosts {
		f.is.Equal(f.targets[h.Host], 2)
	}
	f.advance(3 * time.Second)
	f.is.True(f.inForce())
}

// A reader that can't reach the platform knows an old list, which neither confirms a list
// nor takes its place.
func TestOldListOfReaderDoesNotCount(t *testing.T) {
	f := newFleet(t, 30)
	f.cut[f.readers()[0].Host] = true
	f.list = twoTargets[:1]
	f.revision++
	f.advance(testBound)
	for _, h := range f.hosts {
		if !f.cut[h.Host] {
			f.is.Equal(f.targets[h.Host], 1)
		}
	}
	f.listReads = 0
	f.advance(10 * time.Second)
	f.is.True(f.listReads < 100) // The old list of one reader makes nobody read all the time.
}

// A follower whose own read has failed, while readers go on reading, does not take that for
// an outage: a target that then leaves is removed in time.
func TestFailedReadOfFollowerIsNoOutage(t *testing.T) {
	f := newFleet(t, 30)
	host := f.follower()
	c := f.components[host]
	f.cut[host] = true
	c.targetPoll.next = 0
	f.advance(300 * time.Millisecond)
	f.is.True(c.targetPoll.failing)
	delete(f.cut, host)
	f.advance(3 * time.Second)
	f.list = twoTargets[:1]
	f.revision++
	f.advance(testBound)
	f.is.True(f.inForce())
}
