package platformpoll

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

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
