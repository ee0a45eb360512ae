package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/sse"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// maxHeld bounds an answer that is held back until it is whole; a longer
	// one is passed on as it comes.
	maxHeld = 256 << 10
	// callerStall bounds a stream to a caller that does not read.
	callerStall = 30 * time.Second
	// maxCommands is more than a request has: its attempts and its end.
	maxCommands = 32
)

// directExchange is a caller's request at the driver. Its goroutine is the
// caller's handler, which carries out one command of the reducer at a time.
type directExchange struct {
	front   *directFront
	id      msg.RequestID
	call    *platform.CallerRequest
	w       http.ResponseWriter
	control *http.ResponseController
	// ctx ends when the caller leaves.
	ctx      context.Context
	commands chan directCommand

	// began says that the head of the answer has left.
	began bool
	// failure is the target's failure that may be passed on.
	failure *heldAnswer
	// lastEvent is the last event that the caller has.
	lastEvent int64
}

// directCommand is an effect to be carried out. Ctx is that of an attempt.
type directCommand struct {
	eff msg.Effect
	ctx context.Context
}

// heldAnswer is a whole answer of a target.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serve carries out commands until the request is over.
func (x *directExchange) serve() {
	x.lastEvent = x.call.Arrived.LastEvent
	defer func() { _ = x.control.SetWriteDeadline(time.Time{}) }()
	for {
		select {
		case cmd := <-x.commands:
			if x.carryOut(cmd) {
				return
			}
		case <-x.ctx.Done():
			x.front.loop.Post(msg.CallerDisconnected{Req: x.id})
			panic(http.ErrAbortHandler)
		}
	}
}

// carryOut carries out a command and reports whether the request is over.
func (x *directExchange) carryOut(cmd directCommand) bool {
	switch eff := cmd.eff.(type) {
	case msg.StartDirectAttempt:
		x.attempt(cmd.ctx, eff)
		return false
	case msg.RefuseRequest:
		if x.began {
			panic(http.ErrAbortHandler)
		}
		x.call.Refuse(x.w, eff.Status, eff.Code, eff.RetryAfter)
	case msg.ForwardFailure:
		if x.began || x.failure == nil {
			panic(http.ErrAbortHandler)
		}
		x.write(x.failure)
	case msg.AbortRequest:
		// The caller must not take the answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	return true
}

func (x *directExchange) write(a *heldAnswer) {
	platform.CopyHeader(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.began = true
	x.w.WriteHeader(a.status)
	_, _ = x.w.Write(a.body)
}

// attempt runs an attempt and reports its end.
func (x *directExchange) attempt(ctx context.Context, eff msg.StartDirectAttempt) {
	end := msg.DirectAttemptEnded{Result: msg.DirectCancelled}
	if ctx.Err() == nil {
		end = x.run(ctx, &eff)
	}
	if ctx.Err() != nil && end.Result != msg.DirectDone && end.Result != msg.DirectPrefilled {
		end.Result = msg.DirectCancelled
	}
	end.Attempt = eff.Attempt
	end.LastEvent = x.lastEvent
	end.Streaming = x.began
	x.front.endAttempt(end)
}

// broken is the end of an attempt without a whole answer.
func broken(err error) msg.DirectAttemptEnded {
	return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: err.Error()}
}

func (x *directExchange) run(ctx context.Context, eff *msg.StartDirectAttempt) msg.DirectAttemptEnded {
	f := x.front
	left := eff.Spec.Deadline - f.loop.Now()
	if left <= 0 {
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "no time left"}
	}
	req := x.call.TargetRequest(&eff.Spec, left)
	a, err := f.pool.Do(ctx, eff.Spec.Addr, req)
	if errors.Is(err, httpclient.ErrNotSent) {
		f.pool.CloseIdle(eff.Spec.Addr)
		return msg.DirectAttemptEnded{Result: msg.DirectUnreachable, Reason: err.Error()}
	}
	if err != nil {
		return broken(err)
	}
	reply := platform.ReadTargetResponse(a, eff.Spec.Step)
	end := x.receive(eff, a, reply)
	end.Status = reply.Status
	end.Load = reply.Load
	return end
}

// receive takes the body of a target's answer.
func (x *directExchange) receive(eff *msg.StartDirectAttempt, a *httpclient.Response, reply platform.TargetResponse) msg.DirectAttemptEnded {
	if reply.Kind == platform.ResponseStream {
		return x.stream(eff, a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxHeld+1))
	if err == nil && len(body) > maxHeld && reply.Kind == platform.ResponseSuccess {
		return x.long(a, body)
	}
	a.Close(err == nil && len(body) <= maxHeld)
	switch {
	case reply.Kind == platform.ResponseNotRun:
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "refused by the target", Misdirected: reply.Misdirected}
	case err != nil:
		return broken(err)
	}
	switch reply.Kind {
	case platform.ResponseHandle:
		handle, err := platform.DecodeHandle(body)
		if err != nil {
			return broken(err)
		}
		return msg.DirectAttemptEnded{Result: msg.DirectPrefilled, Handle: handle}
	case platform.ResponseFailure:
		x.failure = &heldAnswer{a.StatusCode, a.Header, body}
		return msg.DirectAttemptEnded{Result: msg.DirectFailed, Reason: "failure of the target"}
	case platform.ResponseInvalid:
		return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: "answer must not be passed on"}
	}
	x.write(&heldAnswer{a.StatusCode, a.Header, body})
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// long passes on an answer that is too long to be held.
func (x *directExchange) long(a *httpclient.Response, head []byte) msg.DirectAttemptEnded {
	platform.CopyHeader(x.w.Header(), a.Header)
	if a.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	x.began = true
	x.w.WriteHeader(a.StatusCode)
	_, err := x.w.Write(head)
	if err == nil {
		_, err = io.Copy(x.w, a.Body)
	}
	a.Close(err == nil)
	if err != nil {
		return broken(err)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// stream passes on whole events as they come.
func (x *directExchange) stream(eff *msg.StartDirectAttempt, a *httpclient.Response) msg.DirectAttemptEnded {
	events := sse.NewReader(a.Body)
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			a.Close(true)
			return x.endStream(a, first)
		}
		if err != nil {
			a.Close(false)
			x.flush()
			return broken(err)
		}
		if first {
			x.front.loop.Post(msg.DirectAttemptStarted{Attempt: eff.Attempt})
		}
		if ev.HasID && ev.ID <= x.lastEvent && x.lastEvent > 0 {
			continue
		}
		if err := x.pass(a, ev, !events.Buffered()); err != nil {
			a.Close(false)
			return broken(err)
		}
		if ev.HasID {
			x.lastEvent = ev.ID
		}
	}
}

func (x *directExchange) endStream(a *httpclient.Response, empty bool) msg.DirectAttemptEnded {
	if empty && !x.began {
		x.begin(a)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

func (x *directExchange) begin(a *httpclient.Response) {
	platform.CopyHeader(x.w.Header(), a.Header)
	x.began = true
	_ = x.control.SetWriteDeadline(time.Now().Add(callerStall))
	x.w.WriteHeader(a.StatusCode)
}

// flush sends the events that wait for a later one, when none comes.
func (x *directExchange) flush() {
	if x.began {
		// A caller that has left shows at the next write.
		_ = x.control.Flush()
	}
}

// pass writes an event to the caller.
func (x *directExchange) pass(a *httpclient.Response, ev sse.Event, flush bool) error {
	if !x.began {
		x.begin(a)
	}
	if _, err := x.w.Write(ev.Raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return x.control.Flush()
}
