package request

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// reconsiderInterval is the time between two decisions on one overdue attempt.
const reconsiderInterval = 100 * time.Millisecond

// reconsiderAttempts starts attempts again at other targets: prefills that are presumed
// lost, and idempotent requests at targets that have turned slow or silent, as long as
// another target is expected to serve them in time. It answers a load in which targets
// turn slow for seconds under requests that were placed before.
func (s *stepContext) reconsiderAttempts() {
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.req == nil || a.req.attemptsSent >= maxAttempts {
			continue
		}
		switch {
		case a.step == msg.StepPrefill && a.target.presumedLost(s.now, a):
			s.restartElsewhere(a, "attempt abandoned, its response is presumed lost")
		case s.mayTakeBack(a) && s.servedSoonerElsewhere(a):
			s.restartElsewhere(a, "attempt abandoned, another target is expected to be in time")
		}
	}
}

// mayTakeBack reports whether an attempt that is overdue by more than the time that it
// was expected to take may be started again elsewhere. Its request must be idempotent, its
// route must allow one more run, since the run that is given up counts, and nothing of its
// response may have reached the caller. Prefills stay: a busy engine delays many at once,
// and each of them would be work for nothing.
func (s *stepContext) mayTakeBack(a *attempt) bool {
	r := a.req
	if r.response != msg.ResponseNone || r.hasPrompt() || r.route.Retry != msg.RetryIdempotent || r.runs+1 >= r.route.Attempts {
		return false
	}
	if s.now < a.reconsiderAt || a.overdue(s.now) <= a.expected {
		return false
	}
	a.reconsiderAt = s.now + reconsiderInterval
	return true
}

// servedSoonerElsewhere reports whether another target is expected to respond before the
// deadline, and in less time than the attempt has taken already. An attempt that is
// overdue is expected to take about as long again as it has taken.
func (s *stepContext) servedSoonerElsewhere(a *attempt) bool {
	r := a.req
	r.exclude = append(r.exclude, a.target.Target)
	list := s.candidates(r)
	r.exclude = r.exclude[:len(r.exclude)-1]
	if len(list) == 0 {
		return false
	}
	best := slices.MinFunc(list, func(a, b candidate) int { return int(a.cost - b.cost) })
	return best.expected < s.now-a.sentAt && s.now+best.expected <= r.deadline
}

// restartElsewhere replaces an attempt by one at another target if place finds one.
// Otherwise it leaves the request as it was. The text is logged.
func (s *stepContext) restartElsewhere(a *attempt, text string) {
	r := a.req
	if _, may := s.mayCrashTargets(r); may {
		return
	}
	runs := r.runs
	if a.step != msg.StepPrefill {
		r.runs++ // The next attempt is a further run.
	}
	r.attempt = nil
	r.exclude = append(r.exclude, a.target.Target)
	before := len(s.effects)
	if ref := s.place(r); ref != nil {
		r.attempt = a
		r.runs = runs
		r.exclude = r.exclude[:len(r.exclude)-1]
		return
	}
	cancel := msg.CancelAttempt{Attempt: a.id, Reason: "another attempt takes its place"}
	if a.step != msg.StepPrefill {
		r.mayHaveRun = true
		a.takenFrom = r
		cancel.UnlessBegun = true
	}
	a.req = nil
	a.target.updateFailureRate(s.now, false)
	// The cancellation comes first, so that the driver ends the old attempt
	// before it starts the new one.
	s.effects = slices.Insert(s.effects, before, msg.Effect(cancel))
	s.logRequest(r, text,
		attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", formatMS(s.now-a.sentAt)), attr("expected_ms", formatMS(a.expected)),
	)
}

// returnTo gives a request that was taken back from an attempt to that attempt again. The
// driver has begun to pass on its response before it was told to give it up, so that only
// this attempt can answer the request.
func (s *stepContext) returnTo(a *attempt) {
	r := a.takenFrom
	if r == nil {
		return
	}
	a.takenFrom = nil
	if s.requests[r.arrival.Req] != r {
		s.emit(msg.CancelAttempt{Attempt: a.id, Reason: requestOver})
		return
	}
	if other := r.attempt; other != nil {
		other.req = nil
		s.emit(msg.CancelAttempt{Attempt: other.id, Reason: "an earlier attempt has begun to answer"})
	}
	r.attempt, a.req = a, r
	s.logRequest(r, "attempt goes on, its response has begun", attr("attempt", a.id), attr("target", a.target.Target))
}
