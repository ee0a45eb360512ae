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

// forwardStream forwards each event when it has arrived completely. The parameter head
// is what the head of the response says.
func (x *directExchange) forwardStream(eff *msg.StartDirectAttempt, resp *httpclient.Response, head *platform.TargetResponse, watch *stallWatch) msg.DirectAttemptEnded {
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
			x.driver.loop.Post(msg.DirectAttemptStarted{Attempt: eff.Attempt, Notice: &head.Notice, Load: head.Load})
		}
		watch.pause()
		if err := x.forwardEvent(resp, ev, !events.Buffered()); err != nil {
			resp.Close(false)
			return interruptedAttempt(err)
		}
		watch.proceed(ev.HasData)
	}
}

// endStream returns the end of an attempt whose stream is complete. It writes the
// head of the response if the stream had no events. An unframed stream without events
// ended before its target had begun.
func (x *directExchange) endStream(resp *httpclient.Response, empty bool) msg.DirectAttemptEnded {
	if empty && !resp.Framed {
		return interruptedAttempt(errors.New("no event arrived"))
	}
	if empty && x.response == msg.ResponseNone {
		x.startResponse(resp)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// startResponse writes the head of a streamed response.
func (x *directExchange) startResponse(resp *httpclient.Response) {
	platform.CopyHeader(x.w.Header(), resp.Header)
	x.response = msg.ResponseStream
	x.w.WriteHeader(resp.StatusCode)
}

// limitWrites limits the time for which the attempt waits until a caller that is behind
// takes more. The route's time limit ends the request then anyway. A caller that takes
// nothing is given up before that by the budget.
func (x *directExchange) limitWrites(remaining time.Duration) {
	_ = x.controller.SetWriteDeadline(time.Now().Add(max(remaining, minWriteTimeout)))
}

// flush sends the events that are still in the write buffer. It is called when the
// target's stream fails, since no later event will flush them then.
func (x *directExchange) flush() {
	if x.response != msg.ResponseNone {
		// If the caller has disconnected, the next write fails.
		_ = x.controller.Flush()
	}
}

// forwardEvent writes an event to the caller and, if flush is set, sends all buffered
// events. It skips an event that the caller received from an earlier attempt.
func (x *directExchange) forwardEvent(resp *httpclient.Response, ev sse.Event, flush bool) error {
	if ev.HasID && ev.ID <= x.lastEvent && x.lastEvent > 0 {
		return nil
	}
	if x.response == msg.ResponseNone {
		x.startResponse(resp)
	}
	if _, err := x.Write(ev.Raw); err != nil {
		return err
	}
	if flush {
		if err := x.controller.Flush(); err != nil {
			return err
		}
	}
	if ev.HasID {
		x.lastEvent = ev.ID
	}
	return nil
}
