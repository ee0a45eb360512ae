package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// state is where a request stands.
type state uint8

const (
	// stateClaiming waits for the claim of a non-idempotent request.
	stateClaiming state = iota
	// stateQueued waits for a target.
	stateQueued
	// stateEvicted gave its place in the queue to another request.
	stateEvicted
	// stateRunning has an attempt on a target.
	stateRunning
	// stateAnswered has told the caller its end, or has no caller any more,
	// and waits for its attempt to end.
	stateAnswered
)

// request is one open request.
type request struct {
	arrived    msg.RequestArrived
	route      *manifest.Route
	pool       *manifest.Pool
	account    *manifest.Account // nil on public routes
	class      msg.Class
	idempotent bool
	claimed    bool
	state      state
	// since is the time of arrival.
	since    msg.Time
	deadline msg.Time
	// startBy bounds the wait for the first attempt.
	startBy msg.Time
	// item is the request's place in the queue; charged are the tokens of
	// service that it was charged for at the begin of its attempt.
	item    *fairqueue.Item
	charged float64
	// attempt is the current attempt and target where it runs.
	attempt  msg.AttemptID
	target   msg.TargetID
	attempts int
	// exclude lists the targets that failed this request.
	exclude    []msg.TargetID
	excludedAt msg.Time
	// tokens is the length of the answer that the caller has.
	tokens int
	// fingerprint identifies the request over its resends.
	fingerprint uint64
	// crashes counts the targets that went down or were lost under it.
	crashes int
	// outcome is what is known about the attempts so far.
	outcome msg.Outcome
	// forgetAt bounds the wait in stateAnswered.
	forgetAt msg.Time
}

func (r *request) accountID() msg.AccountID {
	if r.account == nil {
		return ""
	}
	return msg.AccountID(r.account.Name)
}

// began reports whether the caller has a part of the answer.
func (r *request) began() bool { return r.tokens > 0 }

// admitAccount describes the request's client account to the queue.
func (r *request) admitAccount() fairqueue.Account {
	if r.account == nil {
		return fairqueue.Account{Weight: 1}
	}
	return fairqueue.Account{ID: r.accountID(), Weight: r.account.Weight, Limits: r.account.Limits}
}

// query describes the request, or the rest of it, to the router.
func (s *step) query(r *request) *routing.Request {
	q := &routing.Request{
		Pool:         msg.PoolID(r.pool.Name),
		Adapter:      r.route.Adapter,
		Class:        r.class,
		PromptTokens: r.arrived.PromptTokens + r.tokens,
		OutputTokens: s.outputLeft(r),
		Prefix:       r.arrived.Prefix,
		Exclude:      r.exclude,
		Waited:       s.now - r.since,
		Suspect:      s.poison.CrashCount(r.fingerprint) > 0,
	}
	q.Model = r.pool.Model
	return q
}

// classOf translates the manifest's class.
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

// Waits in a queue where the route sets no limit.
const (
	urgentWait   = 2 * time.Second
	ordinaryWait = 10 * time.Second
	longWait     = time.Minute
)

func queueTimeout(r *manifest.Route) time.Duration {
	if r.QueueTimeout > 0 {
		return r.QueueTimeout.D()
	}
	switch classOf(r.Class) {
	case msg.ClassUrgent:
		return urgentWait
	case msg.ClassMayWait:
		return longWait
	default:
		return ordinaryWait
	}
}
