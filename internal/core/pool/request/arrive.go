package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxOpenRequests is the maximum number of open requests on one entry.
const maxOpenRequests = 16_384

// Times after which the caller of a refused request should send it again:
// retryAfterClaim if the claim is held by an earlier request or could not be
// made, retryAfterDefault in the other cases in which that may help.
const (
	retryAfterDefault = time.Second
	retryAfterClaim   = 2 * time.Second
)

// refusal is what the caller receives if its request ends without a whole
// response of a target: an error, or the abort of a response that has begun.
type refusal struct {
	status     int
	code       Code
	reason     string
	outcome    msg.Outcome
	retryAfter time.Duration
}

// onArrived queues a new request or refuses it. A non-idempotent request is
// queued only once its claim is granted.
func (s *step) onArrived(ev msg.RequestArrived) {
	r := &request{arrived: ev}
	if ref := s.prepare(r); ref != nil {
		s.emitRefuseRequest(ev.Req, *ref)
		return
	}
	s.requests[ev.Req] = r
	s.byArrival = append(s.byArrival, r)
	if r.idempotent {
		s.admit(r)
		return
	}
	r.state = stateClaiming
	s.raise(msg.ClaimRequested{
		Req: ev.Req, Account: r.accountID(), Route: msg.RouteID(r.route.Name),
		Key: ev.IdempotencyKey, Body: ev.BodyHash,
	})
}

// prepare finds the route, checks the caller and fills in the request. It
// returns a refusal if the request must not go on.
func (s *step) prepare(r *request) *refusal {
	if s.stopping {
		return &refusal{statusServiceUnavailable, CodeStopping, "this entry is stopping", msg.OutcomeNotRun, retryAfterDefault}
	}
	if len(s.requests) >= maxOpenRequests {
		return &refusal{statusServiceUnavailable, CodeOverloaded, "too many requests are open", msg.OutcomeNotRun, retryAfterDefault}
	}
	if s.index == nil {
		return &refusal{statusServiceUnavailable, CodeNotReady, "no configuration yet", msg.OutcomeNotRun, retryAfterDefault}
	}
	if ref := s.resolve(r); ref != nil {
		return ref
	}
	if ref := s.authorize(r); ref != nil {
		return ref
	}
	if !r.idempotent && r.arrived.IdempotencyKey == "" {
		return &refusal{statusBadRequest, CodeKeyRequired, "this operation needs an Idempotency-Key", msg.OutcomeNotRun, 0}
	}
	r.fingerprint = fingerprint(r)
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		return &refusal{statusUnprocessableEntity, CodePoison, "targets went down under this request", msg.OutcomeNotRun, 0}
	}
	s.setLimits(r)
	return nil
}

// resolve finds the route, pool and operation that the request names.
func (s *step) resolve(r *request) *refusal {
	ev := &r.arrived
	kind := manifest.PoolEngines
	name := ev.Model
	if ev.Service != "" {
		kind = manifest.PoolService
		name = ev.Service
	}
	r.route = s.index.Route(name)
	if r.route != nil {
		r.pool = s.index.Pool(r.route.Pool)
	}
	if r.pool == nil || r.pool.Kind != kind {
		return &refusal{statusNotFound, CodeUnknownRoute, "no such model or service", msg.OutcomeNotRun, 0}
	}
	r.class = classOf(r.route.Class)
	r.idempotent = true
	if kind == manifest.PoolEngines {
		return nil
	}
	op := r.route.Operation(ev.Method, ev.Path)
	if op == nil {
		return &refusal{statusNotFound, CodeUnknownOperation, "the service has no such operation", msg.OutcomeNotRun, 0}
	}
	r.idempotent = op.Idempotent
	return nil
}

// fingerprint identifies a request by client account, route, call and body. It
// is never zero, which stands for a request without a fingerprint.
func fingerprint(r *request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.accountID()), r.route.Name, r.arrived.Method, r.arrived.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.arrived.BodyHash[:])
	return max(d.Sum64(), 1)
}

