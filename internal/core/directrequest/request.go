package directrequest

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// request is one open request.
type request struct {
	arrived  msg.DirectRequestArrived
	route    *msg.DirectRoute
	account  *msg.DirectAccount // nil on public routes
	service  msg.ServiceID
	since    msg.Time
	deadline msg.Time
	// parts are those that other prompts may share: all but the last, which
	// belongs to the request or its session.
	parts []msg.PromptSegment

	attempt *attempt
	// runs counts the attempts that may have run, sends all that were sent,
	// and calls and prefills those that arrived, apart from each other.
	runs, sends, calls, prefills int
	// mayRun says that a run of this request can't be ruled out.
	mayRun bool
	// held says that the driver holds a failure of a target to be passed on.
	held bool
	// counted says that its run was counted for usage.
	counted bool
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
	// rank is its place in an engine's order, 0 first.
	rank  int
	since msg.Time
	// work is the prefill that it asks of the target and expected the time
	// to its first token.
	work, expected time.Duration
	// handle is the one that it goes on from.
	handle string
	// tokens is the memory that it takes at the target.
	tokens int
	// forgetAt is when it no longer counts though its end was not told.
	forgetAt msg.Time
	// began says that the first token, or the answer, has come.
	began       bool
	parts       []msg.PromptSegment
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

// repeats reports whether an attempt of a step is an arrival beyond the
// request's first: the first prefill and the first run are not.
func (r *request) repeats(step msg.DirectStep) bool {
	if step == msg.StepPrefill {
		return r.prefills > 0
	}
	return r.calls > 0
}

// sent counts an attempt's arrival, or takes it back with -1.
func (r *request) sent(step msg.DirectStep, n int) {
	if step == msg.StepPrefill {
		r.prefills += n
		return
	}
	r.calls += n
}

// generation reports whether the request is a prompt for a model engine.
func (r *request) generation() bool { return r.arrived.PromptTokens > 0 }

// sharedParts returns the parts of a prompt that others may share.
func sharedParts(parts []msg.PromptSegment) []msg.PromptSegment {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// fingerprintOf identifies a request over its resends.
func fingerprintOf(r *request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.accountID()), r.arrived.Method, r.arrived.Host, r.arrived.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64()^r.arrived.BodyHash, 1)
}
