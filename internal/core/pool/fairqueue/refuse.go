package fairqueue

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Reason is the reason for which a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull   Reason = "too many requests wait"
	ReasonAccountFull Reason = "too many requests of the client account wait"
	ReasonTokenLimit  Reason = "the client account is at its token limit"
	ReasonDeadline    Reason = "the request can't start before its deadline"
	ReasonEvicted     Reason = "requests of other client accounts need the place"
	// minRetryAfter and maxRetryAfter bound the advice for when to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// minMeasuredRate is the rate in tokens per second below which a rate counts
	// as not known.
	minMeasuredRate = 1.0
)

// Refusal is the reason for which a request was not queued, and the time after
// which the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// refusal returns the refusal of a request because of the account's limits or of
// its expected wait, or nil. Push checks the limit of the whole queue.
func (q *Queue) refusal(now msg.Time, a *account, it *Item) *Refusal {
	limit := q.cfg.AccountQueued
	if a.limits.Queued > 0 {
		limit = a.limits.Queued
	}
	if a.queued >= limit {
		return &Refusal{Reason: ReasonAccountFull, RetryAfter: q.timeToEmpty(a)}
	}
	if rate := a.limits.TokensPerSecond; rate > 0 && a.bucket < 0 {
		return &Refusal{Reason: ReasonTokenLimit, RetryAfter: clampRetryAfter(-a.bucket / rate)}
	}
	if q.cfg.Policy == PolicyFIFO {
		return nil
	}
	if wait := q.expectedWait(a, it); now+wait > it.StartBy {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: clampRetryAfter(wait.Seconds())}
	}
	return nil
}

// expectedWait estimates the time until another request of the account would
// start, from the account's waiting requests and the rate at which they are
// served. Only requests of the same or a more urgent class are served before
// it. The wait is zero while the rate is not known.
func (q *Queue) expectedWait(a *account, it *Item) time.Duration {
	ahead := 0.0
	for class := range it.Class + 1 {
		ahead += a.waitingTokens[class]
	}
	rate := a.throughput.rate(q.advancedTo)
	if ahead == 0 || rate < minMeasuredRate {
		return 0
	}
	return secondsToDuration(ahead / rate)
}

// timeToEmpty estimates the time until the account's waiting requests are
// served, as advice for when to retry.
func (q *Queue) timeToEmpty(a *account) time.Duration {
	rate := a.throughput.rate(q.advancedTo)
	if rate < minMeasuredRate {
		return minRetryAfter
	}
	return clampRetryAfter(a.totalWaitingTokens() / rate)
}

// rateMeter measures the rate at which an account's requests are served while
// others of the account wait. The service at other times is limited by the
// requests that arrive, and does not show what rate the account could get.
type rateMeter struct {
	since  msg.Time
	tokens float64
}

const (
	// minMeterTime is how long a rate must be measured before it is known.
	minMeterTime = time.Second
	// maxMeterTime is the measured time after which that time and the service in
	// it are halved, so that later service counts more.
	maxMeterTime = 4 * time.Second
)

// begin restarts the measurement when the account's first request begins to
// wait.
func (m *rateMeter) begin(now msg.Time) { *m = rateMeter{since: now} }

// add records the service of a waiting request that starts.
func (m *rateMeter) add(now msg.Time, tokens float64) {
	m.tokens += tokens
	if now-m.since > maxMeterTime {
		m.since += (now - m.since) / 2
		m.tokens /= 2
	}
}

// rate returns the rate in tokens per second, or zero while it is not known.
func (m *rateMeter) rate(now msg.Time) float64 {
	waited := now - m.since
	if waited < minMeterTime {
		return 0
	}
	return m.tokens / waited.Seconds()
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// clampRetryAfter converts a wait in seconds into advice for when to retry.
func clampRetryAfter(s float64) time.Duration {
	return min(max(secondsToDuration(s), minRetryAfter), maxRetryAfter)
}
