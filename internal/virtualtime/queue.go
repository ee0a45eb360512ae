// Package virtualtime holds the future events of a simulation in virtual time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Event is a function that runs at a virtual time. Events of the same time run in
// the order of Seq, which has to be unique.
type Event struct {
	At  time.Duration
	Seq uint64
	Run func()
}

// Queue holds events in the order in which they run. The zero value is empty.
type Queue struct{ events eventHeap }

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.events) }

// Add adds an event.
func (q *Queue) Add(ev Event) { heap.Push(&q.events, ev) }

// Next removes the first event and returns it, and reports whether there is one up to
// the given time. A later one stays.
func (q *Queue) Next(end time.Duration) (Event, bool) {
	if len(q.events) == 0 || q.events[0].At > end {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].Seq < h[j].Seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

// Pop implements [heap.Interface].
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