// authorize checks that the caller may use the route. On a route with keys it
// refuses requests while the configuration is not confirmed to be the newest.
func (s *step) authorize(r *request) *refusal {
	if r.route.Access == manifest.AccessPublic {
		return nil
	}
	if s.now >= s.freshUntil {
		return &refusal{statusServiceUnavailable, CodeStaleConfig, "the configuration can't be confirmed", msg.OutcomeNotRun, retryAfterDefault}
	}
	account, ok := s.checkKey(&r.arrived)
	if !ok {
		return &refusal{statusUnauthorized, CodeUnauthorized, "the key is not valid", msg.OutcomeNotRun, 0}
	}
	if !r.route.Allows(account.Name) {
		return &refusal{statusForbidden, CodeForbidden, "the client account may not use this route", msg.OutcomeNotRun, 0}
	}
	r.account = account
	return nil
}

// checkKey verifies the request's API key and returns its client account.
func (s *step) checkKey(ev *msg.RequestArrived) (*manifest.Account, bool) {
	id, status := apikey.Check(s.index, ev.KeyID, ev.KeyDigest, s.wall)
	if status != apikey.OK {
		return nil, false
	}
	return s.index.Account(string(id)), true
}

// setLimits sets the request's deadlines and caps its tokens. A timeout of the
// caller can only shorten that of the route.
func (s *step) setLimits(r *request) {
	timeout := r.route.Timeout.D()
	if t := r.arrived.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	r.arrivedAt = s.now
	r.deadline = s.now + timeout
	r.startBy = min(r.deadline, s.now+queueTimeout(r.route))
	limit := r.route.MaxTokens
	if limit > 0 && (r.arrived.MaxTokens == 0 || r.arrived.MaxTokens > limit) {
		r.arrived.MaxTokens = limit
	}
}

func (s *step) onClaimSettled(ev msg.ClaimSettled) {
	r := s.requests[ev.Req]
	if r == nil || r.state != stateClaiming {
		if ev.Status == msg.ClaimGranted {
			// The request ended before its claim was granted. Report that it
			// did not run, so that the claim is released.
			s.raise(msg.RequestEnded{Req: ev.Req, Outcome: msg.OutcomeNotRun})
		}
		return
	}
	switch ev.Status {
	case msg.ClaimGranted:
		r.claimed = true
		s.admit(r)
	case msg.ClaimDone:
		s.replay(r, ev.Response)
	case msg.ClaimRunning:
		s.refuse(r, refusal{statusConflict, CodeStillRunning, "an earlier request with this key is not yet finished", msg.OutcomeUnknown, retryAfterClaim})
	case msg.ClaimMismatch:
		s.refuse(r, refusal{statusUnprocessableEntity, CodeKeyReused, "the Idempotency-Key was used with another body", msg.OutcomeNotRun, 0})
	case msg.ClaimUnknown:
		s.refuse(r, refusal{statusConflict, CodeOutcomeUnknown, "an earlier request with this key may have run", msg.OutcomeUnknown, 0})
	case msg.ClaimExpired:
		s.refuse(r, refusal{statusConflict, CodeOutcomeUnknown, "the Idempotency-Key is too old to tell whether it ran", msg.OutcomeUnknown, 0})
	case msg.ClaimUnavailable:
		s.refuse(r, refusal{statusServiceUnavailable, CodeStoreUnavailable, "the request could not be claimed", msg.OutcomeNotRun, retryAfterClaim})
	}
}

// replay ends a request with the stored response of an earlier one. It refuses
// the request if the response is no longer stored.
func (s *step) replay(r *request, response *msg.StoredResponse) {
	if response == nil {
		s.refuse(r, refusal{statusConflict, CodeOutcomeUnknown, "the request ran; its answer is no longer kept", msg.OutcomeRun, 0})
		return
	}
	s.emit(msg.ReplayResponse{Req: r.arrived.Req, Response: *response})
	s.remove(r)
}
