package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// state is the stage of a request.
type state uint8

const (
	// stateClaiming is a non-idempotent request that waits for its claim.
	stateClaiming state = iota
	// stateQueued is a request that waits for a target.
	stateQueued
	// stateEvicted is a request that was removed from the queue to make space
	// for another one.
	stateEvicted
	// stateRunning is a request with an attempt on a target.
	stateRunning
	// stateDetached is a request that waits for the end of its attempt, but has
	// no caller any more: the request was refused, its response was aborted, or
	// the caller disconnected.
	stateDetached
)

// request is an open request.
type request struct {
	arrived    msg.RequestArrived
	route      *manifest.Route
	pool       *manifest.Pool
	account    *manifest.Account // nil on public routes
	class      msg.Class
	idempotent bool
	claimed    bool
	state      state
	arrivedAt  msg.Time
	deadline   msg.Time
	// startBy is the time by which the next attempt must start. It is the end of
	// the longest wait in the queue, and at most the deadline; once the request
	// is retried, it is the deadline.
	startBy msg.Time
	// item is the request's place in the queue; it is nil for a suspect.
	// chargedTokens is the number of tokens that the request was charged for
	// when its attempt began.
	item          *fairqueue.Item
	chargedTokens float64
	// attempt is the current attempt, and target the target on which it runs.
	attempt  msg.AttemptID
	target   msg.TargetID
	attempts int
	// continued reports that the current attempt continues the response of an
	// earlier one.
	continued bool
	// exclude lists the targets on which the request failed, the last one at
	// excludedAt.
	exclude    []msg.TargetID
	excludedAt msg.Time
	// tokens is the number of tokens of the response that the caller has
	// received.
	tokens int
	// fingerprint identifies the request over its attempts and resends.
	fingerprint uint64
	// crashes is the number of attempts of this request that ended because the
	// target went down or became unreachable. The tracker's crash count differs:
	// it counts only targets that went down, but over all resends within
	// poison.Retention.
	crashes int
	// outcome is the outcome of the request as far as its attempts show it.
	outcome msg.Outcome
	// detachedUntil is the time until which the request stays in stateDetached.
	detachedUntil msg.Time
}

// accountID returns the request's client account, or "" on a public route.
func (r *request) accountID() msg.AccountID {
	if r.account == nil {
		return ""
	}
	return msg.AccountID(r.account.Name)
}

// responseStarted reports whether the caller has received a part of the
// response.
func (r *request) responseStarted() bool { return r.tokens > 0 }

// queueAccount describes the request's client account to the queue. All
// requests on public routes share one account without limits.
func (r *request) queueAccount() fairqueue.Account {
	if r.account == nil {
		return fairqueue.Account{Weight: 1}
	}
	return fairqueue.Account{ID: r.accountID(), Weight: r.account.Weight, Limits: r.account.Limits}
}

// routingRequest describes the request, or the remainder of it after an earlier
// attempt, to the router.
func (s *step) routingRequest(r *request) *routing.Request {
	q := &routing.Request{
		Pool:         msg.PoolID(r.pool.Name),
		Adapter:      r.route.Adapter,
		Class:        r.class,
		PromptTokens: r.arrived.PromptTokens + r.tokens,
		OutputTokens: s.expectedOutput(r),
		Prefix:       r.arrived.Prefix,
		Exclude:      r.exclude,
		Waited:       s.now - r.arrivedAt,
		Suspect:      s.poison.CrashCount(r.fingerprint) > 0,
	}
	q.Model = r.pool.Model
	return q
}

// classOf converts the class of a route in the manifest.
func classOf(c manifest.Class) msg.Class {
	switch c {
	case manifest.ClassUrgent:
		return msg.ClassUrgent
	case manifest.ClassMayWait:
		return msg.ClassMayWait
	default:
		return msg.ClassOrdinary
	}
}

// Maximum waits in the queue, by class, on routes that set none.
const (
	urgentQueueTimeout   = 2 * time.Second
	ordinaryQueueTimeout = 10 * time.Second
	mayWaitQueueTimeout  = time.Minute
)

// queueTimeout returns the longest wait in the queue on a route.
func queueTimeout(r *manifest.Route) time.Duration {
	if r.QueueTimeout > 0 {
		return r.QueueTimeout.D()
	}
	switch classOf(r.Class) {
	case msg.ClassUrgent:
		return urgentQueueTimeout
	case msg.ClassMayWait:
		return mayWaitQueueTimeout
	default:
		return ordinaryQueueTimeout
	}
}
