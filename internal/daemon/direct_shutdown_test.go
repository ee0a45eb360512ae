package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that a stopping daemon accepts must have time to end. No request is
// accepted later than three seconds after the request to stop, and none is given up
// before the last sixth of the grace period.
func TestShutdownLeavesTimeForAcceptedRequests(t *testing.T) {
	is := is.New(t)
	is.True(listenerCloseDelay < 3*time.Second)
	is.True(listenerCloseDelay > 2*time.Second) // The load balancer checks once a second and requires two failed checks.
	for _, grace := range []time.Duration{6 * time.Second, 8 * time.Second, 30 * time.Second} {
		is.True(requestDrainTimeout(grace) > grace*5/6)
		is.True(requestDrainTimeout(grace) < grace)
	}
}
