package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/internal/response"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// minWriteTimeout is the shortest time limit of an attempt's writes. It lets a
	// response that is ready near the end of the route's time limit reach the caller.
	minWriteTimeout = time.Second
	// commandBuffer is the capacity of a request's command queue. It exceeds the
	// number of commands of a request, which are its attempts and its end.
	commandBuffer = 32
)

// directExchange is a caller's request on the direct path. The goroutine of the
// caller's HTTP handler executes the reducer's commands for the request, one at a
// time.
type directExchange struct {
	driver        *directDriver
	id            msg.RequestID
	callerRequest *platform.CallerRequest
	response      *response.Writer
	// ctx ends when the caller disconnects.
	ctx      context.Context
	commands chan directCommand

	// failure is the last error response of a target that may be forwarded to the
	// caller.
	failure *bufferedResponse
	// held counts the bodies of responses that are kept here.
	held relay.Account
}

// directCommand is an effect that the exchange has to execute. If the effect starts
// an attempt, ctx is the context of the attempt, and permit its permission to write to the
// caller.
type directCommand struct {
	eff    msg.Effect
	ctx    context.Context
	permit *response.Permit
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	head response.Head
	body []byte
}

// headOf returns the head of a target's response.
func headOf(resp *httpclient.Response) response.Head {
	return response.Head{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
}

// serve executes commands until the request has ended.
func (x *directExchange) serve() {
	defer x.response.SetWriteDeadline(time.Time{})
	for {
		select {
		case cmd := <-x.commands:
			if x.executeCommand(cmd) {
				return
			}
		case <-x.ctx.Done():
			x.driver.loop.Post(msg.CallerDisconnected{Req: x.id})
			panic(http.ErrAbortHandler)
		}
	}
}

// executeCommand executes a command and reports whether the request has ended. Once the
// whole response has been written, it has, also if the command was given before the reducer
// knew that.
func (x *directExchange) executeCommand(cmd directCommand) bool {
	if x.response.Ended() {
		x.driver.dropCommand(cmd)
		return true
	}
	switch eff := cmd.eff.(type) {
	case msg.StartDirectAttempt:
		x.runAttempt(cmd, eff)
		return false
	case msg.RefuseRequest:
		abortOn(x.response.Whole(func(w http.ResponseWriter) { x.callerRequest.Refuse(w, eff.Status, eff.Code, eff.RetryAfter) }))
	case msg.ForwardFailure:
		if x.failure == nil {
			panic(http.ErrAbortHandler)
		}
		abortOn(x.response.Attempt(&response.Permit{}).Whole(x.failure.head, x.failure.body))
	case msg.AbortRequest:
		panic(http.ErrAbortHandler)
	}
	return true
}

// abortOn cuts the response if err is not nil: what was to be written can't follow what its
// caller has. Closing the connection keeps the caller from mistaking it for a complete one.
func abortOn(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// runAttempt runs an attempt and reports its end. A cancelled attempt counts as
// cancelled unless it was completed before.
func (x *directExchange) runAttempt(cmd directCommand, eff msg.StartDirectAttempt) {
	end := msg.DirectAttemptEnded{Result: msg.DirectCancelled}
	switch {
	case cmd.ctx.Err() != nil:
	case x.response.State() == msg.ResponseBody:
		// It could not continue the response. The reducer may not know yet that it has begun.
		end = msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: response.ErrBegun.Error()}
	default:
		end = x.sendAttempt(cmd.ctx, &eff, x.response.Attempt(cmd.permit))
	}
	if cmd.ctx.Err() != nil && end.Result != msg.DirectDone && end.Result != msg.DirectPrefilled {
		end.Result = msg.DirectCancelled
	}
	end.Attempt = eff.Attempt
	end.LastEvent = x.response.LastEvent()
	end.Response = x.response.State()
	end.ForwardedBytes = x.response.Bytes()
	x.driver.endAttempt(end)
}

// interruptedAttempt returns the end of an attempt without a complete response.
func interruptedAttempt(err error) msg.DirectAttemptEnded {
	if errors.Is(err, response.ErrWithdrawn) {
		return msg.DirectAttemptEnded{Result: msg.DirectCancelled, Reason: err.Error()}
	}
	return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: err.Error()}
}

// unsentAttempt returns the end of an attempt that was not sent because of the target's
// process. It returns false if err is another error, or nil.
func unsentAttempt(err error) (msg.DirectAttemptEnded, bool) {
	end := msg.DirectAttemptEnded{Result: msg.DirectNotSent}
	var other *httpclient.OtherProcessError
	switch {
	case errors.As(err, &other):
		end.Process = other.Process
	case !errors.Is(err, httpclient.ErrUnconfirmed):
		return msg.DirectAttemptEnded{}, false
	}
	end.Reason = err.Error()
	return end, true
}

// sendAttempt sends a request to the target and receives the response, of which part is
// what reaches the caller.
func (x *directExchange) sendAttempt(ctx context.Context, eff *msg.StartDirectAttempt, part *response.Attempt) msg.DirectAttemptEnded {
	driver := x.driver
	remaining := eff.Spec.Deadline - driver.loop.Now()
	if remaining <= 0 {
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "no time left"}
	}
	x.limitWrites(remaining)
	req := x.callerRequest.TargetRequest(&eff.Spec, remaining)
	req.Patient = eff.Spec.Patient && remaining > httpclient.SilenceLimit
	req.Confirm = platform.ConfirmProcess(&eff.Spec)
	watched, watch := watchStalls(ctx, eff.Spec.StallTimeout)
	defer watch.stop()
	end := x.exchange(watched, eff, req, part, watch)
	if end.Result == msg.DirectInterrupted && errors.Is(context.Cause(watched), errStalled) {
		end.Reason = errStalled.Error()
		end.Answers = driver.answers(ctx, &eff.Spec)
	}
	return end
}

