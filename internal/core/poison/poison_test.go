package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var wall = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

type part interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// drive steps a part and answers its calls of the object API.
func drive(p part, objects *coretest.Objects, now msg.Time, ev msg.Event) []msg.SendPeer {
	var sent []msg.SendPeer
	queue := p.Step(now, ev)
	for len(queue) > 0 {
		eff := queue[0]
		queue = queue[1:]
		if s, ok := eff.(msg.SendPeer); ok {
			sent = append(sent, s)
		}
		if answer, ok := objects.Do(eff); ok {
			queue = append(queue, p.Step(now, answer)...)
		}
	}
	return sent
}

func started(host msg.HostID) msg.Started {
	return msg.Started{Self: msg.Self{Host: host}, Incarnation: "1", Wall: wall}
}

func newLedger(host msg.HostID, objects *coretest.Objects, at time.Time) *Tracker {
	l := NewTracker()
	ev := started(host)
	ev.Wall = at
	drive(l, objects, 0, ev)
	drive(l, objects, 0, msg.Tick{Wall: at})
	return l
}

func TestRepeatedNewsOfOneStrikeCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newLedger("e1", coretest.NewObjects(), wall)
	l.RecordCrash(0, 7, "a1")
	notice := msg.CrashNotice{Crashes: []msg.CrashRecord{{Fingerprint: 7, Attempt: "a1"}}}
	l.Step(0, msg.PeerReceived{From: "side", Message: notice})
	is.Equal(l.CrashCount(7), 1)
	notice.Crashes[0].Attempt = "a2"
	l.Step(0, msg.PeerReceived{From: "side", Message: notice})
	is.Equal(l.CrashCount(7), CrashLimit)
}

func TestStrikesOutliveTheEntry(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	l := newLedger("e1", objects, wall)
	l.RecordCrash(0, 7, "a1")
	drive(l, objects, time.Second, msg.Tick{Wall: wall})
	is.Equal(newLedger("e2", objects, wall.Add(time.Minute)).CrashCount(7), 1)
	is.Equal(newLedger("e3", objects, wall.Add(Retention)).CrashCount(7), 0)
	is.Equal(len(objects.List(msg.KindPoison, "")), 0) // the old object was removed
}

func TestFailedWriteIsRepeated(t *testing.T) {
	is := is.New(t)
	l := newLedger("e1", coretest.NewObjects(), wall)
	l.RecordCrash(0, 7, "a1")
	for _, eff := range l.Step(time.Second, msg.Tick{Wall: wall}) {
		if failed, ok := coretest.Failed(eff, msg.CallUnavailable); ok {
			l.Step(time.Second, failed)
		}
	}
	objects := coretest.NewObjects()
	drive(l, objects, 3*time.Second, msg.Tick{Wall: wall})
	is.Equal(len(objects.List(msg.KindPoison, "")), 1)
}

func TestClearedStrikeStaysCleared(t *testing.T) {
	is := is.New(t)
	l := newLedger("e1", coretest.NewObjects(), wall)
	l.Step(0, msg.MembersChanged{Entries: []msg.Host{{Host: "e1"}, {Host: "e2"}}})
	l.RecordCrash(0, 7, "a1")
	effects := l.ClearCrashes(7)
	is.Equal(l.CrashCount(7), 0)
	sent := effects[0].(msg.SendPeer)
	is.Equal(sent.To, msg.HostID("e2"))
	other := newLedger("e2", coretest.NewObjects(), wall)
	other.Step(0, msg.PeerReceived{Message: sent.Message})
	late := msg.CrashNotice{Crashes: []msg.CrashRecord{{Fingerprint: 7, Attempt: "a1"}}}
	other.Step(0, msg.PeerReceived{Message: late})
	is.Equal(other.CrashCount(7), 0)
}

func TestWitnessStrikesWhatRanAtTheCrash(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	w := NewCrashReporter()
	drive(w, objects, 0, started("side"))
	drive(w, objects, 0, msg.PeerUp{Host: "e1"})
	for _, id := range []msg.AttemptID{"a1", "a2", "a3"} {
		drive(w, objects, 0, msg.AttemptStarting{Spec: msg.AttemptSpec{Attempt: id, Fingerprint: uint64(id[1])}})
	}
	drive(w, objects, 0, msg.SideAttemptEnded{Attempt: "a2"})
	sent := drive(w, objects, time.Second, msg.TargetCrashed{})
	is.Equal(len(sent), 1)
	is.Equal(sent[0].To, msg.HostID("e1"))
	is.Equal(sent[0].Message.(msg.CrashNotice).Crashes, []msg.CrashRecord{{Fingerprint: '1', Attempt: "a1"}, {Fingerprint: '3', Attempt: "a3"}})
	is.Equal(len(drive(w, objects, time.Second, msg.TargetCrashed{})), 0) // the same crash
	l := newLedger("e9", objects, wall)                                   // hears of it from the platform
	is.Equal(l.CrashCount('1'), 1)
	is.Equal(l.CrashCount('2'), 0)
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewTracker()
	for i := range uint64(maxRecords + 10) {
		l.strike(msg.Time(i), msg.CrashRecord{Fingerprint: i + 1, Attempt: "a"})
	}
	is.True(len(l.records) <= maxRecords)
	is.Equal(l.CrashCount(maxRecords+10), 1)
	is.Equal(l.CrashCount(1), 0)
}
