package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxAttempts is the largest number of attempts of one request, whatever
	// their results.
	maxAttempts = 5
	// minTimeLeft is the least time before the deadline at which another
	// attempt is started.
	minTimeLeft = 40 * time.Millisecond
	// requestOver is the reason for which attempts of requests that have ended are
	// cancelled.
	requestOver = "the request is over"
)

func (s *stepContext) onAttemptEnded(ev msg.DirectAttemptEnded) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	if ev.Result == msg.DirectDone {
		s.returnTo(a)
	}
	s.recordResult(a, ev)
	r := a.req
	if r == nil {
		if ev.Result == msg.DirectPrefilled {
			s.emit(msg.FreeHandle{Addr: a.target.Addr, Handle: ev.Handle})
		}
		return
	}
	r.attempt = nil
	r.lastEvent = max(r.lastEvent, ev.LastEvent)
	r.response = max(r.response, ev.Response)
	s.logRequest(r, "attempt ended",
		attr("attempt", a.id), attr("target", a.target.Target), attr("result", ev.Result),
		attr("status", ev.Status), attr("took_ms", formatMS(s.now-a.sentAt)), attr("expected_ms", formatMS(a.expected)), attr("reason", ev.Reason),
		attr("response", ev.Response), attr("forwarded_bytes", ev.ForwardedBytes),
	)
	s.afterAttempt(r, a, ev)
}

// recordResult updates what is known about a target from the end of an attempt.
func (s *stepContext) recordResult(a *attempt, ev msg.DirectAttemptEnded) {
	t := a.target
	s.recordLoad(a, ev.Load)
	s.applyNotice(a, ev.Notice)
	if ev.Status != 0 && !ev.Misdirected {
		s.setReachable(t, true)
	}
	switch ev.Result {
	case msg.DirectDone, msg.DirectPrefilled:
		s.confirmCompleted(t, a)
		s.observePrefill(a)
		s.observeCongestion(a)
		s.observeStream(a)
		t.recordFirstToken(a)
		t.updateFailureRate(s.now, true)
		if a.segments == nil && a.prefill == 0 {
			s.observeLatency(a, s.now-a.sentAt)
		}
		if ev.Result == msg.DirectPrefilled {
			s.recordCached(a)
		}
	case msg.DirectFailed:
		t.updateFailureRate(s.now, false)
	case msg.DirectNotRun:
		t.updateFailureRate(s.now, false)
		t.recordRefusal(s.now, a, ev.Misdirected)
	case msg.DirectUnreachable:
		t.updateFailureRate(s.now, false)
		t.backOff(s.now)
		s.setReachable(t, false)
		s.recordCrash(t)
	case msg.DirectInterrupted:
		t.updateFailureRate(s.now, false)
		s.addInterrupted(t, a)
	case msg.DirectNotSent:
		s.recordProcess(t, a, ev.Process)
	}
	t.removeAttempt(a)
}

// afterAttempt decides how a request continues after the end of its attempt.
func (s *stepContext) afterAttempt(r *request, a *attempt, ev msg.DirectAttemptEnded) {
	switch ev.Result {
	case msg.DirectDone:
		r.mayHaveRun = true
		s.countRun(r)
		s.clearCrashes(a, ev.Unframed)
		s.emit(msg.FinishRequest{Req: r.arrival.Req})
		s.close(r, msg.EndAnswered, "")
	case msg.DirectCancelled:
		// While a request is open, its current attempt is cancelled only if the
		// caller disconnects.
		r.mayHaveRun = r.mayHaveRun || a.step != msg.StepPrefill
		s.logRequest(r, "caller disconnected")
		s.close(r, msg.EndCallerDisconnected, "")
	case msg.DirectPrefilled:
		r.handle = ev.Handle
		r.source = a.target.Instance
		s.tryNext(r)
	default:
		r.exclude = append(r.exclude, a.target.Target)
		s.afterFailedAttempt(r, a, ev)
	}
}

// afterFailedAttempt decides how a request continues after an attempt without a
// usable result. A target that has gone silent but answers may work on when its connection
// is closed, so that the request must not run beside that run.
func (s *stepContext) afterFailedAttempt(r *request, a *attempt, ev msg.DirectAttemptEnded) {
	switch ev.Result {
	case msg.DirectUnreachable, msg.DirectNotSent:
		r.countArrival(a.step, -1)
		if ev.Result == msg.DirectNotSent && r.isRetry(a.step) {
			s.retryBudget(r.service).refund()
		}
		r.handle = a.handle
		s.tryNext(r)
		return
	case msg.DirectNotRun:
		if ev.Misdirected {
			r.handle = a.handle
		}
		s.tryNext(r)
		return
	}
	if a.step == msg.StepPrefill {
		s.tryNext(r)
		return
	}
	r.runs++
	r.mayHaveRun = true
	if ev.Result == msg.DirectFailed {
		s.countRun(r)
		r.failureHeld = true
	}
	if !ev.Answers && s.mayRunAgain(r, ev.Result) && r.runs < r.route.Attempts {
		s.tryNext(r)
		return
	}
	s.fail(r, ev.Result.String())
}

