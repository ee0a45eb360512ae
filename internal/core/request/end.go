package request

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// refuseNew refuses a request of which the caller has received nothing yet.
func (s *step) refuseNew(id msg.RequestID, ref refusal) {
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

// sendRefusal ends the request for its caller without a whole response: it
// refuses the request, or aborts the response if that has started.
func (s *step) sendRefusal(r *request, ref refusal) {
	if !r.responseStarted() {
		s.refuseNew(r.arrived.Req, ref)
		return
	}
	s.emit(msg.AbortRequest{Req: r.arrived.Req, Code: string(ref.code), Reason: ref.reason, Outcome: ref.outcome})
}

// refuse ends a request that has no attempt.
func (s *step) refuse(r *request, ref refusal) {
	s.sendRefusal(r, ref)
	s.end(r, nil)
}

// abort ends a request in any state.
func (s *step) abort(r *request, ref refusal) {
	if r.state == stateDetached {
		return
	}
	if r.state == stateRunning {
		ref.outcome = max(ref.outcome, msg.OutcomeUnknown)
		s.sendRefusal(r, ref)
		s.detach(r, ref.reason)
		return
	}
	s.sendRefusal(r, ref)
	s.end(r, nil)
}

// end removes a request and reports its outcome to the other components, so
// that they can settle its claim. A non-idempotent request that ends without a
// claim has nothing to settle, and is not reported.
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

// expire ends a request whose time is over: the wait in stateDetached, the
// deadline, or the wait in the queue.
func (s *step) expire(r *request) {
	switch {
	case r.state == stateDetached:
		if s.now >= r.detachedUntil {
			s.closeAttempt(r, msg.TokenUsage{})
			s.end(r, nil)
		}
	case s.now >= r.deadline:
		s.abort(r, refusal{statusGatewayTimeout, CodeTimeout, "the request timed out", r.outcome, retryAfterDefault})
	case r.state == stateQueued && s.now >= r.startBy:
		s.abort(r, refusal{statusServiceUnavailable, CodeNoTarget, "no target became free in time", r.outcome, retryAfterDefault})
	}
}

// recheckKeys ends the requests whose key is no longer valid or no longer
// allows the route, after a change of the configuration.
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
		s.abort(r, refusal{statusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn", r.outcome, 0})
	}
}

// routeAllowed reports whether the current configuration allows the request's
// account to use its route.
func (s *step) routeAllowed(r *request) bool {
	rt := s.index.Route(r.route.Name)
	return rt != nil && rt.Allows(r.account.Name)
}
