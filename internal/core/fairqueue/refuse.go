package fairqueue

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull    Reason = "too many requests wait"
	ReasonAccountFull  Reason = "too many requests of the client account wait"
	ReasonTokenLimit   Reason = "the client account is at its token limit"
	ReasonCannotBeMet  Reason = "the request can't start before its deadline"
	ReasonEvicted      Reason = "requests of other client accounts need the place"
	minRetry                  = time.Second
	maxRetry                  = 30 * time.Second
	minServiceMeasured        = 1.0
)

// Refusal says why a request was not queued and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// refusal returns why a request can't be queued, or nil.
func (q *Queue) refusal(now msg.Time, a *account, it *Item) *Refusal {
	limit := q.cfg.AccountQueued
	if a.limits.Queued > 0 {
		limit = a.limits.Queued
	}
	if a.queued >= limit {
		return &Refusal{Reason: ReasonAccountFull, RetryAfter: q.clearTime(a)}
	}
	if rate := a.limits.TokensPerSecond; rate > 0 && a.bucket < 0 {
		return &Refusal{Reason: ReasonTokenLimit, RetryAfter: clamp(-a.bucket / rate)}
	}
	if q.cfg.Policy == PolicyFIFO {
		return nil
	}
	if wait := q.wait(a, it); now+wait > it.StartBy {
		return &Refusal{Reason: ReasonCannotBeMet, RetryAfter: clamp(wait.Seconds())}
	}
	return nil
}

// wait estimates the time until a further request of the account starts, from
// the account's waiting requests and the rate at which they are served. Only the requests
// of the same or a lower class are ahead of it.
func (q *Queue) wait(a *account, it *Item) time.Duration {
	ahead := 0.0
	for class := range it.Class + 1 {
		ahead += a.tokens[class]
	}
	rate := a.drained.rate(q.last)
	if ahead == 0 || rate < minServiceMeasured {
		return 0
	}
	return seconds(ahead / rate)
}

// clearTime estimates the time until the account's waiting requests are
// served.
func (q *Queue) clearTime(a *account) time.Duration {
	rate := a.drained.rate(q.last)
	if rate < minServiceMeasured {
		return minRetry
	}
	return clamp(a.waitingTokens() / rate)
}

// drain measures how fast an account's requests are served while others of it
// wait. Service at other times tells nothing of what could be had.
type drain struct {
	since  msg.Time
	tokens float64
}

const (
	// drainMin is the time of waiting after which the rate is known, and
	// drainMax that after which older service counts half.
	drainMin = time.Second
	drainMax = 4 * time.Second
)

// begin starts the measurement when requests begin to wait.
func (d *drain) begin(now msg.Time) { *d = drain{since: now} }

// add counts service to a waiting request.
func (d *drain) add(now msg.Time, tokens float64) {
	d.tokens += tokens
	if now-d.since > drainMax {
		d.since += (now - d.since) / 2
		d.tokens /= 2
	}
}

// rate is in tokens a second; zero where it is not known.
func (d *drain) rate(now msg.Time) float64 {
	waited := now - d.since
	if waited < drainMin {
		return 0
	}
	return d.tokens / waited.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func clamp(s float64) time.Duration {
	return min(max(seconds(s), minRetry), maxRetry)
}
