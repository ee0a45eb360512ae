package sharedrate

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

const (
	// baseHolders and holdersPerRequest give the number of holders of a target's limit.
	// Together they may send at once what all have saved.
	baseHolders       = 2
	holdersPerRequest = 1.2
	// maxSaved is the number of requests that a holder may save up, or what it may send
	// in savedTime if that is more.
	maxSaved  = 1.5
	savedTime = 0.1 // seconds
)

// TargetShare returns the part of a target's limit, in requests per second, that belongs
// to a daemon. It is zero if the daemon is not a holder, or has started too recently.
func (m *Members) TargetShare(target msg.TargetID, self msg.HostID, limit float64) float64 {
	holders := min(baseHolders+int(holdersPerRequest*limit), len(m.all))
	if !m.Holds(string(target), self, holders) {
		return 0
	}
	return limit / float64(holders)
}

// TargetBucket is a token bucket for the requests of one daemon to one target. It starts
// empty.
type TargetBucket struct{ bucket Bucket }

// SetRate sets the rate at which requests are permitted.
func (b *TargetBucket) SetRate(now msg.Time, perSecond float64) {
	b.bucket.SetRate(now, perSecond, max(maxSaved, perSecond*savedTime))
}

// Permits reports whether a request is permitted now.
func (b *TargetBucket) Permits(now msg.Time) bool { return b.bucket.Level(now) >= 1 }

// Level returns the number of requests that are permitted now, with the part of the next
// one that has been saved.
func (b *TargetBucket) Level(now msg.Time) float64 { return b.bucket.Level(now) }

// Take counts a request, permitted or not.
func (b *TargetBucket) Take(now msg.Time) { b.bucket.Take(now, 1) }
