// Package admission queues prompts that no engine can start within their latency
// objective but that may still be served before their deadline.
//
// It answers bursts that end within the callers' patience. Prompts that can meet
// their objective do not pass through the queue and come first: waiting prompts start
// only where an engine has little to do. The queue estimates from the rate at which it
// empties how long a prompt would wait. A prompt that would wait for a large part of
// its time is refused on arrival, with the time after which there is room again, and
// one whose turn will no longer come in time is refused as soon as that is known.
package admission

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// patience is the fraction of its time that a prompt may be expected to wait when
	// it is queued. The rest makes up for errors of the estimate.
	patience = 0.5
	// rateInterval is the time between two updates of the rate, and rateWeight the
	// weight of one interval in the average.
	rateInterval = 100 * time.Millisecond
	rateWeight   = 0.2
	// idleRate is the rate that is assumed while nothing waits, and minRate the
	// lowest rate, as fractions of the capacity.
	idleRate = 0.3
	minRate  = 0.02
	// minRetryAfter is the shortest time after which a refused caller is asked to
	// come back.
	minRetryAfter = 300 * time.Millisecond
)

// Waiter is a prompt that waits for an engine.
type Waiter struct {
	Req msg.RequestID
	// Work is the time for which the prompt is expected to occupy an engine.
	Work time.Duration
	// StartBy is the last instant at which an engine can start the prompt in time
	// for the deadline.
	StartBy msg.Time
}

// Queue holds waiting prompts in the order of StartBy, so that a caller that comes
// back after a refusal, and has less time left, precedes newcomers.
type Queue struct {
	waiters []Waiter
	// capacity is the number of engines that this daemon can keep busy, and rate the
	// average number that the queue keeps busy.
	capacity, rate float64
	// started is the work that was started since measuredAt.
	started    time.Duration
	measuredAt msg.Time
}

// Len returns the number of waiting prompts.
func (q *Queue) Len() int { return len(q.waiters) }

// SetCapacity sets the number of engines that this daemon can keep busy: its share of
// all engines.
func (q *Queue) SetCapacity(engines float64) {
	q.capacity = engines
	if len(q.waiters) == 0 && q.rate == 0 {
		q.rate = idleRate * engines
	}
}

// Offer queues a prompt and reports true. If the prompt would wait too long, it
// reports false and the time after which there is expected to be room for it.
func (q *Queue) Offer(now msg.Time, w Waiter) (retryAfter time.Duration, ok bool) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b Waiter) int {
		if a.StartBy <= b.StartBy {
			return -1
		}
		return 1
	})
	wait := q.drainTime(q.workBefore(i))
	room := time.Duration(patience * float64(w.StartBy-now))
	if wait > room || room <= 0 {
		return max(wait-room, minRetryAfter), false
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	return 0, true
}

// workBefore returns the work of the first n waiting prompts.
func (q *Queue) workBefore(n int) time.Duration {
	var sum time.Duration
	for _, w := range q.waiters[:n] {
		sum += w.Work
	}
	return sum
}

// drainTime returns the time in which the queue is expected to start the given work.
func (q *Queue) drainTime(work time.Duration) time.Duration {
	return time.Duration(float64(work) / max(q.rate, minRate*q.capacity, 1e-3))
}

// Head returns the prompt that is to start next.
func (q *Queue) Head() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	return q.waiters[0], true
}

// Started removes a prompt that an engine has started.
func (q *Queue) Started(req msg.RequestID) {
	if w, ok := q.remove(req); ok {
		q.started += w.Work
	}
}

// Remove removes a prompt whose request has ended.
func (q *Queue) Remove(req msg.RequestID) { q.remove(req) }

func (q *Queue) remove(req msg.RequestID) (Waiter, bool) {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.Req == req })
	if i < 0 {
		return Waiter{}, false
	}
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return w, true
}

// Advance updates the rate. It removes and returns the prompts whose turn is not
// expected to come in time.
func (q *Queue) Advance(now msg.Time) []msg.RequestID {
	q.updateRate(now)
	var hopeless []msg.RequestID
	var before time.Duration
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool {
		if q.drainTime(before+w.Work) > w.StartBy-now {
			hopeless = append(hopeless, w.Req)
			return true
		}
		before += w.Work
		return false
	})
	return hopeless
}

// updateRate averages the rate at which prompts were started. While nothing waits,
// the rate returns to the one that is assumed for a new burst.
func (q *Queue) updateRate(now msg.Time) {
	elapsed := now - q.measuredAt
	if elapsed < rateInterval {
		return
	}
	rate := float64(q.started) / float64(elapsed)
	if len(q.waiters) == 0 {
		rate = max(rate, idleRate*q.capacity)
	}
	q.rate += rateWeight * (rate - q.rate)
	q.started = 0
	q.measuredAt = now
}
