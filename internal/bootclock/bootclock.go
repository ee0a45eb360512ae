// Package bootclock provides a clock that, unlike Go's monotonic clock, continues
// to run while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its start.
type Clock struct{ start time.Duration }

// New starts a clock.
func New() *Clock { return &Clock{start: bootTime()} }

// Now returns the time since the clock's start, including time during which the
// machine was suspended.
func (c *Clock) Now() time.Duration { return bootTime() - c.start }

// bootTime returns the time since the machine was booted.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
