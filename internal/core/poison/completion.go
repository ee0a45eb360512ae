package poison

import (
	"maps"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// completionRetention is how long the last completion of a segment is kept. It is
	// longer than a crash may take to be told from a broken response and to be read
	// from the store.
	completionRetention = 2 * readInterval
	// maxCompletions is the largest number of segments of which the completion is kept.
	maxCompletions = 20_000
)

// completions holds, by prompt segment, when an answer to a prompt with it was last
// complete.
type completions map[uint64]msg.Time

// add records an answer to a prompt with some segments.
func (c completions) add(now msg.Time, segments []uint64) {
	for _, id := range segments {
		c[id] = now
	}
	if len(c) <= maxCompletions {
		return
	}
	for age := completionRetention / 2; len(c) > maxCompletions*3/4; age /= 2 {
		c.removeOlder(now, age)
	}
}

// removeExpired removes the completions that are no longer needed.
func (c completions) removeExpired(now msg.Time) { c.removeOlder(now, completionRetention) }

func (c completions) removeOlder(now msg.Time, age time.Duration) {
	maps.DeleteFunc(c, func(_ uint64, at msg.Time) bool { return now-at >= age })
}

// ClearCrashes records that a request and the prompt segments of its answer completed,
// so that their crashes up to now no longer count.
func (t *Tracker) ClearCrashes(now msg.Time, request uint64, segments ...uint64) []msg.Effect {
	t.completions.add(now, segments)
	var notice msg.CrashNotice
	var effects []msg.Effect
	for _, f := range append([]uint64{request}, segments...) {
		if h := t.histories[f]; h != nil {
			effects = append(effects, t.clearUpTo(h, now, &notice)...)
		}
	}
	return append(effects, t.announceCleared(notice)...)
}

// clearRefuted clears those of the recorded crashes that a completed answer with their
// segment had refuted before they became known: it takes a while to tell a crash from a
// broken response, and records travel.
func (t *Tracker) clearRefuted(records []msg.CrashRecord) []msg.Effect {
	var notice msg.CrashNotice
	var effects []msg.Effect
	for _, r := range records {
		at, ok := t.completions[r.Fingerprint]
		if h := t.histories[r.Fingerprint]; ok && h != nil && h.segment {
			effects = append(effects, t.clearUpTo(h, at, &notice)...)
		}
	}
	return append(effects, t.announceCleared(notice)...)
}

// clearUpTo clears the crashes of a history up to an instant, and adds those that
// counted to a notice.
func (t *Tracker) clearUpTo(h *crashHistory, at msg.Time, notice *msg.CrashNotice) []msg.Effect {
	cleared := false
	for _, c := range h.uncleared() {
		if c.at > at {
			continue
		}
		cleared = true
		h.cleared = append(h.cleared, c.id)
		notice.Cleared = append(notice.Cleared, msg.CrashRecord{Fingerprint: h.fingerprint, ID: c.id, Segment: h.segment})
	}
	if !cleared {
		return nil
	}
	return t.updateBlocked(h)
}

// announceCleared tells the other daemons and the store which crashes no longer count.
func (t *Tracker) announceCleared(notice msg.CrashNotice) []msg.Effect {
	if len(notice.Cleared) == 0 {
		return nil
	}
	t.enqueue(notice)
	return t.broadcast(notice)
}
