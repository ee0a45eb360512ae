package request

import (
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/route"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxAttempts bounds the attempts of one request; moves do not count.
const maxAttempts = 4

// start starts an attempt for a queued request. It reports false where no
// target can take it now.
func (s *step) start(p *pool, r *request) bool {
	if r.route.Access == manifest.AccessKeyed && s.now >= s.freshUntil {
		return false
	}
	query := s.query(r)
	query.Share = p.queue.Share(r.item)
	d, ok := s.router.Pick(s.now, query)
	if !ok {
		if d.Candidates == 0 {
			r.exclude = nil
		}
		return false
	}
	p.queue.Begin(r.item)
	r.charged = r.item.Tokens
	r.state = stateRunning
	r.attempts++
	r.attempt = s.nextAttempt()
	r.target = d.Target
	s.attempts[r.attempt] = r
	s.router.Begin(s.now, r.attempt, d, query)
	s.decisions.add(r.arrived.Req, decisionOf(s.now, r.attempt, &d))
	s.logRoute(r, &d)
	s.emit(msg.StartAttempt{Req: r.arrived.Req, Attempt: r.attempt, Target: d.Target, Host: d.Host, Spec: s.spec(r)})
	return true
}

func (s *step) spec(r *request) msg.AttemptSpec {
	return msg.AttemptSpec{
		Attempt: r.attempt, Account: r.accountID(), Route: msg.RouteID(r.route.Name),
		Generation: s.generation, Priority: int(r.class),
		PromptTokens: r.arrived.PromptTokens, MaxTokens: r.arrived.MaxTokens,
		Idempotent: r.idempotent, Timeout: r.deadline - s.now,
	}
}

func (s *step) logRoute(r *request, d *route.Decision) {
	s.log("route", "attempt routed",
		msg.Attr{Key: "request", Value: string(r.arrived.Req)},
		msg.Attr{Key: "attempt", Value: string(r.attempt)},
		msg.Attr{Key: "target", Value: string(d.Target)},
		msg.Attr{Key: "candidates", Value: strconv.Itoa(d.Candidates)},
		msg.Attr{Key: "cost", Value: strconv.FormatFloat(d.Cost, 'f', 4, 64)},
		msg.Attr{Key: "reason", Value: string(d.Reason)},
	)
}

func (s *step) onAccepted(ev msg.AttemptAccepted) {
	r := s.attempts[ev.Attempt]
	if r == nil {
		return
	}
	r.outcome = msg.OutcomeUnknown
	s.router.Accepted(s.now, ev.Attempt, ev.CachedTokens)
}

func (s *step) onProgress(ev msg.AttemptProgress) {
	r := s.attempts[ev.Attempt]
	if r == nil {
		return
	}
	r.tokens = max(r.tokens, ev.Tokens)
	r.outcome = msg.OutcomeUnknown
	s.router.Generating(s.now, ev.Attempt)
}

func (s *step) onEnded(ev msg.AttemptEnded) {
	r := s.attempts[ev.Attempt]
	if r == nil {
		return
	}
	if ev.Result == msg.AttemptCrashed {
		s.router.Crashed(r.target)
	}
	s.closeAttempt(r, ev.Usage)
	if ev.Result != msg.AttemptNotRun {
		r.outcome = msg.OutcomeUnknown
		s.raise(msg.UsageCounted{Account: r.accountID(), Attempt: ev.Attempt, Usage: ev.Usage})
	}
	s.settle(r, ev)
	s.dispatch(s.pool(r.pool.Name))
}

// closeAttempt ends the count of the request's attempt.
func (s *step) closeAttempt(r *request, usage msg.TokenUsage) {
	delete(s.attempts, r.attempt)
	s.router.End(s.now, r.attempt, usage)
	served := max(float64(usage.Prompt+usage.Generated), 0)
	if r.arrived.Service != "" {
		served = minTokens
	}
	s.pool(r.pool.Name).queue.End(r.accountID(), served-r.charged)
}

// settle decides what follows the end of the request's attempt.
func (s *step) settle(r *request, ev msg.AttemptEnded) {
	switch {
	case r.state == stateAnswered:
		s.endAnswered(r, ev)
	case ev.Result == msg.AttemptDone:
		r.outcome = msg.OutcomeRun
		s.learnOutput(r, int(ev.Usage.Generated))
		s.emit(msg.FinishRequest{Req: r.arrived.Req})
		s.end(r, ev.Answer)
	case s.retries(r, ev.Result):
		s.retry(r)
	default:
		s.giveUp(r, ev)
	}
}

// retries reports whether another attempt follows, and counts it.
func (s *step) retries(r *request, result msg.AttemptResult) bool {
	if s.now >= r.deadline {
		return false
	}
	if result != msg.AttemptNotRun && !r.idempotent {
		return false
	}
	if result == msg.AttemptMoved {
		r.attempts--
		return true
	}
	return r.attempts < maxAttempts && s.budgets.Spend(msg.RouteID(r.route.Name), r.accountID())
}

func (s *step) retry(r *request) {
	r.exclude = append(r.exclude, r.target)
	r.startBy = r.deadline
	s.requeue(r)
}

func (s *step) giveUp(r *request, ev msg.AttemptEnded) {
	ref := refusal{statusBadGateway, CodeTargetFailed, ev.Reason, r.outcome, 0}
	switch ev.Result {
	case msg.AttemptNotRun:
		ref.status = statusServiceUnavailable
		ref.code = CodeNoTarget
		ref.retryAfter = max(ev.RetryAfter, retrySoon)
	case msg.AttemptFailed:
		ref.outcome = msg.OutcomeRun
		r.outcome = msg.OutcomeRun
	}
	if ref.reason == "" {
		ref.reason = "the target did not answer"
	}
	s.refuse(r, ref)
}

// forgetAfter bounds the wait for the end of a cancelled attempt.
const forgetAfter = 30 * time.Second

// detach leaves an answered request to the end of its attempt. A claimed
// request is not cancelled: its answer is kept for resends.
func (s *step) detach(r *request, reason string) {
	r.state = stateAnswered
	r.forgetAt = max(s.now, r.deadline) + forgetAfter
	if r.claimed {
		return
	}
	r.forgetAt = s.now + forgetAfter
	s.emit(msg.CancelAttempt{Attempt: r.attempt, Reason: reason})
}

func (s *step) endAnswered(r *request, ev msg.AttemptEnded) {
	switch ev.Result {
	case msg.AttemptDone, msg.AttemptFailed:
		r.outcome = msg.OutcomeRun
	}
	s.end(r, ev.Answer)
}
