// Package bootclock reads a clock that goes on while the machine is
// suspended, which Go's monotonic clock does not.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from its start.
type Clock struct{ start time.Duration }

// New starts a clock.
func New() *Clock { return &Clock{start: read()} }

// Now returns the time since the clock's start, suspension included.
func (c *Clock) Now() time.Duration { return read() - c.start }

func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
