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
	// maxOpen bounds the requests that are open on one entry.
	maxOpen = 4096
	// defaultTimeout bounds a request for which neither the route nor the
	// caller does.
	defaultTimeout = 30 * time.Second
)

// Advice to callers on when to come back.
const (
	// retryElsewhere is for what another entry may serve at once.
	retryElsewhere = 50 * time.Millisecond
	retrySoon      = 500 * time.Millisecond
	retryPoison    = 30 * time.Second
)

// refusal is the final answer to a request that is not served.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration
}

func (s *step) onArrived(ev msg.DirectRequestArrived) {
	r := &request{arrived: ev, since: s.now, lastEvent: ev.LastEvent, parts: sharedParts(ev.Segments)}
	if ref := s.accept(r); ref != nil {
		s.refuse(r, *ref)
		return
	}
	s.requests[ev.Req] = r
	s.budget(r.service).arrived(s.now, s.limits)
	if ref := s.place(r); ref != nil {
		s.refuse(r, *ref)
	}
}

// accept resolves the route, checks the caller and fills in the request. It
// returns a refusal where the request must not go on.
func (s *step) accept(r *request) *refusal {
	switch {
	case s.table == nil:
		return &refusal{statusUnavailable, "no-config", retrySoon}
	case len(s.requests) >= maxOpen:
		return &refusal{statusUnavailable, "too-many-open", retryElsewhere}
	}
	if ref := s.resolve(r); ref != nil {
		return ref
	}
	r.fingerprint = fingerprintOf(r)
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		return &refusal{statusUnavailable, "poison", retryPoison}
	}
	limit := r.route.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if t := r.arrived.Timeout; t > 0 {
		limit = min(limit, t)
	}
	r.deadline = s.now + limit
	r.service = s.table.service(r.route, s.rand.Float64())
	return nil
}

// resolve finds the route and the client account. Without a configuration
// that was confirmed lately nothing is said to be unknown or forbidden.
func (s *step) resolve(r *request) *refusal {
	r.route = s.table.route(r.arrived.Host, r.arrived.Path)
	if r.route == nil {
		return s.denied(statusNotFound, "unknown-route")
	}
	if r.route.Public || !s.table.accounts {
		return nil
	}
	if !s.fresh(s.limits.AcceptMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryElsewhere}
	}
	r.account = s.table.keys[r.arrived.Key]
	if r.account == nil {
		return s.denied(statusUnauthorized, "unknown-key")
	}
	return nil
}

func (s *step) denied(status int, code string) *refusal {
	if !s.fresh(s.limits.RejectMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryElsewhere}
	}
	return &refusal{status, code, 0}
}

// checkKey returns a refusal where the request's key may no longer be used. It
// is asked right before each attempt.
func (s *step) checkKey(r *request) *refusal {
	if r.account == nil {
		return nil
	}
	if !s.fresh(s.limits.AcceptMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryElsewhere}
	}
	now := s.table.keys[r.arrived.Key]
	if now == nil || now.Account != r.account.Account {
		return s.denied(statusUnauthorized, "key-withdrawn")
	}
	return nil
}
