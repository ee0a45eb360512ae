package request

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// emitRefuseRequest refuses a request of which the caller has received nothing
// yet.
func (s *step) emitRefuseRequest(id msg.RequestID, ref refusal) {
	s.emit(msg.RefuseRequest{
		Req: id, Status: ref.status, Code: string(ref.code), Reason: ref.reason,
		Outcome: ref.outcome, RetryAfter: ref.retryAfter,
	})
	s.decisions.recordRefusal(id, ref.code)
	s.log("request", "request refused",
		msg.Attr{Key: "request", Value: string(id)},
		msg.Attr{Key: "code", Value: string(ref.code)},
		msg.Attr{Key: "outcome", Value: ref.outcome.String()},
	)
}

// refuseOrAbort ends the request for its caller without a whole response: it
// refuses the request, or aborts the response if that has begun. The request
// itself stays open.
func (s *step) refuseOrAbort(r *request, ref refusal) {
	if !r.responseStarted() {
		s.emitRefuseRequest(r.arrived.Req, ref)
		return
	}
	s.emit(msg.AbortRequest{Req: r.arrived.Req, Code: string(ref.code), Reason: ref.reason, Outcome: ref.outcome})
}

// refuse ends a request that has no attempt, with a refusal to its caller.
func (s *step) refuse(r *request, ref refusal) {
	s.refuseOrAbort(r, ref)
	s.end(r, nil)
}

// terminate ends a request in any state, with a refusal to its caller. A request
// with an attempt is detached, and removed only after the attempt has ended. A
// request that is detached already is left as it is.
func (s *step) terminate(r *request, ref refusal) {
	if r.state == stateDetached {
		return
	}
	if r.state == stateRunning {
		ref.outcome = max(ref.outcome, msg.OutcomeUnknown)
		s.refuseOrAbort(r, ref)
		s.detach(r, ref.reason)
		return
	}
	s.refuseOrAbort(r, ref)
	s.end(r, nil)
}

// end removes a request and reports its outcome to the other components, so
// that its claim can be completed. A non-idempotent request that ends without a
// granted claim has nothing to complete, and is not reported; if its claim is
// granted later, onClaimSettled reports it.
func (s *step) end(r *request, response *msg.StoredResponse) {
	if r.idempotent || r.claimed {
		s.raise(msg.RequestEnded{Req: r.arrived.Req, Account: r.accountID(), Outcome: r.outcome, Response: response})
	}
	s.remove(r)
}

// remove removes a request that has no attempt.
func (s *step) remove(r *request) {
	if r.state == stateQueued {
		s.pool(r.pool.Name).removeWaiting(r)
	}
	delete(s.requests, r.arrived.Req)
	if i := slices.Index(s.byArrival, r); i >= 0 {
		s.byArrival = slices.Delete(s.byArrival, i, i+1)
	}
}

func (s *step) onCallerDisconnected(ev msg.CallerDisconnected) {
	r := s.requests[ev.Req]
	if r == nil || r.state == stateDetached {
		return
	}
	if r.state == stateRunning {
		s.detach(r, "the caller left")
		return
	}
	s.end(r, nil)
}

func (s *step) onTick(ev msg.Tick) {
	s.wall = ev.Wall
	for _, r := range slices.Clone(s.byArrival) {
		s.expire(r)
	}
	for _, p := range s.pools {
		p.queue.Sweep(s.now)
		s.dispatch(p)
	}
	s.publishRates()
}

// expire ends a request if the wait in stateDetached is over, its deadline has
// passed, or it has not started by startBy.
func (s *step) expire(r *request) {
	switch {
	case r.state == stateDetached:
		if s.now >= r.detachedUntil {
			s.closeAttempt(r, msg.TokenUsage{})
			s.end(r, nil)
		}
	case s.now >= r.deadline:
		s.terminate(r, refusal{statusGatewayTimeout, CodeTimeout, "the request timed out", r.outcome, retryAfterDefault})
	case r.state == stateQueued && s.now >= r.startBy:
		s.terminate(r, refusal{statusServiceUnavailable, CodeNoTarget, "no target became free in time", r.outcome, retryAfterDefault})
	}
}

// recheckKeys is called after a change of the configuration. It ends the
// requests whose API key is no longer valid or whose client account may no
// longer use the route.
func (s *step) recheckKeys() {
	for _, r := range slices.Clone(s.byArrival) {
		if r.route.Access == manifest.AccessPublic {
			continue
		}
		account, ok := s.checkKey(&r.arrived)
		if ok && account.Name == r.account.Name && s.routeAllowed(r) {
			r.account = account
			continue
		}
		s.terminate(r, refusal{statusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn", r.outcome, 0})
	}
}

// routeAllowed reports whether the current configuration allows the request's
// account to use its route.
func (s *step) routeAllowed(r *request) bool {
	rt := s.index.Route(r.route.Name)
	return rt != nil && rt.Allows(r.account.Name)
}
