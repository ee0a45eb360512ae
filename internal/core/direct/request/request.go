package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/quota"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// request is an open request.
type request struct {
	arrival   msg.DirectRequestArrived
	route     *msg.DirectRoute
	account   *msg.DirectAccount // nil on public routes
	service   msg.ServiceID
	arrivedAt msg.Time
	// askedAt is when the caller first asked: before arrivedAt if the request was refused
	// then.
	askedAt  msg.Time
	deadline msg.Time
	// segments are the prompt segments that other prompts may share: all but
	// the last one, which belongs to the request or its session.
	segments []msg.PromptSegment

	// reservation is the reservation of the request's cost, or nil if its account has no
	// quota.
	reservation *quota.Reservation
	// runsCharged is the number of runs that were charged after the reserved one.
	runsCharged int

	attempt *attempt
	// runs counts the ended attempts that may have run. attemptsSent counts all
	// attempts that were sent. runArrivals counts the runs that were sent, and
	// prefillArrivals the prefills; attempts that did not reach their target are
	// excluded from these two.
	runs, attemptsSent, runArrivals, prefillArrivals int
	// mayHaveRun reports whether some target may have run this request. It is
	// set as soon as an attempt has started, while runs counts it at its end.
	mayHaveRun bool
	// failureHeld reports whether the driver keeps a target's error response
	// that can be forwarded.
	failureHeld bool
	// usageCounted reports whether the run of this request has been counted for
	// usage.
	usageCounted bool
	// handle names the prompt that was prefilled at source. That target may
	// have been removed from the list since.
	handle string
	source msg.Instance
	// lastEvent is the number of the last event that the caller has received.
	// response states what of the response has been sent to the caller.
	lastEvent int64
	response  msg.ResponseState
	// origin is the software version of the target that began the stream, once it is
	// known. The stream goes on at targets of this version only.
	origin *string
	// exclude lists the targets to which the request is not sent again, because
	// an attempt there failed or was presumed lost.
	exclude []msg.TargetID
	// fingerprint is the result of requestFingerprint.
	fingerprint uint64
	// decodeDelay is the result of stepContext.decodeDelay at the last placement.
	decodeDelay time.Duration
	// waiting reports whether the request is in the queue of its service.
	waiting bool
	// placedLate reports whether an attempt was sent as background work.
	placedLate bool
	// shareBy is the instant up to which the request may wait for a share of a target's
	// limit. It is zero until it has to.
	shareBy msg.Time
	// trialCrashes is set if the request is the trial of a blocked prompt segment, to
	// the number of crashes that counted against the segment.
	trialCrashes int
}

// attempt is one call to a target.
type attempt struct {
	id  msg.AttemptID
	req *request // nil once the request has ended or has another attempt
	// takenFrom is the request that was taken back from this attempt, unless its response
	// has begun.
	takenFrom *request
	target    *target
	step      msg.DirectStep
	class     class
	// priority is the priority of the attempt at an engine; 0 is the highest.
	priority int
	sentAt   msg.Time
	// work is the duration of the prefill on the reference engine of package
	// prefilltime, prefill its expected duration at the target, and expected the
	// expected time to the first token or handle.
	work              prefilltime.Work
	prefill, expected time.Duration
	// unqueued reports whether the target was expected to begin the prefill at once.
	unqueued bool
	// handle names the prefilled prompt from which a decode step continues.
	handle string
	// tokens is the KV cache in tokens that the attempt occupies at the target.
	tokens int
	// dropAt is the instant at which the attempt is dropped if its end has not
	// been reported and req is nil.
	dropAt msg.Time
	// reconsiderAt is the time before which an overdue attempt is not considered again.
	reconsiderAt msg.Time
	// started reports whether the first token, or the response, has arrived, and
	// startedAt is when the first token of a stream arrived.
	started     bool
	startedAt   msg.Time
	segments    []msg.PromptSegment
	fingerprint uint64
	// process is the start time of the target's process, and version the version of its
	// software, as they were listed when the attempt was sent.
	process int64
	version string
	// pace is the pace that the target reported in the head of its response, and
	// loadKnown reports whether that has been recorded.
	pace      float64
	loadKnown bool
	// noticed reports whether the head of the response has been taken into account.
	noticed bool
}

func (r *request) accountID() msg.AccountID {
	if r.account == nil {
		return ""
	}
	return r.account.Account
}

// priority returns the request's priority; 0 is the highest.
func (r *request) priority() int {
	p := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		p = r.account.Priority
	}
	return min(max(p, 0), maxPriority)
}

// isRetry reports whether an attempt with this step would be a retry. The
// request's first prefill and its first run are not retries.
func (r *request) isRetry(step msg.DirectStep) bool {
	if step == msg.StepPrefill {
		return r.prefillArrivals > 0
	}
	return r.runArrivals > 0
}

// countArrival adds n to the number of arrivals of a step. An n of -1 reverts
// the count of an attempt that did not reach its target.
func (r *request) countArrival(step msg.DirectStep, n int) {
	if step == msg.StepPrefill {
		r.prefillArrivals += n
		return
	}
	r.runArrivals += n
}

// hasPrompt reports whether the request is a prompt for a model engine.
func (r *request) hasPrompt() bool { return r.arrival.PromptTokens > 0 }

// sharedSegments returns the segments of a prompt that other prompts may share.
func sharedSegments(segments []msg.PromptSegment) []msg.PromptSegment {
	if len(segments) < 2 {
		return nil
	}
	return segments[:len(segments)-1]
}

// requestFingerprint returns a hash that is equal for all submissions of the
// same request.
func requestFingerprint(r *request) uint64 {
	d := xxhash.New()
	for _, field := range []string{string(r.accountID()), r.arrival.Method, r.arrival.Host, r.arrival.Path} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64()^r.arrival.BodyHash, 1)
}
