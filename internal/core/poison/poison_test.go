package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var wall = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

type component interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// stepAndAnswer passes an event to a component, executes its calls of the object
// API at once, and returns the messages that it sent to peers.
func stepAndAnswer(p component, objects *coretest.Objects, now msg.Time, ev msg.Event) []msg.SendPeer {
	var sent []msg.SendPeer
	queue := p.Step(now, ev)
	for len(queue) > 0 {
		eff := queue[0]
		queue = queue[1:]
		if s, ok := eff.(msg.SendPeer); ok {
			sent = append(sent, s)
		}
		if result, ok := objects.Do(eff); ok {
			queue = append(queue, p.Step(now, result)...)
		}
	}
	return sent
}

func started(host msg.HostID) msg.Started {
	return msg.Started{Self: msg.Self{Host: host}, Incarnation: "1", Wall: wall}
}

// newTestTracker returns a tracker that has read the stored crash records at
// the wall clock time at.
func newTestTracker(host msg.HostID, objects *coretest.Objects, at time.Time) *Tracker {
	tracker := NewTracker()
	ev := started(host)
	ev.Wall = at
	stepAndAnswer(tracker, objects, 0, ev)
	stepAndAnswer(tracker, objects, 0, msg.Tick{Wall: at})
	return tracker
}

// An entry may receive the same crash record from the side daemon and from
// other entries.
func TestRepeatedCrashRecordCountsOnce(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker("e1", coretest.NewObjects(), wall)
	tracker.RecordCrash(0, 7, "a1")
	notice := msg.CrashNotice{Crashes: []msg.CrashRecord{{Fingerprint: 7, ID: "a1"}}}
	tracker.Step(0, msg.PeerReceived{From: "side", Message: notice})
	is.Equal(tracker.CrashCount(7), 1)
	notice.Crashes[0].ID = "a2"
	tracker.Step(0, msg.PeerReceived{From: "side", Message: notice})
	is.Equal(tracker.CrashCount(7), CrashLimit)
}

// Crash records are read back from the platform after a restart of the entry,
// and deleted once they are older than the retention.
func TestCrashRecordsOutliveTheEntry(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	tracker := newTestTracker("e1", objects, wall)
	tracker.RecordCrash(0, 7, "a1")
	stepAndAnswer(tracker, objects, time.Second, msg.Tick{Wall: wall})
	is.Equal(newTestTracker("e2", objects, wall.Add(time.Minute)).CrashCount(7), 1)
	is.Equal(newTestTracker("e3", objects, wall.Add(Retention)).CrashCount(7), 0)
	is.Equal(len(objects.List(msg.KindPoison, "")), 0) // the old object was deleted
}

// A notice whose write failed is written again.
func TestFailedWriteIsRetried(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker("e1", coretest.NewObjects(), wall)
	tracker.RecordCrash(0, 7, "a1")
	for _, eff := range tracker.Step(time.Second, msg.Tick{Wall: wall}) {
		if failed, ok := coretest.Failed(eff, msg.CallUnavailable); ok {
			tracker.Step(time.Second, failed)
		}
	}
	objects := coretest.NewObjects()
	stepAndAnswer(tracker, objects, 3*time.Second, msg.Tick{Wall: wall})
	is.Equal(len(objects.List(msg.KindPoison, "")), 1)
}

// A crash record that arrives after the notice that clears it must not count.
func TestClearedCrashStaysCleared(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker("e1", coretest.NewObjects(), wall)
	tracker.Step(0, msg.MembersChanged{Entries: []msg.Host{{Host: "e1"}, {Host: "e2"}}})
	tracker.RecordCrash(0, 7, "a1")
	effects := tracker.ClearCrashes(3*time.Second, 7)
	is.Equal(tracker.CrashCount(7), 0)
	sent := effects[0].(msg.SendPeer)
	is.Equal(sent.To, msg.HostID("e2"))
	other := newTestTracker("e2", coretest.NewObjects(), wall)
	other.Step(0, msg.PeerReceived{Message: sent.Message})
	late := msg.CrashNotice{Crashes: []msg.CrashRecord{{Fingerprint: 7, ID: "a1"}}}
	other.Step(0, msg.PeerReceived{Message: late})
	is.Equal(other.CrashCount(7), 0)
}

func TestReporterRecordsAttemptsRunningAtTheCrash(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	reporter := NewCrashReporter()
	stepAndAnswer(reporter, objects, 0, started("side"))
	stepAndAnswer(reporter, objects, 0, msg.PeerUp{Host: "e1"})
	for _, id := range []msg.AttemptID{"a1", "a2", "a3"} {
		stepAndAnswer(reporter, objects, 0, msg.AttemptStarting{Spec: msg.AttemptSpec{Attempt: id, Fingerprint: uint64(id[1])}})
	}
	stepAndAnswer(reporter, objects, 0, msg.SideAttemptEnded{Attempt: "a2"})
	sent := stepAndAnswer(reporter, objects, time.Second, msg.TargetCrashed{})
	is.Equal(len(sent), 1)
	is.Equal(sent[0].To, msg.HostID("e1"))
	is.Equal(sent[0].Message.(msg.CrashNotice).Crashes, []msg.CrashRecord{{Fingerprint: '1', ID: "a1"}, {Fingerprint: '3', ID: "a3"}})
	is.Equal(len(stepAndAnswer(reporter, objects, time.Second, msg.TargetCrashed{})), 0) // the crash was reported before
	tracker := newTestTracker("e9", objects, wall)                                       // reads the stored records
	is.Equal(tracker.CrashCount('1'), 1)
	is.Equal(tracker.CrashCount('2'), 0)
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range uint64(maxHistories + 10) {
		tracker.RecordCrash(msg.Time(i), i+1, "a")
	}
	is.True(len(tracker.histories) <= maxHistories)
	is.Equal(tracker.CrashCount(maxHistories+10), 1)
	is.Equal(tracker.CrashCount(1), 0)
}

// A failed read must not leave an entry without the stored records until the next
// regular read.
func TestFailedReadIsRepeatedSoon(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	first := newTestTracker("e1", objects, wall)
	first.RecordCrash(0, 7, "a1")
	stepAndAnswer(first, objects, time.Second, msg.Tick{Wall: wall})
	tracker := NewTracker()
	tracker.Step(0, started("e2"))
	for _, eff := range tracker.Step(0, msg.Tick{Wall: wall}) {
		if failed, ok := coretest.Failed(eff, msg.CallUnavailable); ok {
			tracker.Step(0, failed)
		}
	}
	stepAndAnswer(tracker, objects, maxReadBackoff, msg.Tick{Wall: wall})
	is.Equal(tracker.CrashCount(7), 1)
}
