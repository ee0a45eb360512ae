package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// contactTime is the time within which all entries have to know a record.
const contactTime = 3 * time.Second

// network runs trackers that exchange messages, of which a part is lost.
type network struct {
	rand     *rand.Rand
	loss     float64
	now      msg.Time
	trackers map[msg.HostID]*Tracker
	hosts    []msg.HostID
	messages int
}

func newNetwork(size int, loss float64) *network {
	n := &network{rand: rand.New(rand.NewPCG(1, uint64(size))), loss: loss, trackers: make(map[msg.HostID]*Tracker)}
	for i := range size {
		n.hosts = append(n.hosts, msg.HostID(fmt.Sprintf("e%03d", i)))
	}
	for _, h := range n.hosts {
		n.start(h)
	}
	return n
}

// start starts the process of a host, which knows the others.
func (n *network) start(h msg.HostID) {
	var entries []msg.Host
	for _, h := range n.hosts {
		entries = append(entries, msg.Host{Host: h})
	}
	t := NewTracker()
	n.trackers[h] = t
	t.Step(n.now, started(h))
	t.Step(n.now, msg.MembersChanged{Entries: entries})
}

// deliver delivers the messages among effects, and those that follow from them.
func (n *network) deliver(from msg.HostID, effects []msg.Effect) {
	for _, eff := range effects {
		s, ok := eff.(msg.SendPeer)
		if !ok {
			continue
		}
		n.messages++
		if n.rand.Float64() >= n.loss {
			n.deliver(s.To, n.trackers[s.To].Step(n.now, msg.PeerReceived{From: from, Message: s.Message}))
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.tick()
	}
}

func (n *network) tick() {
	n.now += msg.TickInterval
	for _, h := range n.hosts {
		n.deliver(h, n.trackers[h].Step(n.now, msg.Tick{Wall: wall.Add(n.now)}))
	}
}

// timeUntilKnown returns the time until all trackers refuse a request.
func (n *network) timeUntilKnown(fingerprint uint64) time.Duration {
	begin := n.now
	for n.now-begin < time.Minute {
		known := 0
		for _, t := range n.trackers {
			if t.CrashCount(fingerprint) >= CrashLimit {
				known++
			}
		}
		if known == len(n.trackers) {
			return n.now - begin
		}
		n.tick()
	}
	return time.Minute
}

// Half of the messages are lost, and an entry has just started.
func TestRecordsReachAllEntries(t *testing.T) {
	for _, size := range []int{6, 28, 103, 390} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newNetwork(size, 0.5)
			n.run(2 * syncInterval)
			for i, a := range []msg.AttemptID{"a", "b"} {
				n.deliver(n.hosts[i], n.trackers[n.hosts[i]].RecordCrash(n.now, 7, a))
			}
			n.start(n.hosts[size-1])
			took := n.timeUntilKnown(7)
			t.Logf("%d entries: known everywhere after %s", size, took)
			is.True(took <= contactTime)
		})
	}
}

// Entries that hold the same records send digests only.
func TestEqualEntriesSendDigestsOnly(t *testing.T) {
	is := is.New(t)
	n := newNetwork(28, 0)
	n.deliver(n.hosts[0], n.trackers[n.hosts[0]].RecordCrash(n.now, 7, "a"))
	n.run(2 * fastSyncTime)
	n.messages = 0
	n.run(10 * syncInterval)
	is.Equal(n.messages, 10*len(n.hosts))
}

// A record that is sent on must not count longer than its retention.
func TestSentRecordKeepsItsAge(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 1)
	n.deliver(n.hosts[0], n.trackers[n.hosts[0]].RecordCrash(n.now, 7, "a"))
	n.now += Retention - time.Minute
	n.loss = 0
	n.run(2 * syncInterval)
	is.Equal(n.trackers[n.hosts[1]].CrashCount(7), 1)
	n.now += 2 * time.Minute
	n.tick()
	is.Equal(n.trackers[n.hosts[1]].CrashCount(7), 0)
}

// Records that do not fit the answer to one digest follow with the next ones.
func TestManyRecordsArriveInTurn(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 0)
	n.loss = 1
	const count = bucketCount * maxRecordsPerNotice * maxNoticesPerSync / 2
	for i := range uint64(count) {
		n.trackers[n.hosts[0]].RecordCrash(n.now, i+1, "a")
	}
	n.loss = 0
	n.run(10 * syncInterval)
	is.Equal(len(n.trackers[n.hosts[1]].histories), count)
}
