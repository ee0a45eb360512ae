package request

import (
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxAttempts is the maximum number of attempts of one request. Attempts that
// moved to another target, or that were refused because the request is a
// suspect, do not count. Retries after a crash are limited by poison.CrashLimit
// instead.
const maxAttempts = 4

// excludeDuration is the time for which a request avoids the targets on which
// its attempts failed. After it, the request may run on them again if the
// router finds no other candidate.
const excludeDuration = time.Second

// startAttempt starts an attempt of a queued request and reports true. It
// reports false if the request has to wait on, because no target can run it now
// or because its route has keys and the configuration is not confirmed to be the
// newest. In two cases it reports true without starting an attempt: it refuses a
// request that has reached poison.CrashLimit, and it moves a queued request that
// is a suspect to the waiting suspects.
func (s *step) startAttempt(p *pool, r *request) bool {
	if r.route.Access == manifest.AccessKeyed && s.now >= s.freshUntil {
		return false
	}
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		s.refusePoisonRequest(r)
		return true
	}
	req := s.routingRequest(r)
	if req.Suspect && r.item != nil {
		p.removeWaiting(r)
		s.queueSuspect(p, r)
		return true
	}
	if r.item != nil {
		req.Share = p.queue.Share(r.item)
		req.Over = req.Share < 1
	}
	d, ok := s.router.Pick(s.now, req)
	if !ok {
		if d.Candidates == 0 && s.now-r.excludedAt >= excludeDuration {
			r.exclude = nil
		}
		return false
	}
	s.charge(p, r)
	r.state = stateRunning
	r.attempts++
	r.attempt = s.nextAttempt()
	r.continued = r.responseStarted()
	r.target = d.Target
	s.attempts[r.attempt] = r
	s.router.BeginAttempt(s.now, r.attempt, d, req)
	s.decisions.add(r.arrived.Req, newDecision(s.now, r.attempt, &d))
	s.logDecision(r, &d)
	s.emit(msg.StartAttempt{Req: r.arrived.Req, Attempt: r.attempt, Target: d.Target, Host: d.Host, Spec: s.attemptSpec(r, req)})
	return true
}

// charge charges the request's client account for the tokens that the request
// is expected to use.
func (s *step) charge(p *pool, r *request) {
	if r.item == nil {
		r.chargedTokens = s.newQueueItem(r).Tokens
		p.queue.BeginUnqueued(s.now, r.queueAccount(), r.chargedTokens)
		return
	}
	r.chargedTokens = r.item.Tokens
	p.queue.Begin(r.item)
}

// refusePoisonRequest ends a request that was running on CrashLimit targets
// when they went down.
func (s *step) refusePoisonRequest(r *request) {
	s.refuse(r, refusal{statusUnprocessableEntity, CodePoison, "targets went down under this request", r.outcome, 0})
}

// attemptSpec returns the description of the current attempt for the side
// daemon.
func (s *step) attemptSpec(r *request, q *routing.Request) msg.AttemptSpec {
	return msg.AttemptSpec{
		Attempt: r.attempt, Account: r.accountID(), Route: msg.RouteID(r.route.Name),
		Generation: s.generation, Priority: priority(r, q),
		PromptTokens: r.arrived.PromptTokens, MaxTokens: r.arrived.MaxTokens,
		Idempotent: r.idempotent, Timeout: r.deadline - s.now,
		Fingerprint: r.fingerprint, Suspect: q.Suspect, Continued: r.continued,
	}
}

// priority returns the priority of an attempt for the engine, where a lower
// number comes first. It follows the class, and within a class accounts over
// their fair share come last.
func priority(r *request, q *routing.Request) int {
	p := 2 * int(r.class)
	if q.Over {
		p++
	}
	return p
}

func (s *step) logDecision(r *request, d *routing.Decision) {
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
	s.router.RecordCacheHit(s.now, ev.Attempt, ev.CachedTokens)
}

func (s *step) onProgress(ev msg.AttemptProgress) {
	r := s.attempts[ev.Attempt]
	if r == nil {
		return
	}
	r.tokens = max(r.tokens, ev.Tokens)
	r.outcome = msg.OutcomeUnknown
	s.router.EndPrefill(s.now, ev.Attempt)
}

func (s *step) onEnded(ev msg.AttemptEnded) {
	r := s.attempts[ev.Attempt]
	if r == nil {
		return
	}
	s.recordTargetState(r, ev.Result)
	s.closeAttempt(r, ev.Usage)
	if ev.Result != msg.AttemptNotRun {
		r.outcome = msg.OutcomeUnknown
		s.raise(msg.UsageCounted{Account: r.accountID(), Attempt: ev.Attempt, Usage: ev.Usage, Continued: r.continued})
	}
	s.afterAttempt(r, ev)
	s.dispatch(s.pool(r.pool.Name))
}

// recordTargetState records what the end of an attempt shows about its target.
// It records a crash of the request if the target went down, and clears the
// request's crashes if the attempt is done.
func (s *step) recordTargetState(r *request, result msg.AttemptResult) {
	switch result {
	case msg.AttemptCrashed:
		r.crashes++
		s.router.MarkDown(r.target)
		s.effects = append(s.effects, s.poison.RecordCrash(s.now, r.fingerprint, r.attempt)...)
	case msg.AttemptMoved:
		s.router.MarkDraining(r.target)
	case msg.AttemptLost:
		r.crashes++
	case msg.AttemptDone:
		s.effects = append(s.effects, s.poison.ClearCrashes(s.now, r.fingerprint)...)
	}
}

