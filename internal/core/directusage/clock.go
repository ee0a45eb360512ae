package directusage

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// clockAge is the age at which another daemon's wall clock no longer
	// counts.
	clockAge = 10 * time.Second
	// leastStep is the least correction: clocks differ by less, and messages
	// take some time.
	leastStep = 300 * time.Millisecond
	// longestGap is the time between two ticks beyond which the process was
	// paused, and afterPause how long old messages are read then.
	longestGap = 300 * time.Millisecond
	afterPause = time.Second
)

// clock finds the wall time by the median of the daemons' wall clocks: the one
// that a process reads at its start may be seconds off. Each daemon tells its
// clock as its start set it, so all come to the same median.
type clock struct {
	others map[msg.HostID]otherClock
	// ticked is the last tick. Until trustAt messages may be old ones that
	// waited while the process was paused.
	ticked, trustAt msg.Time
}

type otherClock struct {
	at msg.Time
	// ahead is how far the other clock is ahead of this one.
	ahead time.Duration
}

func newClock() clock { return clock{others: make(map[msg.HostID]otherClock)} }

// heard takes the clock of another daemon, which a message has just brought.
func (c *clock) heard(now msg.Time, from msg.HostID, wallMS int64, own time.Time) {
	if wallMS == 0 || now < c.trustAt || now-c.ticked > longestGap {
		return
	}
	ahead := time.UnixMilli(wallMS).Sub(own)
	// A message that was under way for long makes its sender's clock look
	// late: the sample that is furthest ahead is the best one.
	if old, ok := c.others[from]; ok && now-old.at < clockAge/2 && ahead < old.ahead {
		return
	}
	c.others[from] = otherClock{now, ahead}
}

// tick notices a pause of the process.
func (c *clock) tick(now msg.Time) {
	if now-c.ticked > longestGap {
		c.trustAt = now + afterPause
	}
	c.ticked = now
}

// correction is what is to be added to this process's wall clock.
func (c *clock) correction(now msg.Time) time.Duration {
	all := []time.Duration{0}
	for id, o := range c.others {
		if now-o.at > clockAge {
			delete(c.others, id)
			continue
		}
		all = append(all, o.ahead)
	}
	slices.Sort(all)
	if median := all[(len(all)-1)/2]; median.Abs() >= leastStep {
		return median
	}
	return 0
}
