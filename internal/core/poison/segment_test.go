package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// segmentCrash returns the record of a crash under a prompt with a segment, at an
// instant and after the prompt had run for a time.
func segmentCrash(segment uint64, id msg.CrashID, now, at msg.Time, ran time.Duration) msg.CrashRecord {
	return msg.CrashRecord{
		Fingerprint: segment, ID: id, Segment: true,
		LeftMS: (Retention - (now - at)).Milliseconds(), RanMS: ran.Milliseconds(),
	}
}

// crashSegments records the crash of a target under prompts with some segments.
func crashSegments(t *Tracker, id msg.CrashID, at msg.Time, segments ...uint64) {
	var records []msg.CrashRecord
	for _, s := range segments {
		records = append(records, segmentCrash(s, id, at, at, 100*time.Millisecond))
	}
	t.RecordCrashes(at, records)
}

func promptOf(segments ...uint64) []msg.PromptSegment {
	var list []msg.PromptSegment
	for _, s := range segments {
		list = append(list, msg.PromptSegment{ID: s, Tokens: 100})
	}
	return list
}

func refuses(t *Tracker, segments ...uint64) bool {
	_, _, blocked := t.BlockedSegment(promptOf(segments...))
	return blocked
}

func TestSegmentIsBlockedAfterIndependentCrashes(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	crashSegments(tracker, "t1@1", 1*time.Second, 7)
	is.True(!refuses(tracker, 7))
	crashSegments(tracker, "t1@1", 2*time.Second, 7) // seen by another entry
	is.True(!refuses(tracker, 7))
	crashSegments(tracker, "t2@1", 2*time.Second, 7)
	is.True(refuses(tracker, 5, 7))
	is.True(!refuses(tracker, 5))
}

// Targets that lose power together show nothing about the prompts that they all ran.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range 9 {
		crashSegments(tracker, msg.CrashID(fmt.Sprint("t", i, "@1")), time.Second+time.Duration(i)*time.Millisecond, 7)
	}
	is.True(!refuses(tracker, 7))
}

// The order in which records arrive must not matter.
func TestCrashesAreCountedInOrderOfTime(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	now := 10 * time.Second
	for i, at := range []msg.Time{9 * time.Second, 5 * time.Second, 7 * time.Second} {
		notice := msg.CrashNotice{Crashes: []msg.CrashRecord{segmentCrash(7, msg.CrashID(fmt.Sprint(i)), now, at, time.Second)}}
		tracker.Step(now, msg.PeerReceived{From: "peer", Message: notice})
	}
	is.Equal(tracker.CrashCount(7), 3)
}

// A sound segment that stands beside the one that crashes targets must stay in use.
func TestSoundSegmentIsExplainedByAnother(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	const sound, crashing = 1, 2
	crashSegments(tracker, "t1@1", 1*time.Second, sound, crashing)
	crashSegments(tracker, "t2@1", 2*time.Second, sound, crashing)
	is.True(refuses(tracker, sound, crashing))
	is.True(!refuses(tracker, sound))
	is.True(!refuses(tracker, sound, 3))
	crashSegments(tracker, "t3@1", 3*time.Second, sound) // without the other one
	is.True(refuses(tracker, sound, 3))
}

func TestCompletionUnblocksSegment(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	crashSegments(tracker, "t1@1", 1*time.Second, 1, 2)
	crashSegments(tracker, "t2@1", 2*time.Second, 1, 2)
	tracker.ClearCrashes(3*time.Second, 9, 1)
	is.True(refuses(tracker, 1, 2)) // for segment 2
	is.Equal(tracker.CrashCount(1), 0)
	is.True(!refuses(tracker, 1))
	tracker.ClearCrashes(3*time.Second, 9, 2)
	is.True(!refuses(tracker, 1, 2))
}

