package usage

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxSampleAge is the age at which a sample of another daemon's wall clock
	// expires.
	maxSampleAge = 10 * time.Second
	// minCorrection is the smallest correction that is applied. Smaller offsets
	// are within the normal difference of clocks and the transit time of
	// messages.
	minCorrection = 300 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a process that was not
	// paused.
	maxTickGap = 300 * time.Millisecond
	// pauseGuard is the time after a pause of the process in which arriving
	// messages may have waited during the pause.
	pauseGuard = time.Second
)

// wallClock corrects this process's wall clock by the median offset of the
// daemons' wall clocks, because the wall clock that a process reads at its start
// may be seconds off. Each daemon sends its own clock without the correction, so
// that all daemons compute the same median.
type wallClock struct {
	samples map[msg.HostID]clockSample
	// lastTick is the time of the last tick. Samples are ignored until
	// trustedFrom, because their messages may have waited while the process was
	// paused.
	lastTick, trustedFrom msg.Time
}

// clockSample is the offset of another daemon's wall clock.
type clockSample struct {
	at msg.Time
	// ahead is the other clock's time minus this one's.
	ahead time.Duration
}

func newWallClock() wallClock { return wallClock{samples: make(map[msg.HostID]clockSample)} }

// observe records the wall clock of another daemon from a message that has just
// arrived. own is this process's wall clock.
func (c *wallClock) observe(now msg.Time, from msg.HostID, wallMS int64, own time.Time) {
	if wallMS == 0 || now < c.trustedFrom || now-c.lastTick > maxTickGap {
		return
	}
	ahead := time.UnixMilli(wallMS).Sub(own)
	// The longer a message was in transit, the more its sender's clock seems to
	// be behind. The sample that is furthest ahead is therefore the best one.
	if old, ok := c.samples[from]; ok && now-old.at < maxSampleAge/2 && ahead < old.ahead {
		return
	}
	c.samples[from] = clockSample{now, ahead}
}

// onTick detects pauses of the process.
func (c *wallClock) onTick(now msg.Time) {
	if now-c.lastTick > maxTickGap {
		c.trustedFrom = now + pauseGuard
	}
	c.lastTick = now
}

// correction returns the duration to add to this process's wall clock.
func (c *wallClock) correction(now msg.Time) time.Duration {
	offsets := []time.Duration{0}
	for id, sample := range c.samples {
		if now-sample.at > maxSampleAge {
			delete(c.samples, id)
			continue
		}
		offsets = append(offsets, sample.ahead)
	}
	slices.Sort(offsets)
	if median := offsets[(len(offsets)-1)/2]; median.Abs() >= minCorrection {
		return median
	}
	return 0
}