// closeAttempt stops counting the request's attempt as running, and corrects
// the charge for it to the tokens that it used, or to minRequestTokens for a
// call of a plain service.
func (s *step) closeAttempt(r *request, usage msg.TokenUsage) {
	delete(s.attempts, r.attempt)
	s.router.EndAttempt(s.now, r.attempt, usage)
	served := max(float64(usage.Prompt+usage.Generated), 0)
	if r.arrived.Service != "" {
		served = minRequestTokens
	}
	s.pool(r.pool.Name).queue.End(r.accountID(), served-r.chargedTokens)
}

// afterAttempt decides how a request goes on after the end of its attempt.
func (s *step) afterAttempt(r *request, ev msg.AttemptEnded) {
	switch {
	case r.state == stateDetached:
		s.endDetached(r, ev)
	case ev.Result == msg.AttemptDone:
		r.outcome = msg.OutcomeRun
		s.updateExpectedOutput(r, int(ev.Usage.Generated))
		s.emit(msg.FinishRequest{Req: r.arrived.Req})
		s.end(r, ev.Response)
	case s.suspectRefused(r, ev):
		s.requeue(r)
	case s.takeRetry(r, ev.Result):
		s.retry(r)
	default:
		s.fail(r, ev)
	}
}

// suspectRefused reports whether an attempt of a suspect did not run although
// the request's deadline has not passed, and the retry budgets allow another one.
// The target is then taken to run another suspect: the attempt does not count
// towards maxAttempts, and the target gets no suspect of this entry for the time
// that its side daemon advised, which is at least retryAfterDefault.
func (s *step) suspectRefused(r *request, ev msg.AttemptEnded) bool {
	if ev.Result != msg.AttemptNotRun || s.now >= r.deadline || s.poison.CrashCount(r.fingerprint) == 0 {
		return false
	}
	if !s.budgets.TryWithdraw(msg.RouteID(r.route.Name), r.accountID()) {
		return false
	}
	r.attempts--
	s.router.MarkOtherSuspect(r.target, s.now+max(ev.RetryAfter, retryAfterDefault))
	return true
}

// takeRetry reports whether the request gets another attempt. A moved attempt
// does not count towards maxAttempts. Retries after a crash or the loss of the
// connection are limited by the number of crashes; other retries are limited by
// maxAttempts and withdrawn from the retry budgets. A non-idempotent request is
// retried only if its attempt did not run.
func (s *step) takeRetry(r *request, result msg.AttemptResult) bool {
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
		// The number of crashes bounds these retries. They do not use the
		// budgets, because a crash ends all attempts on the target, most of
		// which did not cause it.
		return true
	}
	return r.attempts < maxAttempts && s.budgets.TryWithdraw(msg.RouteID(r.route.Name), r.accountID())
}

// retry queues a request for another attempt on a target that it has not failed
// on.
func (s *step) retry(r *request) {
	r.exclude = append(r.exclude, r.target)
	r.excludedAt = s.now
	r.startBy = r.deadline
	s.requeue(r)
}

// fail ends a request whose attempt ended without a whole response and that
// gets no other attempt.
func (s *step) fail(r *request, ev msg.AttemptEnded) {
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		s.refusePoisonRequest(r)
		return
	}
	ref := refusal{statusBadGateway, CodeTargetFailed, ev.Reason, r.outcome, 0}
	switch ev.Result {
	case msg.AttemptNotRun:
		ref.status = statusServiceUnavailable
		ref.code = CodeNoTarget
		ref.retryAfter = max(ev.RetryAfter, retryAfterDefault)
	case msg.AttemptFailed:
		ref.outcome = msg.OutcomeRun
		r.outcome = msg.OutcomeRun
	}
	if ref.reason == "" {
		ref.reason = "the target did not answer"
	}
	s.refuse(r, ref)
}

// detachTimeout is how long a detached request waits for the end of its
// attempt, counted from the cancellation of the attempt. The attempt of a
// claimed request is not cancelled; for it the time counts from the request's
// deadline, or from when the request was detached if that is later.
const detachTimeout = 30 * time.Second

// detach puts a running request that has no caller any more into stateDetached,
// in which it waits for the end of its attempt. The attempt is cancelled, unless
// the request is claimed: then it runs on, so that its response can be stored
// for resends.
func (s *step) detach(r *request, reason string) {
	r.state = stateDetached
	r.detachedUntil = max(s.now, r.deadline) + detachTimeout
	if r.claimed {
		return
	}
	r.detachedUntil = s.now + detachTimeout
	s.emit(msg.CancelAttempt{Attempt: r.attempt, Reason: reason})
}

// endDetached ends a detached request after its attempt.
func (s *step) endDetached(r *request, ev msg.AttemptEnded) {
	switch ev.Result {
	case msg.AttemptDone, msg.AttemptFailed:
		r.outcome = msg.OutcomeRun
	}
	s.end(r, ev.Response)
}
