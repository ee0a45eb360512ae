package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Causes for which an attempt is stopped before its response is complete.
var (
	errMoved     = errors.New("target is draining")
	errCancelled = errors.New("cancelled")
	errTimeout   = errors.New("attempt timed out")
	errSilent    = errors.New("stream of the target went silent")
)

// attemptOutcome is the result of running an attempt on a target.
type attemptOutcome struct {
	result msg.AttemptResult
	reason string
	usage  msg.TokenUsage
	// cause is the error that led to a crash. It is set only if the error decides
	// how the outcome is handled.
	cause error
}

// targetClient calls the target of a side daemon.
type targetClient interface {
	// run executes an attempt and appends the frames of its response to a. It
	// returns when the attempt has ended.
	run(ctx context.Context, a *attemptRun) attemptOutcome
	// read returns the target's state.
	read(ctx context.Context) (msg.TargetRead, error)
	// cacheEvents returns the cache events after a sequence number.
	cacheEvents(ctx context.Context, after uint64) ([]msg.CacheEvent, error)
	// apply executes an order.
	apply(ctx context.Context, o msg.Order) msg.OrderApplied
}

// cancelOutcome returns the outcome of an attempt whose context has been
// cancelled, according to the cause. It returns false if ctx is not cancelled.
func cancelOutcome(ctx context.Context, usage msg.TokenUsage) (attemptOutcome, bool) {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return attemptOutcome{}, false
	case errors.Is(cause, errMoved):
		return attemptOutcome{result: msg.AttemptMoved, reason: cause.Error(), usage: usage}, true
	case errors.Is(cause, errTimeout):
		return attemptOutcome{result: msg.AttemptFailed, reason: cause.Error(), usage: usage}, true
	}
	return attemptOutcome{result: msg.AttemptCancelled, reason: cause.Error(), usage: usage}, true
}
