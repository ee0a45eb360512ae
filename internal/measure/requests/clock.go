package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/virtualtime"
)

// clock runs functions in order of virtual time.
type clock struct {
	now   time.Duration
	seq   uint64
	queue virtualtime.Queue
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	c.queue.Add(virtualtime.Event{At: c.now + d, Seq: c.seq, Run: f})
}

// every runs f immediately and then at the interval d.
func (c *clock) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		c.after(d, again)
	}
	again()
}

// runUntil advances virtual time to end and runs all functions that are due.
func (c *clock) runUntil(end time.Duration) {
	for ev, ok := c.queue.Next(end); ok; ev, ok = c.queue.Next(end) {
		c.now = ev.At
		ev.Run()
	}
	c.now = end
}
