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
	tracker.ClearCrashes(9, 1)
	is.True(refuses(tracker, 1, 2)) // for segment 2
	is.Equal(tracker.CrashCount(1), 0)
	is.True(!refuses(tracker, 1))
	tracker.ClearCrashes(9, 2)
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
