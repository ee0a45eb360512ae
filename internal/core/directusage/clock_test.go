package directusage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var clockStart = time.Unix(1_000_000, 0)

// heardAt delivers the clock of another daemon, which is ahead of this one.
func heardAt(c *clock, now time.Duration, from string, ahead time.Duration) {
	own := clockStart.Add(now)
	c.heard(now, msg.HostID(from), own.Add(ahead).UnixMilli(), own)
}

func runClock(c *clock, from, to time.Duration) {
	for now := from; now <= to; now += 20 * time.Millisecond {
		c.tick(now)
	}
}

// The clock that this process read at its start was seconds off.
func TestClockFollowsTheMedian(t *testing.T) {
	is := is.New(t)
	c := newClock()
	runClock(&c, 0, time.Second)
	heardAt(&c, time.Second, "a", 2400*time.Millisecond)
	is.Equal(c.correction(time.Second), time.Duration(0)) // one against one
	heardAt(&c, time.Second, "b", 2395*time.Millisecond)
	is.Equal(c.correction(time.Second), 2395*time.Millisecond)
	heardAt(&c, time.Second, "d", 0)
	heardAt(&c, time.Second, "e", 0)
	is.Equal(c.correction(time.Second), time.Duration(0)) // most agree with this one
	is.Equal(c.correction(time.Minute), time.Duration(0)) // nothing is known of the others any more
}

func TestSmallDifferencesDoNotCount(t *testing.T) {
	is := is.New(t)
	c := newClock()
	runClock(&c, 0, time.Second)
	heardAt(&c, time.Second, "a", 200*time.Millisecond)
	heardAt(&c, time.Second, "b", 200*time.Millisecond)
	is.Equal(c.correction(time.Second), time.Duration(0))
}

// A message that was under way for long makes its sender look late.
func TestDelayedSamplesGiveWay(t *testing.T) {
	is := is.New(t)
	c := newClock()
	runClock(&c, 0, time.Second)
	for _, id := range []string{"a", "b", "d"} {
		heardAt(&c, time.Second, id, 0)
		heardAt(&c, time.Second, id, -900*time.Millisecond)
	}
	is.Equal(c.correction(time.Second), time.Duration(0))
}

// After a pause the messages that waited meanwhile say nothing of the time.
func TestSamplesAfterAPauseDoNotCount(t *testing.T) {
	is := is.New(t)
	c := newClock()
	runClock(&c, 0, time.Second)
	now := 8 * time.Second
	for _, id := range []string{"a", "b", "d"} {
		heardAt(&c, now, id, -7*time.Second) // before the first tick after it
	}
	c.tick(now)
	for _, id := range []string{"a", "b", "d"} {
		heardAt(&c, now, id, -6*time.Second)
	}
	is.Equal(c.correction(now), time.Duration(0))
}
