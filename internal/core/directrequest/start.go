package directrequest

import (
	"fmt"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxPriority is the last rank that engines know.
	maxPriority = 9
	// forgetAfter is how long after its request's time an attempt counts whose
	// end is not told: its target has stopped long before.
	forgetAfter = 10 * time.Second
)

// start starts an attempt by the chosen candidate.
func (s *step) start(r *request, c candidate, list []candidate) {
	a := &attempt{
		id: s.nextAttempt(), req: r, target: c.target, step: c.step, rank: r.priority(), since: s.now,
		forgetAt: r.deadline + forgetAfter, work: c.work, expected: c.expected, tokens: r.arrived.PromptTokens, parts: r.parts, fingerprint: r.fingerprint,
	}
	r.attempt = a
	r.sends++
	r.sent(c.step, 1)
	s.attempts[a.id] = a
	c.target.begin(s.now, a)
	s.tellWork(a)
	spec := msg.DirectAttemptSpec{
		Step: c.step, Target: c.target.Target, Addr: c.target.Addr, Service: r.service,
		Retry: r.route.Retry, Account: r.accountID(), Deadline: r.deadline, Priority: -1,
		LastEvent: r.lastEvent,
	}
	if r.generation() {
		spec.Priority = a.rank
	}
	if c.from != nil {
		spec.CacheFrom = c.from.Addr
	}
	if c.step == msg.StepDecode {
		spec.Handle = r.handle
		spec.HandleAddr = r.source.Addr
		a.handle = r.handle
		r.handle = ""
	}
	s.emit(msg.StartDirectAttempt{Req: r.arrived.Req, Attempt: a.id, Spec: spec})
	s.logPlaced(r, a, c, list)
}

func (s *step) logPlaced(r *request, a *attempt, c candidate, list []candidate) {
	from := ""
	if c.from != nil {
		from = string(c.from.Target)
	}
	s.logRequest(r, "placed",
		attr("attempt", a.id), attr("target", c.target.Target), attr("step", c.step),
		attr("route", r.route.Name), attr("account", r.accountID()), attr("version", s.table.version), attr("tokens", r.arrived.PromptTokens),
		attr("cost_ms", ms(c.cost)), attr("expected_ms", ms(c.expected)), attr("wait_ms", ms(c.wait)), attr("work_ms", ms(c.work)),
		attr("fetch_from", from), attr("candidates", len(list)), attr("losers", losers(list)),
	)
}

// losers names the next best candidates with their costs.
func losers(list []candidate) string {
	var b strings.Builder
	for i := 1; i < len(list) && i <= logged; i++ {
		if i > 1 {
			b.WriteByte(' ')
		}
		b.WriteString(string(list[i].target.Target))
		b.WriteByte('=')
		b.WriteString(ms(list[i].cost))
	}
	return b.String()
}

func (s *step) onBegan(ev msg.DirectAttemptStarted) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	a.target.firstToken(s.now, a)
	s.cached(a)
	if a.req != nil {
		a.req.streaming = true
		a.req.mayRun = true
		s.countRun(a.req)
		s.raise(msg.FirstTokenReceived{Route: a.req.route.Name, Waited: s.now - a.req.since})
		s.logRequest(a.req, "first token",
			attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", ms(s.now-a.since)),
			attr("expected_ms", ms(a.expected)), attr("slow", fmt.Sprintf("%.2f", a.target.slow)),
		)
	}
}

// countRun counts a request's run for usage, once.
func (s *step) countRun(r *request) {
	if r.counted {
		return
	}
	r.counted = true
	s.raise(msg.RunCounted{Account: r.accountID(), Wall: s.wall})
}

// left is the time that a request still has.
func (s *step) left(r *request) time.Duration { return r.deadline - s.now }