// exchange sends a request and receives its response until the context ends.
func (x *directExchange) exchange(ctx context.Context, eff *msg.StartDirectAttempt, req *httpclient.Request, part *response.Attempt, watch *stallWatch) msg.DirectAttemptEnded {
	driver := x.driver
	resp, err := driver.pool.Do(ctx, eff.Spec.Addr, req)
	if end, unsent := unsentAttempt(err); unsent {
		return end
	}
	if errors.Is(err, httpclient.ErrNotSent) {
		driver.pool.CloseIdle(eff.Spec.Addr)
		return msg.DirectAttemptEnded{Result: msg.DirectUnreachable, Reason: err.Error()}
	}
	if err != nil {
		return interruptedAttempt(err)
	}
	result := platform.ReadTargetResponse(resp, eff.Spec.Step)
	r := &reception{
		attempt: eff.Attempt, Response: resp, head: &result, part: part, numbered: eff.Spec.Retry == msg.RetryStream,
		outlived: func() bool { return resp.Framed || driver.answers(ctx, &eff.Spec) },
	}
	end := x.receiveResponse(r, watch)
	end.Status = result.Status
	end.Load = result.Load
	end.Notice = &result.Notice
	end.Unframed = !resp.Framed
	return end
}

// reception is the response of a target to an attempt while it is received.
type reception struct {
	attempt msg.AttemptID
	*httpclient.Response
	// head is what the head of the response says.
	head *platform.TargetResponse
	// part is what reaches the caller.
	part *response.Attempt
	// numbered reports that a stream consists of numbered events, because its route is one
	// for streams. Streams on other routes may hold anything.
	numbered bool
	// outlived reports whether the target's process has outlived the end of its response.
	// An unframed response ends with its connection, which also ends with the process.
	outlived func() bool
}

// errProcessEnded means that the process of a target may have ended before its response.
var errProcessEnded = errors.New("the target does not answer after an end without framing")

// receiveResponse reads the body of a target's response and forwards it where the
// kind of the response allows that.
func (x *directExchange) receiveResponse(r *reception, watch *stallWatch) msg.DirectAttemptEnded {
	if r.head.Kind == platform.ResponseStream {
		return x.forwardStream(r, watch)
	}
	watch.stop()
	defer x.releaseHeld()
	body, err := x.held.ReadAll(r.Body, r.ContentLength, maxBufferedResponse)
	if errors.Is(err, relay.ErrNoRoom) && r.head.Kind == platform.ResponseSuccess {
		return x.forwardLongResponse(r, body)
	}
	r.Close(err == nil)
	switch {
	case r.head.Kind == platform.ResponseNotRun:
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "refused by the target", Misdirected: r.head.Misdirected}
	case err != nil:
		return interruptedAttempt(err)
	}
	return x.useResponse(r, body)
}

// releaseHeld frees what was read of a response, except for a failure that may still be
// forwarded.
func (x *directExchange) releaseHeld() {
	var kept int64
	if x.failure != nil {
		kept = int64(cap(x.failure.body))
	}
	x.held.Shrink(x.held.Held() - kept)
}

// useResponse forwards, keeps or decodes a complete response.
func (x *directExchange) useResponse(r *reception, body []byte) msg.DirectAttemptEnded {
	switch r.head.Kind {
	case platform.ResponseHandle:
		handle, err := platform.DecodeHandle(body)
		if err != nil {
			return interruptedAttempt(err)
		}
		return msg.DirectAttemptEnded{Result: msg.DirectPrefilled, Handle: handle}
	case platform.ResponseFailure:
		x.failure = &bufferedResponse{headOf(r.Response), body}
		return msg.DirectAttemptEnded{Result: msg.DirectFailed, Reason: "failure of the target"}
	case platform.ResponseInvalid:
		return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: "answer must not be passed on"}
	}
	if !r.outlived() {
		return interruptedAttempt(errProcessEnded)
	}
	if err := r.part.Whole(headOf(r.Response), body); err != nil {
		return interruptedAttempt(err)
	}
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// forwardLongResponse forwards a response that is too long to be buffered. The parameter
// begin is the part that has been read.
func (x *directExchange) forwardLongResponse(r *reception, begin []byte) msg.DirectAttemptEnded {
	if err := r.part.BeginBody(headOf(r.Response)); err != nil {
		r.Close(false)
		return interruptedAttempt(err)
	}
	x.driver.loop.Post(msg.DirectBodyStarted{Attempt: r.attempt, Notice: &r.head.Notice, Load: r.head.Load})
	_, err := r.part.Write(begin)
	x.releaseHeld()
	if err == nil {
		_, err = io.Copy(r.part, r.Body)
	}
	r.Close(err == nil)
	if err == nil && !r.outlived() {
		err = errProcessEnded
	}
	if err != nil {
		return interruptedAttempt(err)
	}
	r.part.EndBody()
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}
