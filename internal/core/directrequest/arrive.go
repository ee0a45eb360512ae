package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

// HTTP statuses of refusals.
const (
	statusUnauthorized = 401
	statusNotFound     = 404
	statusBadGateway   = 502
	statusUnavailable  = 503
	statusTimeout      = 504
)

const (
	// maxOpenRequests bounds the requests that are open on one entry.
	maxOpenRequests = 4096
	// defaultTimeout bounds a request for which neither the route nor the
	// caller does.
	defaultTimeout = 30 * time.Second
)

// Advice to callers on when to come back.
const (
	// retryAfterOtherEntry is for what another entry may serve at once.
	retryAfterOtherEntry = 50 * time.Millisecond
	retryAfterShort      = 500 * time.Millisecond
	retryAfterPoison     = 30 * time.Second
)

// refusal is the final answer to a request that is not served.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration
}

func (s *stepContext) onRequestArrived(ev msg.DirectRequestArrived) {
	r := &request{arrival: ev, arrivedAt: s.now, lastEvent: ev.LastEvent, segments: sharedSegments(ev.Segments)}
	if ref := s.admit(r); ref != nil {
		s.refuse(r, *ref)
		return
	}
	s.requests[ev.Req] = r
	s.retryBudget(r.service).countRequest(s.now, s.limits)
	if ref := s.place(r); ref != nil {
		s.refuse(r, *ref)
	}
}

// admit resolves the route, checks the caller and fills in the request. It
// returns a refusal where the request must not go on.
func (s *stepContext) admit(r *request) *refusal {
	switch {
	case s.table == nil:
		return &refusal{statusUnavailable, "no-config", retryAfterShort}
	case len(s.requests) >= maxOpenRequests:
		return &refusal{statusUnavailable, "too-many-open", retryAfterOtherEntry}
	}
	if ref := s.resolve(r); ref != nil {
		return ref
	}
	r.fingerprint = requestFingerprint(r)
	if s.poison.Strikes(r.fingerprint) >= poison.Limit {
		return &refusal{statusUnavailable, "poison", retryAfterPoison}
	}
	limit := r.route.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if t := r.arrival.Timeout; t > 0 {
		limit = min(limit, t)
	}
	r.deadline = s.now + limit
	r.service = s.table.pickService(r.route, s.rand.Float64())
	return nil
}

// resolve finds the route and the client account. Without a configuration
// that was confirmed lately nothing is said to be unknown or forbidden.
func (s *stepContext) resolve(r *request) *refusal {
	r.route = s.table.route(r.arrival.Host, r.arrival.Path)
	if r.route == nil {
		return s.rejection(statusNotFound, "unknown-route")
	}
	if r.route.Public || !s.table.keysRequired {
		return nil
	}
	if !s.configFresh(s.limits.AcceptMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryAfterOtherEntry}
	}
	r.account = s.table.keys[r.arrival.Key]
	if r.account == nil {
		return s.rejection(statusUnauthorized, "unknown-key")
	}
	return nil
}

func (s *stepContext) rejection(status int, code string) *refusal {
	if !s.configFresh(s.limits.RejectMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryAfterOtherEntry}
	}
	return &refusal{status, code, 0}
}

// checkKey returns a refusal where the request's key may no longer be used. It
// is asked right before each attempt.
func (s *stepContext) checkKey(r *request) *refusal {
	if r.account == nil {
		return nil
	}
	if !s.configFresh(s.limits.AcceptMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryAfterOtherEntry}
	}
	now := s.table.keys[r.arrival.Key]
	if now == nil || now.Account != r.account.Account {
		return s.rejection(statusUnauthorized, "key-withdrawn")
	}
	return nil
}
