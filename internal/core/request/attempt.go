package request

import (
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxAttempts bounds the attempts of one request; moves do not count.
const maxAttempts = 4

// excludeFor is the time for which a request keeps away from the targets that
// failed it, where there are no others.
const excludeFor = time.Second

// start starts an attempt for a queued request. It reports false where no
// target can take it now.
func (s *step) start(p *pool, r *request) bool {
	if r.route.Access == manifest.AccessKeyed && s.now >= s.freshUntil {
		return false
	}
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		s.refusePoison(r)
		return true
	}
	query := s.query(r)
	if query.Suspect && r.item != nil {
		p.drop(r)
		s.setAside(p, r)
		return true
	}
	if r.item != nil {
		query.Share = p.queue.Share(r.item)
		query.Over = query.Share < 1
	}
	d, ok := s.router.Pick(s.now, query)
	if !ok {
		if d.Candidates == 0 && s.now-r.excludedAt >= excludeFor {
			r.exclude = nil
		}
		return false
	}
	s.charge(p, r)
	r.state = stateRunning
	r.attempts++
	r.attempt = s.nextAttempt()
	r.target = d.Target
	s.attempts[r.attempt] = r
	s.router.Begin(s.now, r.attempt, d, query)
	s.decisions.add(r.arrived.Req, decisionOf(s.now, r.attempt, &d))
	s.logRoute(r, &d)
	s.emit(msg.StartAttempt{Req: r.arrived.Req, Attempt: r.attempt, Target: d.Target, Host: d.Host, Spec: s.spec(r, query)})
	return true
}

// charge charges the client account for the expected service.
func (s *step) charge(p *pool, r *request) {
	if r.item == nil {
		r.charged = s.newItem(r).Tokens
		p.queue.BeginAside(s.now, r.admitAccount(), r.charged)
		return
	}
	r.charged = r.item.Tokens
	p.queue.Begin(r.item)
}

// refusePoison ends a request under which two targets went down.
func (s *step) refusePoison(r *request) {
	s.refuse(r, refusal{statusUnprocessableEntity, CodePoison, "targets went down under this request", r.outcome, 0})
}

func (s *step) spec(r *request, q *routing.Request) msg.AttemptSpec {
	return msg.AttemptSpec{
		Attempt: r.attempt, Account: r.accountID(), Route: msg.RouteID(r.route.Name),
		Generation: s.generation, Priority: priority(r, q),
		PromptTokens: r.arrived.PromptTokens, MaxTokens: r.arrived.MaxTokens,
		Idempotent: r.idempotent, Timeout: r.deadline - s.now,
		Fingerprint: r.fingerprint, Suspect: q.Suspect,
	}
}

// priority is the engine's priority of an attempt, lower first: by class, and
// within it accounts over their fair share last.
func priority(r *request, q *routing.Request) int {
	p := 2 * int(r.class)
	if q.Over {
		p++
	}
	return p
}

func (s *step) logRoute(r *request, d *routing.Decision) {
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
	s.noteTarget(r, ev.Result)
	s.closeAttempt(r, ev.Usage)
	if ev.Result != msg.AttemptNotRun {
		r.outcome = msg.OutcomeUnknown
		s.raise(msg.UsageCounted{Account: r.accountID(), Attempt: ev.Attempt, Usage: ev.Usage})
	}
	s.settle(r, ev)
	s.dispatch(s.pool(r.pool.Name))
}

// noteTarget keeps what the end of an attempt tells of its target, and strikes
// a request whose target went down under it.
func (s *step) noteTarget(r *request, result msg.AttemptResult) {
	switch result {
	case msg.AttemptCrashed:
		r.crashes++
		s.router.Crashed(r.target)
		s.effects = append(s.effects, s.poison.RecordCrash(s.now, r.fingerprint, r.attempt)...)
	case msg.AttemptMoved:
		s.router.Draining(r.target)
	case msg.AttemptLost:
		r.crashes++
	case msg.AttemptDone:
		s.effects = append(s.effects, s.poison.ClearCrashes(r.fingerprint)...)
	}
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
		s.end(r, ev.Response)
	case s.refusedSuspect(r, ev):
		s.requeue(r)
	case s.retries(r, ev.Result):
		s.retry(r)
	default:
		s.giveUp(r, ev)
	}
}

// refusedSuspect reports whether the target took no suspect, which does not
// count as an attempt.
func (s *step) refusedSuspect(r *request, ev msg.AttemptEnded) bool {
	if ev.Result != msg.AttemptNotRun || s.now >= r.deadline || s.poison.CrashCount(r.fingerprint) == 0 {
		return false
	}
	r.attempts--
	s.router.OtherSuspect(r.target, s.now+max(ev.RetryAfter, retrySoon))
	return true
}

// retries reports whether another attempt follows, and counts it.
func (s *step) retries(r *request, result msg.AttemptResult) bool {
	if s.now >= r.deadline || r.crashes >= poison.CrashLimit {
		return false
	}
	if result != msg.AttemptNotRun && !r.idempotent {
		return false
	}
	switch result {
	case msg.AttemptMoved:
		r.attempts--
		return true
	case msg.AttemptCrashed, msg.AttemptLost:
		// Bounded by the crashes; a whole batch falls at once through no
		// fault of its account.
		return true
	}
	return r.attempts < maxAttempts && s.budgets.Spend(msg.RouteID(r.route.Name), r.accountID())
}

func (s *step) retry(r *request) {
	r.exclude = append(r.exclude, r.target)
	r.excludedAt = s.now
	r.startBy = r.deadline
	s.requeue(r)
}

func (s *step) giveUp(r *request, ev msg.AttemptEnded) {
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		s.refusePoison(r)
		return
	}
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
	s.end(r, ev.Response)
}
