package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// crash is a crash that is recorded for a request or a prompt segment.
type crash struct {
	id msg.CrashID
	// at is when the target went down, and sentAt when the attempt had been sent.
	at, sentAt msg.Time
}

// crashHistory holds the crashes of one request or prompt segment, in order of time,
// and those of them that were cleared. Cleared crashes no longer count.
type crashHistory struct {
	fingerprint uint64
	segment     bool
	crashes     []crash
	cleared     []msg.CrashID
	expires     msg.Time
	// trial is the last trial of a segment.
	trial trial
}

// uncleared returns the crashes that count.
func (h *crashHistory) uncleared() []crash {
	list := make([]crash, 0, len(h.crashes))
	for _, c := range h.crashes {
		if !slices.Contains(h.cleared, c.id) {
			list = append(list, c)
		}
	}
	return list
}

// count returns the number of crashes that count: of a request all of them, and of a
// segment the independent ones.
func (h *crashHistory) count() int {
	if h.segment {
		return independent(h.uncleared(), 0)
	}
	return len(h.uncleared())
}

// independent returns the number of independent crashes in a list ordered by time: those
// under attempts that were sent later than gap after the one before.
func independent(crashes []crash, gap time.Duration) int {
	n := 0
	var last msg.Time
	for _, c := range crashes {
		if n == 0 || c.sentAt > last+gap {
			n++
			last = c.at
		}
	}
	return n
}

// lasting returns the crashes that count for minTimeLeft or longer.
func (h *crashHistory) lasting(now msg.Time) []crash {
	i := 0
	for i < len(h.crashes) && h.crashes[i].at+Retention-now < minTimeLeft {
		i++
	}
	return h.crashes[i:]
}

// covers reports whether all crashes that count against another history count against
// this one as well.
func (h *crashHistory) covers(other *crashHistory) bool {
	own := crashIDs(h.uncleared())
	for _, c := range other.uncleared() {
		if !slices.Contains(own, c.id) {
			return false
		}
	}
	return true
}

func (h *crashHistory) bucket() int { return int(h.fingerprint % bucketCount) }

func crashIDs(crashes []crash) []msg.CrashID {
	ids := make([]msg.CrashID, len(crashes))
	for i, c := range crashes {
		ids[i] = c.id
	}
	return ids
}

func compareFingerprints(a, b *crashHistory) int { return cmp.Compare(a.fingerprint, b.fingerprint) }