// A segment that was blocked wrongly must come back into use, and one that was blocked
// rightly must crash few targets.
func TestBlockedSegmentGetsFewTrials(t *testing.T) {
	for _, entries := range []int{1, 4, 26, 390} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			var hosts []msg.Host
			for i := range entries {
				hosts = append(hosts, msg.Host{Host: msg.HostID(fmt.Sprintf("e%03d", i))})
			}
			trackers := make([]*Tracker, entries)
			for i := range trackers {
				trackers[i] = NewTracker()
				trackers[i].Step(0, started(hosts[i].Host))
				trackers[i].Step(0, msg.MembersChanged{Entries: hosts})
			}
			crash := func(id msg.CrashID, at msg.Time) {
				for _, tracker := range trackers {
					crashSegments(tracker, id, at, 7)
				}
			}
			crash("t1@1", 1*time.Second)
			crash("t2@1", 2*time.Second)
			var trials []msg.Time
			for now := 2 * time.Second; now < 10*time.Minute; now += 10 * time.Millisecond {
				e := trackers[int(now/(10*time.Millisecond))%entries]
				if e.StartTrial(now, 7) {
					trials = append(trials, now)
					crash(msg.CrashID(fmt.Sprint("trial", len(trials))), now+120*time.Millisecond)
				}
			}
			t.Log(trials)
			is.True(len(trials) >= 2)
			is.True(trials[0] >= 2*time.Second+minTrialDelay)
			is.True(trials[0] < 2*time.Second+6*minTrialDelay)
			is.True(len(trials) <= 6)
		})
	}
}

// It takes a while to tell a crash from a broken response. Answers that completed
// meanwhile show that the segment did not cause it.
func TestLateRecordIsRefutedByCompletion(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Step(0, started("e1"))
	tracker.Step(0, msg.MembersChanged{Entries: []msg.Host{{Host: "e1"}, {Host: "e2"}}})
	tracker.ClearCrashes(9*time.Second, 1, 7)
	early := segmentCrash(7, "t1@1", 10*time.Second, 5*time.Second, 100*time.Millisecond)
	effects := tracker.RecordCrashes(10*time.Second, []msg.CrashRecord{early})
	is.Equal(tracker.CrashCount(7), 0)
	is.Equal(clearedIn(effects), 1)
	late := segmentCrash(7, "t2@1", 10*time.Second, 9500*time.Millisecond, 100*time.Millisecond)
	tracker.RecordCrashes(10*time.Second, []msg.CrashRecord{late})
	is.Equal(tracker.CrashCount(7), 1)
	peer := segmentCrash(7, "t3@1", 10*time.Second, 4*time.Second, 100*time.Millisecond)
	tracker.Step(10*time.Second, msg.PeerReceived{From: "e2", Message: msg.CrashNotice{Crashes: []msg.CrashRecord{peer}}})
	is.Equal(tracker.CrashCount(7), 1)
}

// clearedIn returns how many crashes the sent notices clear.
func clearedIn(effects []msg.Effect) int {
	n := 0
	for _, e := range effects {
		if sent, ok := e.(msg.SendPeer); ok {
			notice, _ := sent.Message.(msg.CrashNotice)
			n += len(notice.Cleared)
		}
	}
	return n
}

// A segment of answers that completed runs at many targets and is at many crashes by
// chance. It is blocked after more of them, in case new targets crash under it.
func TestProvenSegmentIsBlockedLater(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.ClearCrashes(time.Second, 1, 7)
	for i := range provenCrashLimit - 1 {
		crashSegments(tracker, msg.CrashID(fmt.Sprint("t", i, "@1")), time.Duration(i+2)*time.Second, 7, 8)
	}
	is.True(!refuses(tracker, 7))
	is.True(refuses(tracker, 8))
	crashSegments(tracker, "t9@1", 9*time.Second, 7)
	is.True(refuses(tracker, 7))
}

// What is kept of completions is bounded.
func TestCompletionsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range uint64(3 * maxCompletions) {
		tracker.ClearCrashes(time.Duration(i)*time.Millisecond, 0, i+1)
	}
	is.True(len(tracker.completions) <= maxCompletions)
	is.True(len(tracker.completions) > maxCompletions/4)
}
