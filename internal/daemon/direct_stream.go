package daemon

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/sse"
	"github.com/verbenaspur/verbenaspur/platform"
)

// forwardStream forwards each event when it has arrived completely. It skips events
// that the caller received from an earlier attempt. The notice is that of the head of
// the response.
func (x *directExchange) forwardStream(eff *msg.StartDirectAttempt, resp *httpclient.Response, notice *msg.TargetNotice) msg.DirectAttemptEnded {
	events := sse.NewReader(resp.Body)
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			resp.Close(true)
			return x.endStream(resp, first)
		}
		if err != nil {
			resp.Close(false)
			x.flush()
			return interruptedAttempt(err)
		}
		if first {
			x.driver.loop.Post(msg.DirectAttemptStarted{Attempt: eff.Attempt, Notice: notice})
		}
		if ev.HasID && ev.ID <= x.lastEvent && x.lastEvent > 0 {
			continue
		}
		x.extendWriteDeadline(eff.Spec.Deadline)
		if err := x.forwardEvent(resp, ev, !events.Buffered()); err != nil {
			resp.Close(false)
			return interruptedAttempt(err)
		}
		if ev.HasID {
			x.lastEvent = ev.ID
		}
	}
}

// endStream returns the end of an attempt whose stream is complete. It writes the
// head of the response if the stream had no events. An unframed stream without events
// ended before its target had begun.
func (x *directExchange) endStream(resp *httpclient.Response, empty bool) msg.DirectAttemptEnded {
	if empty && !resp.Framed {
		return interruptedAttempt(errors.New("no event arrived"))
	}
	if empty && !x.responseStarted {
		x.startResponse(resp)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// startResponse writes the head of a streamed response.
func (x *directExchange) startResponse(resp *httpclient.Response) {
	platform.CopyHeader(x.w.Header(), resp.Header)
	x.responseStarted = true
	x.w.WriteHeader(resp.StatusCode)
}

// extendWriteDeadline sets the write deadline anew before each event, so that it
// limits the time without progress and not that of the whole stream.
func (x *directExchange) extendWriteDeadline(deadline msg.Time) {
	d := x.driver
	timeout := writeTimeout(d.stallTimeout, deadline-d.loop.Now())
	_ = x.controller.SetWriteDeadline(time.Now().Add(timeout))
}

// writeTimeout returns the time limit of a write for an attempt that has to end
// after the remaining time. The route's time limit ends the request then anyway.
func writeTimeout(stall, remaining time.Duration) time.Duration {
	return min(stall, max(remaining, minWriteTimeout))
}

// flush sends the events that are still in the write buffer. It is called when the
// target's stream fails, since no later event will flush them then.
func (x *directExchange) flush() {
	if x.responseStarted {
		// If the caller has disconnected, the next write fails.
		_ = x.controller.Flush()
	}
}

// forwardEvent writes an event to the caller and, if flush is set, sends all buffered
// events.
func (x *directExchange) forwardEvent(resp *httpclient.Response, ev sse.Event, flush bool) error {
	if !x.responseStarted {
		x.startResponse(resp)
	}
	if _, err := x.w.Write(ev.Raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return x.controller.Flush()
}
