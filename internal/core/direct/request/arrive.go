package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
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
	// maxOpenRequests is the largest number of open requests of one entry
	// daemon.
	maxOpenRequests = 4096
	// defaultTimeout applies to a request if neither its route nor its caller
	// sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Values of Retry-After in refusals.
const (
	// retryAfterOtherEntry applies if another entry daemon may be able to serve
	// the request at once.
	retryAfterOtherEntry = 50 * time.Millisecond
	// retryAfterShort applies to the other refusals with status 503 that are not final.
	retryAfterShort = 500 * time.Millisecond
)

// refusal is the response to a request that this daemon does not serve. A
// rejection is a refusal with status 401 or 404, because the key or the route of
// the request is not valid.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration
}

// finalRefusal returns the refusal of a request that will not be served later either.
// It has no Retry-After, which would bring the request back.
func finalRefusal(code string) *refusal { return &refusal{status: statusUnavailable, code: code} }

func (s *stepContext) onRequestArrived(ev msg.DirectRequestArrived) {
	r := &request{arrival: ev, arrivedAt: s.now, askedAt: s.now, lastEvent: ev.LastEvent, segments: sharedSegments(ev.Segments)}
	if ref := s.admit(r); ref != nil {
		s.refuse(r, *ref)
		return
	}
	s.requests[ev.Req] = r
	ref, pending := s.reserve(r)
	switch {
	case ref != nil:
		s.refuse(r, *ref)
	case !pending:
		s.begin(r)
	}
}

// begin places a request that its account's quota allows.
func (s *stepContext) begin(r *request) {
	s.retryBudget(r.service).countRequest(s.now, s.limits)
	if ref := s.place(r); ref != nil {
		s.refuse(r, *ref)
	}
}

// admit resolves the route, checks the caller and completes the fields of the
// request. It returns a refusal if the request can't be served.
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
	if at, ok := s.refusals.AskedAt(s.now, r.fingerprint); ok {
		r.askedAt = at
	}
	limit := r.route.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if t := r.arrival.Timeout; t > 0 {
		limit = min(limit, t)
	}
	r.deadline = s.now + limit
	if ref := s.checkDrain(r); ref != nil {
		return ref
	}
	r.service = s.table.pickService(r.route, s.rand.Float64())
	return nil
}

// resolve determines the route and the client account. It rejects a route or a
// key as unknown only if the configuration was confirmed recently.
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

// rejection returns a refusal with the given status and code. If the
// configuration is too old to justify a rejection, the refusal has the code
// stale-config instead.
func (s *stepContext) rejection(status int, code string) *refusal {
	if !s.configFresh(s.limits.RejectMaxAge) {
		return &refusal{statusUnavailable, "stale-config", retryAfterOtherEntry}
	}
	return &refusal{status, code, 0}
}

// checkKey returns a refusal if the request's key is no longer valid, or if the
// configuration is too old to tell. It is called immediately before each
// attempt.
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
