package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxSends bounds the attempts of one request, whatever they came to.
	maxSends = 5
	// leastLeft is the time that a further attempt must have.
	leastLeft = 40 * time.Millisecond
)

func (s *step) onEnded(ev msg.DirectAttemptEnded) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	s.learn(a, ev)
	r := a.req
	if r == nil {
		if ev.Result == msg.DirectPrefilled {
			s.emit(msg.FreeHandle{Addr: a.target.Addr, Handle: ev.Handle})
		}
		return
	}
	r.attempt = nil
	r.lastEvent = max(r.lastEvent, ev.LastEvent)
	r.streaming = r.streaming || ev.Streaming
	s.logRequest(r, "attempt ended",
		attr("attempt", a.id), attr("target", a.target.Target), attr("result", ev.Result),
		attr("status", ev.Status), attr("took_ms", ms(s.now-a.since)), attr("reason", ev.Reason),
	)
	s.settle(r, a, ev)
}

// learn keeps what an attempt's end tells of its target.
func (s *step) learn(a *attempt, ev msg.DirectAttemptEnded) {
	t := a.target
	if ev.Load != nil {
		t.load = ev.Load
		t.loadAt = s.now
	}
	switch ev.Result {
	case msg.DirectDone, msg.DirectPrefilled:
		t.firstToken(s.now, a)
		t.outcome(s.now, true)
		if a.parts == nil && a.work == 0 {
			t.latencyOf(s.now - a.since)
		}
		if ev.Result == msg.DirectPrefilled {
			s.cached(a)
		}
	case msg.DirectFailed:
		t.outcome(s.now, false)
	case msg.DirectNotRun:
		t.outcome(s.now, false)
		t.refused(s.now, a, ev.Misdirected)
	case msg.DirectUnreachable:
		t.outcome(s.now, false)
		t.unreached(s.now)
		s.strike(t)
	case msg.DirectInterrupted:
		t.outcome(s.now, false)
		if a.step != msg.StepPrefill {
			t.broken = append(t.broken, brokenAttempt{s.now, a.id, a.fingerprint})
		}
	}
	t.end(s.now, a)
}

// settle decides what follows the end of a request's attempt.
func (s *step) settle(r *request, a *attempt, ev msg.DirectAttemptEnded) {
	switch ev.Result {
	case msg.DirectDone:
		s.countRun(r)
		s.emit(msg.FinishRequest{Req: r.arrived.Req})
		s.close(r, msg.EndAnswered, "")
	case msg.DirectCancelled:
		// Only the caller's leaving cancels the attempt of an open request.
		s.logRequest(r, "caller left")
		s.close(r, msg.EndCallerDisconnected, "")
	case msg.DirectPrefilled:
		r.handle = ev.Handle
		r.source = a.target.Instance
		s.next(r)
	default:
		r.exclude = append(r.exclude, a.target.Target)
		s.settleFailed(r, a, ev)
	}
}

// settleFailed decides what follows an attempt that came to nothing.
func (s *step) settleFailed(r *request, a *attempt, ev msg.DirectAttemptEnded) {
	switch ev.Result {
	case msg.DirectUnreachable:
		r.sent(a.step, -1)
		r.handle = a.handle
		s.next(r)
		return
	case msg.DirectNotRun:
		if ev.Misdirected {
			r.handle = a.handle
		}
		s.next(r)
		return
	}
	if a.step == msg.StepPrefill {
		s.next(r)
		return
	}
	r.runs++
	r.mayRun = true
	if ev.Result == msg.DirectFailed {
		s.countRun(r)
		r.held = true
	}
	if s.repeatable(r, ev.Result) && r.runs < r.route.Attempts {
		s.next(r)
		return
	}
	s.giveUp(r, ev.Result.String())
}

// repeatable reports whether a request may run once more after a run that
// came to nothing. A stream whose target reported a failure has one answer.
func (s *step) repeatable(r *request, result msg.DirectResult) bool {
	if r.route.Retry == msg.RetryIdempotent {
		return true
	}
	return r.route.Retry == msg.RetryStream && r.route.Resumable && result == msg.DirectInterrupted
}

// next starts the request's next attempt or ends it.
func (s *step) next(r *request) {
	if r.sends >= maxSends || s.left(r) < leastLeft {
		s.giveUp(r, "no-time")
		return
	}
	ref := s.place(r)
	switch {
	case ref == nil:
	case r.mayRun:
		s.giveUp(r, ref.code)
	default:
		s.refuse(r, *ref)
	}
}

// giveUp ends a request that can't be served: with a target's own failure
// where there is one.
func (s *step) giveUp(r *request, code string) {
	if r.held && !r.streaming {
		s.emit(msg.ForwardFailure{Req: r.arrived.Req})
		s.logRequest(r, "failure passed on", attr("code", code), attr("route", r.route.Name))
		s.close(r, msg.EndFailure, code)
		return
	}
	ref := refusal{statusUnavailable, code, retrySoon}
	if r.mayRun {
		ref = refusal{statusBadGateway, code, 0}
	}
	s.refuse(r, ref)
}

// refuse answers a request that is not served and closes its books.
func (s *step) refuse(r *request, ref refusal) {
	outcome := msg.OutcomeNotRun
	if r.mayRun {
		outcome = msg.OutcomeUnknown
	}
	end := msg.EndRefused
	if r.streaming {
		end = msg.EndAborted
		s.emit(msg.AbortRequest{Req: r.arrived.Req, Code: ref.code, Outcome: outcome})
	} else {
		s.emit(msg.RefuseRequest{Req: r.arrived.Req, Status: ref.status, Code: ref.code, Outcome: outcome, RetryAfter: ref.retryAfter})
	}
	route := msg.RouteID("")
	if r.route != nil {
		route = r.route.Name
	}
	s.logRequest(r, "refused",
		attr("status", ref.status), attr("code", ref.code), attr("outcome", outcome), attr("route", route),
		attr("config_age_ms", ms(s.now-s.freshAt)), attr("retry_after_ms", ms(ref.retryAfter)),
	)
	s.close(r, end, ref.code)
}

// close closes the books on a request. An attempt that is still open is
// cancelled.
func (s *step) close(r *request, end msg.DirectRequestResult, code string) {
	s.raise(msg.DirectRequestEnded{Req: r.arrived.Req, End: end, Code: code, Waited: s.now - r.since})
	if a := r.attempt; a != nil {
		a.req = nil
		r.attempt = nil
		s.emit(msg.CancelAttempt{Attempt: a.id, Reason: "the request is over"})
	}
	if r.handle != "" {
		s.emit(msg.FreeHandle{Addr: r.source.Addr, Handle: r.handle})
		r.handle = ""
	}
	delete(s.requests, r.arrived.Req)
}

func (s *step) onCallerGone(ev msg.CallerDisconnected) {
	r := s.requests[ev.Req]
	if r == nil {
		return
	}
	s.logRequest(r, "caller left")
	s.close(r, msg.EndCallerDisconnected, "")
}

// expire ends a request whose time is over.
func (s *step) expire(r *request) {
	if r.attempt != nil && r.attempt.step != msg.StepPrefill {
		r.mayRun = true
	}
	ref := refusal{statusTimeout, "timeout", 0}
	if !r.mayRun {
		ref = refusal{statusUnavailable, "timeout", retrySoon}
	}
	s.refuse(r, ref)
}