// mayRunAgain reports whether a request may run once more after a run that failed or was
// interrupted. The route has to allow that, and the new run has to continue what the
// caller has received of the response: nothing, or whole events of a stream. A stream
// whose target reported an error is not run again, because that error is its response.
// The number of runs is not checked here.
func (s *stepContext) mayRunAgain(r *request, result msg.DirectResult) bool {
	resumes := r.route.Retry == msg.RetryStream && r.route.Resumable && result == msg.DirectInterrupted
	switch r.response {
	case msg.ResponseStream:
		return resumes
	case msg.ResponseBody:
		return false
	default:
		return resumes || r.route.Retry == msg.RetryIdempotent
	}
}

// isLastRun reports whether no other run may follow the next one if it is interrupted.
func (s *stepContext) isLastRun(r *request) bool {
	return !s.mayRunAgain(r, msg.DirectInterrupted) || r.runs+1 >= r.route.Attempts
}

// tryNext starts the request's next attempt. If that is not possible, it ends
// the request.
func (s *stepContext) tryNext(r *request) {
	if r.attemptsSent >= maxAttempts || s.timeLeft(r) < minTimeLeft {
		s.fail(r, "no-time")
		return
	}
	ref := s.place(r)
	switch {
	case ref == nil:
	case r.mayHaveRun:
		s.fail(r, ref.code)
	default:
		s.refuse(r, *ref)
	}
}

// fail ends a request that can't be served. If a target returned an error
// response and no part of another response has reached the caller, that error
// response is forwarded.
func (s *stepContext) fail(r *request, code string) {
	if r.failureHeld && r.response == msg.ResponseNone {
		s.emit(msg.ForwardFailure{Req: r.arrival.Req})
		s.logRequest(r, "forwarded the error response of the target", attr("code", code), attr("route", r.route.Name))
		s.close(r, msg.EndFailure, code)
		return
	}
	ref := refusal{statusUnavailable, code, retryAfterShort}
	if r.mayHaveRun {
		ref = refusal{statusBadGateway, code, 0}
	}
	s.refuse(r, ref)
}

// refuse responds to a request with a refusal and closes it. If a part of a
// response has already been sent to the caller, it aborts that response instead.
func (s *stepContext) refuse(r *request, ref refusal) {
	outcome := msg.OutcomeNotRun
	if r.mayHaveRun {
		outcome = msg.OutcomeUnknown
	}
	end := msg.EndRefused
	if r.response != msg.ResponseNone {
		end = msg.EndAborted
		s.emit(msg.AbortRequest{Req: r.arrival.Req, Code: ref.code, Outcome: outcome})
	} else {
		s.emit(msg.RefuseRequest{Req: r.arrival.Req, Status: ref.status, Code: ref.code, Outcome: outcome, RetryAfter: ref.retryAfter})
		s.rememberRefused(r, ref)
	}
	route := msg.RouteID("")
	if r.route != nil {
		route = r.route.Name
	}
	s.logRequest(r, "refused",
		attr("status", ref.status), attr("code", ref.code), attr("outcome", outcome), attr("route", route),
		attr("config_age_ms", formatMS(s.now-s.confirmedAt)), attr("retry_after_ms", formatMS(ref.retryAfter)),
	)
	s.close(r, end, ref.code)
}

// rememberRefused remembers a refused prompt whose caller was told to come back.
func (s *stepContext) rememberRefused(r *request, ref refusal) {
	if ref.retryAfter > 0 && r.fingerprint != 0 && r.hasPrompt() {
		s.refusals.Add(s.now, r.fingerprint, r.askedAt, r.deadline)
	}
}

// close removes a request and frees its resources. If an attempt is still open,
// it is cancelled.
func (s *stepContext) close(r *request, end msg.DirectRequestResult, code string) {
	s.raise(msg.DirectRequestEnded{Req: r.arrival.Req, End: end, Code: code, Waited: s.now - r.arrivedAt})
	s.leaveQueue(r, false)
	s.settleQuota(r)
	s.endOrigin(r, end == msg.EndAnswered)
	if a := r.attempt; a != nil {
		a.req = nil
		r.attempt = nil
		s.emit(msg.CancelAttempt{Attempt: a.id, Reason: requestOver})
	}
	if r.handle != "" {
		s.emit(msg.FreeHandle{Addr: r.source.Addr, Handle: r.handle})
		r.handle = ""
	}
	delete(s.requests, r.arrival.Req)
}

func (s *stepContext) onCallerDisconnected(ev msg.CallerDisconnected) {
	r := s.requests[ev.Req]
	if r == nil {
		return
	}
	s.logRequest(r, "caller disconnected")
	s.close(r, msg.EndCallerDisconnected, "")
}

// countOpenRun records that an open attempt may have run the request, unless it is a
// prefill, which is not a run.
func (r *request) countOpenRun() {
	if r.attempt != nil && r.attempt.step != msg.StepPrefill {
		r.mayHaveRun = true
	}
}

// expire ends a request whose deadline has passed.
func (s *stepContext) expire(r *request) {
	r.countOpenRun()
	ref := refusal{statusTimeout, "timeout", 0}
	if !r.mayHaveRun {
		ref = refusal{statusUnavailable, "timeout", retryAfterShort}
	}
	s.refuse(r, ref)
}
