package daemon

import (
	"context"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// keepAliveOffDelay is the time from the request to stop until responses ask
	// callers to close their connections. A caller that then opens a new connection
	// reaches another entry daemon.
	keepAliveOffDelay = 1800 * time.Millisecond
	// listenerCloseDelay is the time from the request to stop until the listener
	// closes. By then the load balancer has seen two failed readiness checks. Both times
	// are shorter if the grace period would otherwise end too soon after them.
	listenerCloseDelay = 2800 * time.Millisecond
	// quietTime is how long no caller opens a connection before a daemon that accepts them
	// for longer closes the listener. acceptRatio is the fraction of the grace period after
	// which it closes it in any case, so that what came last has time to end.
	quietTime   = 500 * time.Millisecond
	acceptRatio = 0.6
	// drainRatio is the fraction of the grace period in which open requests may end, and
	// deliverRatio that in which callers may take their responses. The rest is left for
	// the end of the process.
	drainRatio   = 0.88
	deliverRatio = 0.95
)

// requestDrainTimeout returns the time from the request to stop after which open
// requests are ended.
func requestDrainTimeout(grace time.Duration) time.Duration {
	return time.Duration(drainRatio * float64(grace))
}

// deliveryTimeout returns the time from the request to stop after which the daemon no
// longer waits for callers to take their responses.
func deliveryTimeout(grace time.Duration) time.Duration {
	return time.Duration(deliverRatio * float64(grace))
}

// shutdown performs a graceful shutdown. It closes the listener when the load
// balancer has seen that the daemon is not ready, and then waits for open requests to
// end and for the reducer to hand over what the daemon holds.
func (d *directProcess) shutdown() {
	d.log.Info("daemon: stopping")
	start := time.Now()
	grace := d.settings.Bounds.GracePeriod
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout(grace))
	defer cancel()
	closeDelay := min(listenerCloseDelay, grace/2)
	d.loop.Post(msg.StopRequested{AcceptFor: closeDelay, DrainFor: requestDrainTimeout(grace)})
	time.Sleep(min(keepAliveOffDelay, grace/3))
	d.driver.callers.AnnounceClose()
	time.Sleep(time.Until(start.Add(closeDelay)))
	if d.driver.acceptLonger.Load() {
		d.awaitQuiet(start.Add(time.Duration(acceptRatio * float64(grace))))
	}
	if err := d.driver.callers.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: stopped waiting for open requests near the end of the grace period", "reason", err.Error())
	}
	if err := d.budget.Wait(ctx); err != nil {
		held := d.budget.Stats()
		d.log.Warn("daemon: stopped waiting for callers that read slowly", "callers", held.Behind, "lingering", held.Lingering)
	}
	select {
	case <-d.shutdownDone:
	case <-ctx.Done():
	}
	d.log.Info("daemon: stopped", "took_ms", time.Since(start).Milliseconds(), "callers", d.driver.callers.Stats())
}

// awaitQuiet waits until callers have opened no connection for quietTime, or until the
// given instant. Callers still come if the load balancer finds too few ready entries.
func (d *directProcess) awaitQuiet(until time.Time) {
	for {
		quietAt := d.driver.callers.LastAccepted().Add(quietTime)
		if quietAt.After(until) {
			quietAt = until
		}
		wait := time.Until(quietAt)
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}
