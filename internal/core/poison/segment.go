package poison

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// Prompts that share a segment may crash each target that begins to answer them,
// although no two of them are alike. A crash is therefore also recorded for each segment
// of each prompt that the target had not long begun to answer, and a completed answer
// clears the segments of its prompt. A segment is blocked once enough independent
// crashes count against it: prompts with it are refused.
//
// Sound segments stand in the same prompts, or were at the same targets by chance, so
// that they may gather crashes as well. Four rules keep them in use:
//
//   - Crashes are independent only if the later attempt was sent after the earlier crash,
//     so that targets that go down together count once.
//   - A segment with a lately completed answer is blocked after more of them, and a
//     completion also clears earlier crashes that become known later.
//   - A blocked segment does not count against a prompt if another blocked segment,
//     which the prompt lacks, had a part in each of its crashes and so explains them.
//   - After a delay that grows with the number of crashes, a blocked segment gets a trial:
//     one prompt with it is let through.
const (
	// SegmentCrashLimit is the number of independent crashes at which a segment is
	// blocked of which no completed answer is known, and provenCrashLimit that of any
	// other. The latter was at many targets, so that it is at many crashes by chance,
	// but a new version of the targets may also crash under what earlier ones answered.
	SegmentCrashLimit = 2
	provenCrashLimit  = 4
	// minTrialDelay is the delay before the first trial of a segment, and
	// trialDelayFactor that by which each further crash lengthens it.
	minTrialDelay    = time.Minute
	trialDelayFactor = 4
	// entriesPerTrial is the number of entry daemons of which one may hold a trial at
	// the same time. A trial that fails stops the others soon after.
	entriesPerTrial = 64
)

// trial is a request, or a prompt with a blocked segment, that was let through.
type trial struct {
	// crashes is the number of crashes that counted then, and turn the number of the
	// delays that had passed since the last of them.
	crashes int
	turn    int64
}

// updateBlocked blocks a segment or ends that, according to its crashes.
func (t *Tracker) updateBlocked(h *crashHistory) []msg.Effect {
	if !h.segment {
		return nil
	}
	crashes := h.count()
	_, was := t.blocked[h.fingerprint]
	is := crashes >= t.crashLimit(h.fingerprint)
	if is == was {
		return nil
	}
	if is {
		t.blocked[h.fingerprint] = h
	} else {
		delete(t.blocked, h.fingerprint)
	}
	return []msg.Effect{msg.Raise{Event: msg.SegmentBlocked{Segment: h.fingerprint, Crashes: crashes, Blocked: is}}}
}

// crashLimit returns the number of independent crashes at which a segment is blocked.
func (t *Tracker) crashLimit(id uint64) int {
	if _, ok := t.completions[id]; ok {
		return provenCrashLimit
	}
	return SegmentCrashLimit
}

// unblockForgotten ends the block of segments whose crashes were removed.
func (t *Tracker) unblockForgotten() []msg.Effect {
	var effects []msg.Effect
	for _, id := range slices.Sorted(maps.Keys(t.blocked)) {
		effects = append(effects, t.updateBlocked(t.blocked[id])...)
	}
	return effects
}

// BlockedSegment returns the segment for which a prompt is to be refused, and the number
// of independent crashes that count against it. It returns false if there is none.
func (t *Tracker) BlockedSegment(segments []msg.PromptSegment) (id uint64, crashes int, blocked bool) {
	if len(t.blocked) == 0 {
		return 0, 0, false
	}
	for _, s := range segments {
		h := t.blocked[s.ID]
		if h == nil || t.explained(h, segments) {
			continue
		}
		if n := h.count(); n > crashes {
			id, crashes = s.ID, n
		}
	}
	return id, crashes, crashes > 0
}

// explained reports whether a blocked segment other than those of a prompt had a part
// in all crashes of h.
func (t *Tracker) explained(h *crashHistory, segments []msg.PromptSegment) bool {
	for _, other := range t.blocked {
		if other != h && !containsSegment(segments, other.fingerprint) && other.covers(h) {
			return true
		}
	}
	return false
}

func containsSegment(segments []msg.PromptSegment, id uint64) bool {
	return slices.ContainsFunc(segments, func(s msg.PromptSegment) bool { return s.ID == id })
}

// StartTrial reports whether a prompt with a blocked segment may be let through as the
// segment's trial. The daemons take turns, which last for one delay each.
func (t *Tracker) StartTrial(now msg.Time, id uint64) bool {
	h := t.blocked[id]
	if h == nil {
		return false
	}
	next := h.nextTrial(now, trialDelay(independent(h.uncleared(), 0)))
	if !t.mayTry(h, next, 1+len(t.entries)/entriesPerTrial) {
		return false
	}
	h.trial = next
	return true
}

// nextTrial returns the trial that may begin now if turns last for a delay each.
func (h *crashHistory) nextTrial(now msg.Time, delay time.Duration) trial {
	crashes := h.uncleared()
	return trial{crashes: len(crashes), turn: int64((now - crashes[len(crashes)-1].at) / delay)}
}

// mayTry reports whether this daemon is among those whose turn it is to begin a trial, and
// has not done so.
func (t *Tracker) mayTry(h *crashHistory, next trial, daemons int) bool {
	if next.turn < 1 || h.trial == next {
		return false
	}
	key := fmt.Sprintf("%x/%d", h.fingerprint, next.turn)
	return rendezvous.Rank(key, t.self, t.entries) < daemons
}

// trialDelay returns the delay before a trial of a segment with some independent
// crashes.
func trialDelay(crashes int) time.Duration {
	d := minTrialDelay
	for range crashes - SegmentCrashLimit {
		d = min(d*trialDelayFactor, Retention)
	}
	return d
}
