package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Callers leave a stream after a gap of minCallerGap, objectivesPerGap objectives or
// pausesPerGap pauses, whichever is longest. stallMargin is added to that, so that no
// stream ends by this limit while its caller still waits.
const (
	minCallerGap     = 2 * time.Second
	objectivesPerGap = 4
	pausesPerGap     = 8
	stallMargin      = time.Second
)

// stallTimeout returns the time without a whole event after which a stream of the route
// counts as interrupted, however many bytes arrive. It returns 0, which is no limit, for
// responses that are not streams. Only their deadline ends these.
func stallTimeout(route *msg.DirectRoute, step msg.DirectStep) time.Duration {
	if route.Retry != msg.RetryStream || step == msg.StepPrefill {
		return 0
	}
	return max(minCallerGap, objectivesPerGap*route.Objective, pausesPerGap*route.Pause) + stallMargin
}
