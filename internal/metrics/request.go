package metrics

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// request is a request under way, as far as the metrics need it.
type request struct {
	arrived  msg.Time
	route    string
	class    string
	account  msg.AccountID
	attempts int
	tokens   int
	first    msg.Time
	last     msg.Time
	current  []msg.AttemptID
}

func (m *Metrics) onArrived(now msg.Time, ev msg.RequestArrived) {
	r := &request{arrived: now, route: labelUnknown, class: labelUnknown}
	name := ev.Model
	if ev.Service != "" {
		name = ev.Service
	}
	if m.index != nil {
		if route := m.index.Route(name); route != nil {
			r.route, r.class = route.Name, string(route.Class)
		}
	}
	m.requests[ev.Req] = r
	m.inFlight.Set(float64(len(m.requests)))
}

func (m *Metrics) onAttempt(now msg.Time, eff msg.StartAttempt) {
	r := m.requests[eff.Req]
	if r == nil {
		return
	}
	r.account = eff.Spec.Account
	r.attempts++
	r.current = append(r.current, eff.Attempt)
	m.attempts[eff.Attempt] = r
	if r.attempts > 1 {
		m.retries.WithLabelValues(r.route).Inc()
		return
	}
	m.queueWait.WithLabelValues(r.class, m.accounts.of(r.account)).Observe((now - r.arrived).Seconds())
}

func (m *Metrics) onProgress(now msg.Time, ev msg.AttemptProgress) {
	r := m.attempts[ev.Attempt]
	if r == nil || ev.Tokens <= r.tokens {
		return
	}
	added := ev.Tokens - r.tokens
	if r.tokens == 0 {
		r.first = now
		m.firstToken.WithLabelValues(r.route).Observe((now - r.arrived).Seconds())
	} else {
		m.betweenTokens.WithLabelValues(r.route).Observe((now - r.last).Seconds() / float64(added))
	}
	r.tokens, r.last = ev.Tokens, now
}

// finish ends a request whose whole answer has reached the caller.
func (m *Metrics) finish(now msg.Time, id msg.RequestID) {
	if r := m.requests[id]; r != nil && r.isGood() {
		m.good.WithLabelValues(r.route, m.accounts.of(r.account)).Inc()
	}
	m.end(now, id, msg.OutcomeRun.String())
}

// isGood reports whether an answer met the limits of the first token and, on
// average, between tokens. An answer without tokens, of a plain service, is
// good when it is whole.
func (r *request) isGood() bool {
	if r.tokens == 0 {
		return true
	}
	if r.first-r.arrived > GoodFirstToken {
		return false
	}
	return r.tokens < 2 || (r.last-r.first)/msg.Time(r.tokens-1) <= GoodBetweenTokens
}

func (m *Metrics) end(now msg.Time, id msg.RequestID, outcome string) {
	r := m.requests[id]
	if r == nil {
		return
	}
	delete(m.requests, id)
	delete(m.claims, id)
	for _, a := range r.current {
		delete(m.attempts, a)
	}
	m.inFlight.Set(float64(len(m.requests)))
	m.total.WithLabelValues(r.route, r.class, m.accounts.of(r.account), outcome).Inc()
	m.seconds.WithLabelValues(r.route).Observe((now - r.arrived).Seconds())
}
