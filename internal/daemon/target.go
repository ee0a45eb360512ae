package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Causes for which an attempt ends before its answer does.
var (
	errMoved     = errors.New("target is draining")
	errCancelled = errors.New("cancelled")
	errTimeout   = errors.New("attempt timed out")
	errSilent    = errors.New("stream of the target went silent")
)

// attemptOutcome says how a target's run ended.
type attemptOutcome struct {
	result msg.AttemptResult
	reason string
	usage  msg.TokenUsage
	// cause is the error behind a crash, where it matters.
	cause error
}

// targetClient talks to the target beside a side daemon.
type targetClient interface {
	// run executes an attempt, adding its frames to a, until it ends.
	run(ctx context.Context, a *attemptRun) attemptOutcome
	// read returns the target's state.
	read(ctx context.Context) (msg.TargetRead, error)
	// cacheEvents returns the events after a sequence number.
	cacheEvents(ctx context.Context, after uint64) ([]msg.CacheEvent, error)
	// apply executes an order.
	apply(ctx context.Context, o msg.Order) msg.OrderApplied
}

// stopOutcome maps the cause of a stopped context to an outcome.
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
