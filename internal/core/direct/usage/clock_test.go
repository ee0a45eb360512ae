package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var clockStart = time.Unix(1_000_000, 0)

// observeAt delivers the clock of another daemon that is ahead of this one.
func observeAt(c *wallClock, now time.Duration, from string, ahead time.Duration) {
	own := clockStart.Add(now)
	c.observe(now, msg.HostID(from), own.Add(ahead).UnixMilli(), own)
}

func runClock(c *wallClock, from, to time.Duration) {
	for now := from; now <= to; now += 20 * time.Millisecond {
		c.onTick(now)
	}
}

// This process read a clock at its start that is seconds behind the others.
func TestClockFollowsMedianOffset(t *testing.T) {
	is := is.New(t)
	c := newWallClock()
	runClock(&c, 0, time.Second)
	observeAt(&c, time.Second, "a", 2400*time.Millisecond)
	is.Equal(c.correction(time.Second), time.Duration(0)) // two clocks have no majority
	observeAt(&c, time.Second, "b", 2395*time.Millisecond)
	is.Equal(c.correction(time.Second), 2395*time.Millisecond)
	observeAt(&c, time.Second, "d", 0)
	observeAt(&c, time.Second, "e", 0)
	is.Equal(c.correction(time.Second), time.Duration(0)) // the majority agrees with this clock
	is.Equal(c.correction(time.Minute), time.Duration(0)) // all samples have expired
}

func TestSmallOffsetsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newWallClock()
	runClock(&c, 0, time.Second)
	observeAt(&c, time.Second, "a", 200*time.Millisecond)
	observeAt(&c, time.Second, "b", 200*time.Millisecond)
	is.Equal(c.correction(time.Second), time.Duration(0))
}

// A message that was delayed in transit makes its sender's clock seem to be
// behind.
func TestDelayedSamplesAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newWallClock()
	runClock(&c, 0, time.Second)
	for _, id := range []string{"a", "b", "d"} {
		observeAt(&c, time.Second, id, 0)
		observeAt(&c, time.Second, id, -900*time.Millisecond)
	}
	is.Equal(c.correction(time.Second), time.Duration(0))
}

// Messages that waited while the process was paused bring old clock values.
func TestSamplesAfterPauseAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newWallClock()
	runClock(&c, 0, time.Second)
	now := 8 * time.Second
	for _, id := range []string{"a", "b", "d"} {
		observeAt(&c, now, id, -7*time.Second) // before the first tick after the pause
	}
	c.onTick(now)
	for _, id := range []string{"a", "b", "d"} {
		observeAt(&c, now, id, -6*time.Second)
	}
	is.Equal(c.correction(now), time.Duration(0))
}
