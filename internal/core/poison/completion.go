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
	for age := completionRetention / 2; len(c) > maxCompletions; age /= 2 {
		c.removeOlder(now, age)
	}
}

// removeExpired removes the completions that are no longer needed.
func (c completions) removeExpired(now msg.Time) { c.removeOlder(now, completionRetention) }

func (c completions) removeOlder(now msg.Time, age time.Duration) {
	maps.DeleteFunc(c, func(_ uint64, at msg.Time) bool { return now-at >= age })
}
