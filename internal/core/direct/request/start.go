package request

import (
	"fmt"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxPriority is the number of the lowest priority that engines support.
	maxPriority = 9
	// attemptGrace is how long after its request's deadline an attempt still
	// counts as open work of its target if its end has not been reported. The
	// target has stopped working on it long before.
	attemptGrace = 10 * time.Second
)

// startAttempt starts an attempt at the chosen candidate. The list of all
// candidates, in order of their costs, is for the log.
func (s *stepContext) startAttempt(r *request, c candidate, list []candidate) {
	a := &attempt{
		id: s.newAttemptID(), req: r, target: c.target, step: c.step, class: c.class, priority: c.class.priority(r), sentAt: s.now,
		dropAt: r.deadline + attemptGrace, work: c.work, prefill: c.prefill, expected: c.response, unqueued: s.findsIdle(r, c),
		tokens: r.arrival.PromptTokens, segments: r.segments, fingerprint: r.fingerprint,
		process: c.target.StartedMS, version: c.target.Version,
	}
	r.attempt = a
	r.attemptsSent++
	s.poison.BeginTrial(s.now, r.fingerprint)
	r.placedLate = r.placedLate || c.class == background
	s.leaveQueue(r, true)
	s.chargeRun(r, c.step)
	r.countArrival(c.step, 1)
	s.attempts[a.id] = a
	c.target.addAttempt(s.now, a)
	s.sentAt[r.service] = s.now
	s.announcePrefill(a)
	spec := msg.DirectAttemptSpec{
		Step: c.step, Target: c.target.Target, Addr: c.target.Addr, Service: r.service,
		Retry: r.route.Retry, Account: r.accountID(), Deadline: r.deadline, Priority: -1,
		LastEvent: r.lastEvent, StallTimeout: stallTimeout(r.route, c.step),
		Patient: c.step != msg.StepPrefill && s.isLastRun(r),
		Process: s.requiredProcess(r, c),
	}
	if r.hasPrompt() {
		spec.Priority = a.priority
	}
	if c.fetchFrom != nil {
		spec.CacheFrom = c.fetchFrom.Addr
	}
	if c.step == msg.StepDecode {
		spec.Handle = r.handle
		spec.HandleAddr = r.source.Addr
		a.handle = r.handle
		r.handle = ""
	}
	s.emit(msg.StartDirectAttempt{Req: r.arrival.Req, Attempt: a.id, Spec: spec})
	s.logPlaced(r, a, c, list)
}

// findsIdle reports whether a prefill or a request of a plain service at a candidate is
// expected to begin at once, and its duration to show the speed of the target.
func (s *stepContext) findsIdle(r *request, c candidate) bool {
	if !r.hasPrompt() {
		return s.openStreams(c.target) < c.target.Slots
	}
	return c.wait == 0 && c.fetchFrom == nil && s.backlog(c.target, background) == 0 && c.target.pending(s.now) == 0
}

func (s *stepContext) logPlaced(r *request, a *attempt, c candidate, list []candidate) {
	from := ""
	if c.fetchFrom != nil {
		from = string(c.fetchFrom.Target)
	}
	s.logRequest(r, "placed",
		attr("attempt", a.id), attr("target", c.target.Target), attr("step", c.step), attr("class", c.class),
		attr("route", r.route.Name), attr("account", r.accountID()), attr("version", s.table.version), attr("tokens", r.arrival.PromptTokens),
		attr("cost_ms", formatMS(c.cost)), attr("expected_ms", formatMS(c.expected)), attr("wait_ms", formatMS(c.wait)), attr("work_ms", formatMS(c.prefill)),
		attr("speed", fmt.Sprintf("%.2f", s.speedFactor(c.target, 0, 0))), attr("pace_age_ms", s.formatPaceAge(c.target)),
		attr("fetch_from", from), attr("candidates", len(list)), attr("losers", formatLosers(list)),
		attr("target_version", c.target.Version), attr("process", c.target.StartedMS), attr("asked_ms_ago", formatMS(s.now-r.askedAt)), attr("resumes", r.arrival.Resumes), attr("last_event", r.lastEvent),
	)
}

// formatPaceAge formats the age of the pace that a target's speed takes into account.
func (s *stepContext) formatPaceAge(t *target) string {
	age, ok := s.speeds.PaceAge(s.now, t.Target)
	if !ok {
		return "none"
	}
	return formatMS(age)
}

// formatLosers formats the first candidates that were not chosen, with their
// costs. The list is in order of the costs, the chosen candidate first.
func formatLosers(list []candidate) string {
	var b strings.Builder
	for i := 1; i < len(list) && i <= maxLoggedLosers; i++ {
		if i > 1 {
			b.WriteByte(' ')
		}
		b.WriteString(string(list[i].target.Target))
		b.WriteByte('=')
		b.WriteString(formatMS(list[i].cost))
	}
	return b.String()
}

func (s *stepContext) onAttemptStarted(ev msg.DirectAttemptStarted) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	s.returnTo(a)
	s.recordLoad(a, ev.Load)
	s.applyNotice(a, ev.Notice)
	s.setReachable(a.target, true)
	s.confirmCompleted(a.target, a)
	s.observePrefill(a)
	s.observeCongestion(a)
	a.startedAt = s.now
	a.target.recordFirstToken(a)
	s.recordCached(a)
	if a.req != nil {
		a.req.response = max(a.req.response, msg.ResponseStream)
		a.req.mayHaveRun = true
		s.recordOrigin(a.req, a)
		s.countRun(a.req)
		s.raise(msg.FirstTokenReceived{Route: a.req.route.Name, Step: a.step, Waited: s.now - a.req.arrivedAt, Cause: s.latenessCause(a.req)})
		s.logRequest(a.req, "first token received",
			attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", formatMS(s.now-a.sentAt)),
			attr("expected_ms", formatMS(a.expected)), attr("pace", fmt.Sprintf("%.2f", a.pace)),
		)
	}
}

// onBodyStarted records that an attempt's body is passed on to the caller.
func (s *stepContext) onBodyStarted(ev msg.DirectBodyStarted) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	s.returnTo(a)
	s.recordLoad(a, ev.Load)
	s.applyNotice(a, ev.Notice)
	s.setReachable(a.target, true)
	s.confirmCompleted(a.target, a)
	a.target.recordFirstToken(a)
	if r := a.req; r != nil {
		r.response = msg.ResponseBody
		r.mayHaveRun = true
		s.countRun(r)
		s.logRequest(r, "body is passed on as it arrives", attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", formatMS(s.now-a.sentAt)))
	}
}

// countRun counts a request for usage once it has begun to run. Further runs of
// the same request are not counted.
func (s *stepContext) countRun(r *request) {
	if r.usageCounted {
		return
	}
	r.usageCounted = true
	s.raise(msg.RunCounted{Account: r.accountID(), Wall: s.wall})
}

// timeLeft returns the time until a request's deadline.
func (s *stepContext) timeLeft(r *request) time.Duration { return r.deadline - s.now }
