package directrequest

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// request is one open request.
type request struct {
	arrival   msg.DirectRequestArrived
	route     *msg.DirectRoute
	account   *msg.DirectAccount // nil on public routes
	service   msg.ServiceID
	arrivedAt msg.Time
	deadline  msg.Time
	// segments are those that other prompts may share: all but the last, which
	// belongs to the request or its session.
	segments []msg.PromptSegment

	attempt *attempt
	// runs counts the attempts that may have run, attemptsSent all that were sent,
	// and runArrivals and prefillArrivals those that arrived, apart from each other.
	runs, attemptsSent, runArrivals, prefillArrivals int
	// mayHaveRun says that a run of this request can't be ruled out.
	mayHaveRun bool
	// failureHeld says that the driver holds a failure of a target to be passed on.
	failureHeld bool
	// usageCounted says that its run was usageCounted for usage.
	usageCounted bool
	// handle names the prompt that was read at source, which may have left
	// the list since.
	handle string
	source msg.Instance
	// lastEvent is the last event that the caller has and streaming says that
	// the answer has begun.
	lastEvent int64
	streaming bool
	// exclude lists the targets that failed this request.
	exclude     []msg.TargetID
	fingerprint uint64
}

// attempt is one call of a target.
type attempt struct {
	id     msg.AttemptID
	req    *request // nil once the request is over
	target *target
	step   msg.DirectStep
	// priority is its place in an engine's order, 0 first.
	priority int
	sentAt   msg.Time
	// prefill is the prefill that it asks of the target and expected the time
	// to its first token.
	prefill, expected time.Duration
	// handle is the one that it goes on from.
	handle string
	// tokens is the memory that it takes at the target.
	tokens int
	// dropAt is when it no longer counts though its end was not told.
	dropAt msg.Time
	// started says that the first token, or the answer, has come.
	started     bool
	segments    []msg.PromptSegment
	fingerprint uint64
}

func (r *request) accountID() msg.AccountID {
	if r.account == nil {
		return ""
	}
	return r.account.Account
}

// priority is the request's rank, 0 first.
func (r *request) priority() int {
	p := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		p = r.account.Priority
	}
	return min(max(p, 0), maxPriority)
}

// isRetry reports whether an attempt of a step is an arrival beyond the
// request's first: the first prefill and the first run are not.
func (r *request) isRetry(step msg.DirectStep) bool {
	if step == msg.StepPrefill {
		return r.prefillArrivals > 0
	}
	return r.runArrivals > 0
}

// countArrival counts an attempt's arrival, or takes it back with -1.
func (r *request) countArrival(step msg.DirectStep, n int) {
	if step == msg.StepPrefill {
		r.prefillArrivals += n
		return
	}
	r.runArrivals += n
}

// isGeneration reports whether the request is a prompt for a model engine.
func (r *request) isGeneration() bool { return r.arrival.PromptTokens > 0 }

// sharedSegments returns the parts of a prompt that others may share.
func sharedSegments(parts []msg.PromptSegment) []msg.PromptSegment {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// requestFingerprint identifies a request over its resends.
func requestFingerprint(r *request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.accountID()), r.arrival.Method, r.arrival.Host, r.arrival.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64()^r.arrival.BodyHash, 1)
}
