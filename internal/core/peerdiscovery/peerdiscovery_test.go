package peerdiscovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// world is a few parts over one object API.
type world struct {
	is      *is.I
	now     time.Duration
	objects *coretest.Objects
	parts   map[msg.HostID]*Component
	members map[msg.HostID][]msg.HostID
	down    bool
}

func newWorld(t *testing.T, hosts ...msg.HostID) *world {
	w := &world{is: is.New(t), objects: coretest.NewObjects(), parts: make(map[msg.HostID]*Component), members: make(map[msg.HostID][]msg.HostID)}
	for _, h := range hosts {
		w.boot(h, "1")
	}
	return w
}

func (w *world) boot(h msg.HostID, life msg.Incarnation) {
	w.parts[h] = New(msg.Self{Host: h}, life, string(h)+":1")
}

func (w *world) step(h msg.HostID, ev msg.Event) {
	for _, eff := range w.parts[h].Step(w.now, ev) {
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

func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		for h := range w.parts {
			w.step(h, msg.Tick{})
		}
	}
}

func TestEntriesFindEachOther(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.pass(2 * time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b", "c"})
	w.is.Equal(w.members["c"], []msg.HostID{"a", "b", "c"})
}

func TestDeadEntryIsForgotten(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(2 * time.Second)
	delete(w.parts, "b")
	w.pass(silence + readEvery)
	w.is.Equal(w.members["a"], []msg.HostID{"a"}) // its old object is no sign of life
}

// One whose messages were heard is missed sooner.
func TestSilentEntryIsMissedSoon(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(2 * time.Second)
	delete(w.parts, "b")
	w.step("a", msg.PeerReceived{From: "b", Message: msg.LoadDigest{}})
	w.pass(quiet + 200*time.Millisecond)
	w.is.Equal(w.members["a"], []msg.HostID{"a"})
}

func TestLeavingEntryIsNoMember(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(2 * time.Second)
	w.step("b", msg.StopRequested{})
	w.pass(200 * time.Millisecond)
	w.is.True(w.parts["b"].Idle())
	w.pass(readEvery)
	w.is.Equal(w.members["a"], []msg.HostID{"a"})
}

// A process that starts again on its host takes its object over.
func TestRestartedEntryReturns(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(2 * time.Second)
	w.boot("b", "2")
	w.pass(time.Second)
	w.step("b", msg.StopRequested{})
	w.pass(time.Second)
	w.is.True(w.parts["b"].Idle())
	w.boot("b", "3")
	w.pass(readEvery + time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b"})
}

func TestOutageChangesNothingSoon(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(2 * time.Second)
	w.down = true
	w.pass(5 * time.Second)
	w.is.Equal(w.members["a"], []msg.HostID{"a", "b"})
}
