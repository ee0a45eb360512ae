package requests

import (
	"container/heap"
	"time"
)

// clock runs functions in order of virtual time.
type clock struct {
	now   time.Duration
	seq   uint64
	queue timers
}

// timer is a function that runs at a virtual time.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, timer{at: c.now + d, seq: c.seq, run: f})
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
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// timers is a heap, ordered by time and then by creation.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
