package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// copyCrash returns the record of a process that went down under a copy of a request, at an
// instant and after the copy had run for a time.
func copyCrash(request uint64, process string, now, at msg.Time, ran time.Duration) msg.CrashRecord {
	return msg.CrashRecord{
		Fingerprint: request, ID: msg.CrashID(process),
		LeftMS: (Retention - (now - at)).Milliseconds(), RanMS: ran.Milliseconds(),
	}
}

// newMember returns a tracker of one of some daemons.
func newMember(i, daemons int) *Tracker {
	t := NewTracker()
	t.self = msg.HostID(fmt.Sprint("entry-", i))
	for j := range daemons {
		t.entries = append(t.entries, msg.Host{Host: msg.HostID(fmt.Sprint("entry-", j))})
	}
	return t
}

// A crash counted once for each copy of a request that it broke off.
func TestCrashCountsOnceForCopiesOfRequest(t *testing.T) {
	is := is.New(t)
	tracker := newMember(0, 1)
	now := 10 * time.Second
	for range 5 {
		tracker.RecordCrashes(now, []msg.CrashRecord{copyCrash(7, "t1@1", now, now, time.Second)})
	}
	is.Equal(tracker.CrashCount(7), 1)
	is.Equal(tracker.Judge(now, 7), VerdictRun)
	later := now + time.Second
	tracker.RecordCrashes(later, []msg.CrashRecord{copyCrash(7, "t2@1", later, later, 100*time.Millisecond)})
	is.Equal(tracker.Judge(later, 7), VerdictRefuse)
}

// Of a request under which targets have gone down together, one copy at a time runs, at one
// of the daemons, until one completes or crashes its target.
func TestTrialOfRequestDecides(t *testing.T) {
	const daemons = 4
	now := 10 * time.Second
	together := func(tracker *Tracker) {
		for i := range 3 {
			tracker.RecordCrashes(now, []msg.CrashRecord{copyCrash(7, fmt.Sprint("t", i), now, now, time.Second)})
		}
	}
	is := is.New(t)
	var trackers []*Tracker
	for i := range daemons {
		trackers = append(trackers, newMember(i, daemons))
		together(trackers[i])
		is.Equal(trackers[i].Judge(now, 7), VerdictWait) // the records of others may still be on their way
	}
	tried := 0
	for at := now; at < now+20*time.Second; at += 50 * time.Millisecond {
		for _, tracker := range trackers {
			if tracker.Judge(at, 7) == VerdictTrial {
				tracker.BeginTrial(at, 7)
				is.Equal(tracker.Judge(at, 7), VerdictWait)
				tried++
			}
		}
	}
	is.Equal(tried, int(20*time.Second/trialTurn)-1) // one for each turn but the first

	completed, crashed := newMember(0, 1), newMember(0, 1)
	for _, tracker := range []*Tracker{completed, crashed} {
		together(tracker)
		is.Equal(tracker.Judge(now+trialTurn, 7), VerdictTrial)
	}
	now += trialTurn + time.Second
	completed.ClearCrashes(now, 7)
	is.Equal(completed.Judge(now, 7), VerdictRun)
	crashed.RecordCrashes(now, []msg.CrashRecord{copyCrash(7, "t9", now, now, 100*time.Millisecond)})
	is.Equal(crashed.Judge(now, 7), VerdictRefuse)
}

// A request that crashed its targets is tried again after a while, so that one that was
// there by chance is not refused for long, and ever more seldom.
func TestRefusedRequestGetsFewTrials(t *testing.T) {
	is := is.New(t)
	tracker := newMember(0, 1)
	now := time.Second
	crashes := 0
	crash := func() {
		crashes++
		tracker.RecordCrashes(now, []msg.CrashRecord{copyCrash(7, fmt.Sprint("t", crashes), now, now, 10*time.Millisecond)})
		now += time.Second
	}
	crash()
	crash()
	for end := now + 30*time.Minute; now < end; now += time.Second {
		if tracker.Judge(now, 7) == VerdictTrial {
			tracker.BeginTrial(now, 7)
			crash()
		}
	}
	is.True(crashes >= 4 && crashes <= 5)
}

// Records of daemons that do not say how long an attempt had run count as independent.
func TestRecordsOfEarlierReleaseCount(t *testing.T) {
	is := is.New(t)
	tracker := newMember(0, 1)
	tracker.RecordCrash(time.Second, 7, "attempt-1")
	tracker.RecordCrash(2*time.Second, 7, "attempt-2")
	is.Equal(tracker.Judge(3*time.Second, 7), VerdictRefuse)
}
