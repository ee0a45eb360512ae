package meter

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// clockAge is the age at which another daemon's wall clock no longer counts.
const clockAge = 10 * time.Second

// clock finds the wall time by the median of the daemons' wall clocks: the one
// that a process reads at its start may be seconds off. Each daemon tells its
// clock as its start set it, so all come to the same median.
type clock struct{ others map[msg.HostID]otherClock }

type otherClock struct {
	at msg.Time
	// ahead is how far the other clock is ahead of this one.
	ahead time.Duration
}

func newClock() clock { return clock{others: make(map[msg.HostID]otherClock)} }

// heard takes the clock of another daemon, which a message has just brought.
func (c *clock) heard(now msg.Time, from msg.HostID, wallMS int64, own time.Time) {
	if wallMS == 0 {
		return
	}
	c.others[from] = otherClock{now, time.UnixMilli(wallMS).Sub(own)}
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
	return all[(len(all)-1)/2]
}
