package peerdiscovery

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// cluster simulates entry daemons, each with one component, that share an object
// API.
type cluster struct {
	is         *is.I
	now        time.Duration
	objects    *coretest.Objects
	components map[msg.HostID]*Component
	members    map[msg.HostID][]msg.HostID
	complete   map[msg.HostID]bool
	down       bool
	calls      int
	// holdPuts keeps writes from being executed. They are kept in held.
	holdPuts bool
	held     map[msg.HostID][]msg.Effect
}

func newCluster(t *testing.T, hosts ...msg.HostID) *cluster {
	c := &cluster{is: is.New(t), objects: coretest.NewObjects(), components: make(map[msg.HostID]*Component), members: make(map[msg.HostID][]msg.HostID), complete: make(map[msg.HostID]bool), held: make(map[msg.HostID][]msg.Effect)}
	for _, h := range hosts {
		c.start(h, "1")
	}
	return c
}

func (c *cluster) start(h msg.HostID, incarnation msg.Incarnation) {
	c.components[h] = New(msg.Self{Host: h}, incarnation, string(h)+":1")
}

func (c *cluster) step(h msg.HostID, ev msg.Event) {
	for _, eff := range c.components[h].Step(c.now, ev) {
		if r, ok := eff.(msg.Raise); ok {
			if m, ok := r.Event.(msg.MembersChanged); ok {
				c.members[h] = nil
				c.complete[h] = m.Complete
				for _, e := range m.Entries {
					c.members[h] = append(c.members[h], e.Host)
				}
			}
			continue
		}
		if p, ok := eff.(msg.SendPeer); ok {
			c.step(p.To, msg.PeerReceived{From: h, Message: p.Message})
			continue
		}
		if _, put := eff.(msg.PutObject); put && c.holdPuts {
			c.held[h] = append(c.held[h], eff)
			continue
		}
		result, ok := coretest.Failed(eff, msg.CallUnavailable)
		if ok {
			c.calls++
		}
		if !c.down {
			result, ok = c.objects.Do(eff)
		}
		if ok {
			c.step(h, result)
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 100 * time.Millisecond
		for h := range c.components {
			c.step(h, msg.Tick{})
		}
	}
}

// A daemon that stops while the store is away tells the others. Its next process is live.
func TestDepartureIsToldWhileStoreIsAway(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.down = true
	c.step("b", msg.StopRequested{})
	c.advance(time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a"})
	c.down = false
	c.start("b", "2")
	c.advance(4 * time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a", "b"})
}

func TestEntriesDiscoverEachOther(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.advance(2 * time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a", "b", "c"})
	c.is.Equal(c.members["c"], []msg.HostID{"a", "b", "c"})
}

func TestDeadEntryIsRemoved(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	delete(c.components, "b")
	c.advance(recordTimeout + readInterval)
	c.is.Equal(c.members["a"], []msg.HostID{"a"}) // Its old record does not count as a new one.
}

// Tests that a daemon from which messages have arrived is removed sooner after it
// falls silent.
func TestSilentEntryIsRemovedSooner(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	delete(c.components, "b")
	c.step("a", msg.PeerReceived{From: "b", Message: msg.LoadDigest{}})
	c.advance(messageTimeout + 200*time.Millisecond)
	c.is.Equal(c.members["a"], []msg.HostID{"a"})
}

func TestLeavingEntryIsNotAMember(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.step("b", msg.StopRequested{})
	c.advance(200 * time.Millisecond)
	c.is.True(c.components["b"].Idle())
	c.advance(readInterval)
	c.is.Equal(c.members["a"], []msg.HostID{"a"})
}

// Tests that a process which restarts on its host takes over the host's object.
func TestRestartedEntryIsFoundAgain(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.start("b", "2")
	c.advance(time.Second)
	c.step("b", msg.StopRequested{})
	c.advance(time.Second)
	c.is.True(c.components["b"].Idle())
	c.start("b", "3")
	c.advance(readInterval + time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a", "b"})
}

func TestShortOutageKeepsMembers(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.down = true
	c.advance(5 * time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a", "b"})
}

// A stop is requested while a heartbeat is being written. The record that is written
// then says nothing of the departure, so another one must follow.
func TestDepartureDuringWriteIsWritten(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.holdPuts = true
	c.advance(writeInterval)
	held := c.held
	c.is.Equal(len(held["b"]), 1)
	c.step("b", msg.StopRequested{})
	c.holdPuts = false
	for h, effs := range held {
		for _, eff := range effs {
			result, _ := c.objects.Do(eff)
			c.step(h, result)
		}
	}
	c.is.True(!c.components["b"].Idle())
	c.advance(200 * time.Millisecond)
	c.is.True(c.components["b"].Idle())
	c.advance(readInterval)
	c.is.Equal(c.members["a"], []msg.HostID{"a"})
}

// During a long outage calls become rare, and after it the daemons find each other
// again.
func TestCallsBecomeRareDuringOutage(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(2 * time.Second)
	c.down = true
	c.advance(10 * time.Second)
	c.calls = 0
	c.advance(24 * time.Second)
	c.is.True(c.calls <= 2*2*(24_000/2400+1)) // Two daemons, reads and writes, at maxRetryDelay.
	c.down = false
	c.advance(maxRetryDelay + readInterval + time.Second)
	c.is.Equal(c.members["a"], []msg.HostID{"a", "b"})
}

// The versions of records start again from lower ones. Records that say nothing new must
// not count as signs of life.
func TestRecordsAfterLossOfWrites(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	c.advance(5 * time.Second)
	older := c.objects.Snapshot()
	c.advance(60 * time.Second)
	c.objects = older
	for _, h := range []msg.HostID{"e1", "e2"} {
		c.step(h, msg.StoreEraChanged{Era: 2, Previous: 1})
	}
	c.advance(recordTimeout + 2*time.Second)
	c.is.Equal(c.members["e1"], []msg.HostID{"e1", "e2"}) // The records were written again.
	delete(c.components, "e2")
	c.step("e1", msg.StoreEraChanged{Era: 3, Previous: 2})
	c.advance(recordTimeout + 4*time.Second)
	c.is.Equal(c.members["e1"], []msg.HostID{"e1"})
}

// A process knows that the list names the whole fleet if it shows an earlier process of
// its own host.
func TestListIsCompleteAfterRestart(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	c.advance(5 * time.Second)
	c.is.True(!c.complete["e1"]) // the fleet is new
	c.start("e1", "2")
	c.start("e3", "1")
	c.advance(200 * time.Millisecond)
	c.is.True(c.complete["e1"])
	c.is.True(slices.Contains(c.members["e1"], "e2"))
	c.is.True(!c.complete["e3"])
}
