package peerdiscovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// cluster is a set of components over one object API.
type cluster struct {
	is         *is.I
	now        time.Duration
	objects    *coretest.Objects
	components map[msg.HostID]*Component
	members    map[msg.HostID][]msg.HostID
	down       bool
}

func newCluster(t *testing.T, hosts ...msg.HostID) *cluster {
	w := &cluster{is: is.New(t), objects: coretest.NewObjects(), components: make(map[msg.HostID]*Component), members: make(map[msg.HostID][]msg.HostID)}
	for _, h := range hosts {
		w.start(h, "1")
	}
	return w
}

func (w *cluster) start(h msg.HostID, incarnation msg.Incarnation) {
	w.components[h] = New(msg.Self{Host: h}, incarnation, string(h)+":1")
}

func (w *cluster) step(h msg.HostID, ev msg.Event) {
	for _, eff := range w.components[h].Step(w.now, ev) {
		if r, ok := eff.(msg.Raise); ok {
			if m, ok := r.Event.(msg.MembersChanged); ok {
				w.members[h] = nil
				for _, e := range m.Entries {
					w.members[h] = append(w.members[h], e.Host)
				}
			}
			continue
		}
		answer, ok := coretest.Failed(eff, msg.CallUnavailable)
		if !w.down {
			answer, ok = w.objects.Do(eff)
		}
		if ok {
			w.step(h, answer)
		}
	}
}

func (w *cluster) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		for h := range w.components {
			w.step(h, msg.Tick{})
		}
	}
}

func TestEntriesDiscoverEachOther(t *testing.T) {
	w := newCluster(t, "a", "b", "c")
	w.advance(2 * time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b", "c"})
	w.is.Equal(w.members["c"], []msg.HostID{"a", "b", "c"})
}

func TestDeadEntryIsRemoved(t *testing.T) {
	w := newCluster(t, "a", "b")
	w.advance(2 * time.Second)
	delete(w.components, "b")
	w.advance(recordTimeout + readInterval)
	w.is.Equal(w.members["a"], []msg.HostID{"a"}) // Its old record is no sign of life.
}

// Tests that a daemon whose messages have arrived is considered gone sooner.
func TestSilentEntryIsRemovedSooner(t *testing.T) {
	w := newCluster(t, "a", "b")
	w.advance(2 * time.Second)
	delete(w.components, "b")
	w.step("a", msg.PeerReceived{From: "b", Message: msg.LoadDigest{}})
	w.advance(messageTimeout + 200*time.Millisecond)
	w.is.Equal(w.members["a"], []msg.HostID{"a"})
}

func TestLeavingEntryIsNotAMember(t *testing.T) {
	w := newCluster(t, "a", "b")
	w.advance(2 * time.Second)
	w.step("b", msg.StopRequested{})
	w.advance(200 * time.Millisecond)
	w.is.True(w.components["b"].Idle())
	w.advance(readInterval)
	w.is.Equal(w.members["a"], []msg.HostID{"a"})
}

// Tests that a process which restarts on its host takes over the host's object.
func TestRestartedEntryIsFoundAgain(t *testing.T) {
	w := newCluster(t, "a", "b")
	w.advance(2 * time.Second)
	w.start("b", "2")
	w.advance(time.Second)
	w.step("b", msg.StopRequested{})
	w.advance(time.Second)
	w.is.True(w.components["b"].Idle())
	w.start("b", "3")
	w.advance(readInterval + time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b"})
}

func TestShortOutageKeepsMembers(t *testing.T) {
	w := newCluster(t, "a", "b")
	w.advance(2 * time.Second)
	w.down = true
	w.advance(5 * time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b"})
}
