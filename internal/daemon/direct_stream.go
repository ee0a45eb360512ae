package daemon

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/sse"
	"github.com/verbenaspur/verbenaspur/platform"
)

// forwardStream forwards each event when it has arrived completely.
func (x *directExchange) forwardStream(r *reception, watch *stallWatch) msg.DirectAttemptEnded {
	events := sse.NewReader(r.Body)
	head := headOf(r.Response)
	var previous int64
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.Close(true)
			return x.endStream(r, first)
		}
		if err == nil && r.numbered {
			err = platform.CheckEvent(&ev, previous)
		}
		if err == nil && first {
			err = x.beginStream(r)
		}
		if err == nil {
			watch.pause()
			err = r.part.Event(head, ev, !events.Buffered())
			watch.proceed(ev.HasData)
			previous = max(previous, ev.ID)
		}
		if err != nil {
			r.Close(false)
			// No later event will send what is buffered. If the caller has disconnected, the
			// next write fails.
			_ = x.response.Flush()
			return interruptedAttempt(err)
		}
	}
}

// beginStream reports the first event of a target's stream.
func (x *directExchange) beginStream(r *reception) error {
	if err := r.part.BeginStream(); err != nil {
		return err
	}
	x.driver.loop.Post(msg.DirectAttemptStarted{Attempt: r.attempt, Notice: &r.head.Notice, Load: r.head.Load})
	return nil
}

// endStream returns the end of an attempt whose stream is complete. An unframed stream
// without events ended before its target had begun.
func (x *directExchange) endStream(r *reception, empty bool) msg.DirectAttemptEnded {
	if empty && !r.Framed {
		return interruptedAttempt(errors.New("no event arrived"))
	}
	if !r.outlived() {
		return interruptedAttempt(errProcessEnded)
	}
	if err := r.part.EndStream(headOf(r.Response)); err != nil {
		return interruptedAttempt(err)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// limitWrites limits the time for which the attempt waits until a caller that is behind
// takes more. The route's time limit ends the request then anyway. A caller that takes
// nothing is given up before that by the budget.
func (x *directExchange) limitWrites(remaining time.Duration) {
	x.response.SetWriteDeadline(time.Now().Add(max(remaining, minWriteTimeout)))
}
