package metrics

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// request is the state of an open request that the metrics need.
type request struct {
	arrived    msg.Time
	route      string
	class      string
	account    msg.AccountID
	attempts   int
	tokens     int
	firstToken msg.Time
	lastToken  msg.Time
	attemptIDs []msg.AttemptID
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
	r.attemptIDs = append(r.attemptIDs, eff.Attempt)
	m.attempts[eff.Attempt] = r
	if r.attempts > 1 {
		m.retries.WithLabelValues(r.route).Inc()
		return
	}
	m.queueWait.WithLabelValues(r.class, m.accounts.labelOf(r.account)).Observe((now - r.arrived).Seconds())
}

func (m *Metrics) onProgress(now msg.Time, ev msg.AttemptProgress) {
	r := m.attempts[ev.Attempt]
	if r == nil || ev.Tokens <= r.tokens {
		return
	}
	added := ev.Tokens - r.tokens
	if r.tokens == 0 {
		r.firstToken = now
		m.firstToken.WithLabelValues(r.route).Observe((now - r.arrived).Seconds())
	} else {
		m.betweenTokens.WithLabelValues(r.route).Observe((now - r.lastToken).Seconds() / float64(added))
	}
	r.tokens, r.lastToken = ev.Tokens, now
}

// finish ends a request whose caller has received the whole response.
func (m *Metrics) finish(now msg.Time, id msg.RequestID) {
	if r := m.requests[id]; r != nil && r.isGood() {
		m.goodRequests.WithLabelValues(r.route, m.accounts.labelOf(r.account)).Inc()
	}
	m.end(now, id, msg.OutcomeRun.String())
}

// isGood reports whether a whole response met the limits for the time to the first
// token and the mean time between tokens. A response without tokens, from a plain
// service, is always good.
func (r *request) isGood() bool {
	if r.tokens == 0 {
		return true
	}
	if r.firstToken-r.arrived > GoodFirstToken {
		return false
	}
	return r.tokens < 2 || (r.lastToken-r.firstToken)/msg.Time(r.tokens-1) <= GoodBetweenTokens
}

// end removes a request and counts it under its outcome.
func (m *Metrics) end(now msg.Time, id msg.RequestID, outcome string) {
	r := m.requests[id]
	if r == nil {
		return
	}
	delete(m.requests, id)
	delete(m.claimStarts, id)
	for _, a := range r.attemptIDs {
		delete(m.attempts, a)
	}
	m.inFlight.Set(float64(len(m.requests)))
	m.requestsTotal.WithLabelValues(r.route, r.class, m.accounts.labelOf(r.account), outcome).Inc()
	m.requestSeconds.WithLabelValues(r.route).Observe((now - r.arrived).Seconds())
}
