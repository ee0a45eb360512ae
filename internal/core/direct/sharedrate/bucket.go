package sharedrate

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Bucket is a token bucket. It starts empty, at the rate zero.
type Bucket struct {
	level, perSecond, capacity float64
	updatedAt                  msg.Time
}

// NewBucket returns a bucket with the given level, at the rate zero.
func NewBucket(now msg.Time, level float64) Bucket { return Bucket{level: level, updatedAt: now} }

// SetRate sets the rate at which the bucket fills, and its capacity. What exceeds the
// capacity is lost.
func (b *Bucket) SetRate(now msg.Time, perSecond, capacity float64) {
	b.update(now)
	b.perSecond, b.capacity = perSecond, capacity
	b.level = min(b.level, capacity)
}

func (b *Bucket) update(now msg.Time) {
	b.level = min(b.level+b.perSecond*(now-b.updatedAt).Seconds(), b.capacity)
	b.updatedAt = now
}

// Level returns the number of tokens in the bucket. It is negative after more were taken
// than there were.
func (b *Bucket) Level(now msg.Time) float64 {
	b.update(now)
	return b.level
}

// Take takes n tokens, whether or not there are as many. A negative n returns tokens.
func (b *Bucket) Take(now msg.Time, n float64) {
	b.update(now)
	b.level = min(b.level-n, b.capacity)
}
