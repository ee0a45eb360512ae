package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func waiter(id string, work, startBy time.Duration) Waiter {
	return Waiter{Req: msg.RequestID(id), Work: work, StartBy: startBy}
}

func newQueue() *Queue {
	q := &Queue{}
	q.SetCapacity(1)
	return q
}

func TestEarliestDeadlineStartsFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for _, w := range []Waiter{waiter("b", 10*time.Millisecond, 2*time.Second), waiter("a", 10*time.Millisecond, time.Second), waiter("c", 10*time.Millisecond, 2*time.Second)} {
		_, ok := q.Offer(0, w)
		is.True(ok)
	}
	for _, want := range []msg.RequestID{"a", "b", "c"} {
		w, _ := q.Head()
		is.Equal(w.Req, want)
		q.Started(w.Req)
	}
	_, ok := q.Head()
	is.True(!ok)
}

// A prompt whose start is already too late is not queued.
func TestPromptWithoutTimeIsRefused(t *testing.T) {
	is := is.New(t)
	_, ok := newQueue().Offer(time.Second, waiter("a", 0, time.Second))
	is.True(!ok)
}

// burst offers prompts of 20 ms each, more than the engines can serve, for a second.
// Of each 100 ms, the engines start work for the given time. It returns the numbers of
// prompts that were started, refused on arrival and refused later.
func burst(q *Queue, perTick int, free time.Duration) (started, refused, late int) {
	const work = 20 * time.Millisecond
	n := 0
	for now := msg.Time(0); now < 5*time.Second; now += 20 * time.Millisecond {
		for range perTick {
			if now >= time.Second {
				break
			}
			n++
			if _, ok := q.Offer(now, waiter(fmt.Sprint(n), work, now+2*time.Second)); !ok {
				refused++
			}
		}
		if now%(100*time.Millisecond) == 0 {
			for room := free; room >= work; room -= work {
				if w, ok := q.Head(); ok {
					q.Started(w.Req)
					started++
				}
			}
		}
		late += len(q.Advance(now))
	}
	return started, refused, late
}

// A burst that the engines can serve before the deadlines is served.
func TestShortBurstIsServed(t *testing.T) {
	is := is.New(t)
	started, refused, late := burst(newQueue(), 1, 80*time.Millisecond)
	is.Equal(started, 50)
	is.Equal(refused+late, 0)
}

// Under overload nearly all of the room is used, and what can't be served is refused
// on arrival, not after a wait.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	started, refused, late := burst(newQueue(), 10, 40*time.Millisecond)
	is.Equal(started+refused+late, 500)
	is.True(started >= 30) // The engines have room for 60 within the deadlines.
	is.True(late < started)
	is.True(refused > 10*late)
}

// Where the engines have no room, those that wait are refused before three quarters
// of their time have passed.
func TestHopelessPromptsAreRefusedEarly(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for i := range 10 {
		_, ok := q.Offer(0, waiter(fmt.Sprint(i), 30*time.Millisecond, 2*time.Second))
		is.True(ok)
	}
	var refusedAt msg.Time
	for now := msg.Time(0); q.Len() > 0; now += 20 * time.Millisecond {
		q.Advance(now)
		refusedAt = now
	}
	is.True(refusedAt < 1500*time.Millisecond)
}

// The time after which a caller is asked to return grows with the queue.
func TestRetryAfterFollowsQueue(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	var first, last time.Duration
	for i := range 400 {
		retry, ok := q.Offer(0, waiter(fmt.Sprint(i), 20*time.Millisecond, time.Second))
		if !ok && first == 0 {
			first = retry
		}
		last = retry
	}
	is.True(first >= minRetryAfter)
	is.Equal(first, last) // A refused prompt does not lengthen the queue.
	q.rate /= 4
	retry, ok := q.Offer(0, waiter("x", 20*time.Millisecond, time.Second))
	is.True(!ok)
	is.True(retry > first)
}
