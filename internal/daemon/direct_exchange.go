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
	"github.com/verbenaspur/verbenaspur/internal/relay"
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
	w             http.ResponseWriter
	controller    *http.ResponseController
	// ctx ends when the caller disconnects.
	ctx      context.Context
	commands chan directCommand

	// response states what of the response has been written, forwarded counts the bytes of
	// its body, and responseEnded reports that all of it has been written.
	response      msg.ResponseState
	forwarded     int64
	responseEnded bool
	// failure is the last error response of a target that may be forwarded to the
	// caller.
	failure *bufferedResponse
	// held counts the bodies of responses that are kept here.
	held relay.Account
	// lastEvent is the number of the last event that was written to the caller.
	lastEvent int64
}

// directCommand is an effect that the exchange has to execute. If the effect starts
// an attempt, ctx is the context of the attempt.
type directCommand struct {
	eff msg.Effect
	ctx context.Context
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serve executes commands until the request has ended.
func (x *directExchange) serve() {
	x.lastEvent = x.callerRequest.Arrived.LastEvent
	defer func() { _ = x.controller.SetWriteDeadline(time.Time{}) }()
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
	if x.responseEnded {
		x.driver.dropCommand(cmd)
		return true
	}
	switch eff := cmd.eff.(type) {
	case msg.StartDirectAttempt:
		x.runAttempt(cmd.ctx, eff)
		return false
	case msg.RefuseRequest:
		if x.response != msg.ResponseNone {
			panic(http.ErrAbortHandler)
		}
		x.callerRequest.Refuse(x.w, eff.Status, eff.Code, eff.RetryAfter)
	case msg.ForwardFailure:
		if x.response != msg.ResponseNone || x.failure == nil {
			panic(http.ErrAbortHandler)
		}
		x.writeResponse(x.failure)
	case msg.AbortRequest:
		// Closing the connection keeps the caller from mistaking the response for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
	return true
}

// writeResponse writes a complete response to the caller, for as long as that takes
// something. All of it is sent or held on return, so that an abort can't cut it.
func (x *directExchange) writeResponse(resp *bufferedResponse) {
	_ = x.controller.SetWriteDeadline(time.Time{})
	platform.CopyHeader(x.w.Header(), resp.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.response = msg.ResponseBody
	x.w.WriteHeader(resp.status)
	_, _ = x.Write(resp.body)
	_ = x.controller.Flush()
}

// Write writes a part of the response's body. It implements [io.Writer].
func (x *directExchange) Write(p []byte) (int, error) {
	n, err := x.w.Write(p)
	x.forwarded += int64(n)
	return n, err
}

// runAttempt runs an attempt and reports its end. A cancelled attempt counts as
// cancelled unless it was completed before.
func (x *directExchange) runAttempt(ctx context.Context, eff msg.StartDirectAttempt) {
	end := msg.DirectAttemptEnded{Result: msg.DirectCancelled}
	if ctx.Err() == nil {
		end = x.sendAttempt(ctx, &eff)
	}
	x.responseEnded = end.Result == msg.DirectDone
	if ctx.Err() != nil && end.Result != msg.DirectDone && end.Result != msg.DirectPrefilled {
		end.Result = msg.DirectCancelled
	}
	end.Attempt = eff.Attempt
	end.LastEvent = x.lastEvent
	end.Response = x.response
	end.ForwardedBytes = x.forwarded
	x.driver.endAttempt(end)
}

// interruptedAttempt returns the end of an attempt without a complete response.
func interruptedAttempt(err error) msg.DirectAttemptEnded {
	return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: err.Error()}
}

// sendAttempt sends a request to the target and receives the response.
func (x *directExchange) sendAttempt(ctx context.Context, eff *msg.StartDirectAttempt) msg.DirectAttemptEnded {
	driver := x.driver
	remaining := eff.Spec.Deadline - driver.loop.Now()
	if remaining <= 0 {
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "no time left"}
	}
	x.limitWrites(remaining)
	req := x.callerRequest.TargetRequest(&eff.Spec, remaining)
	req.Patient = eff.Spec.Patient && remaining > httpclient.SilenceLimit
	ctx, watch := watchStalls(ctx, eff.Spec.StallTimeout)
	defer watch.stop()
	resp, err := driver.pool.Do(ctx, eff.Spec.Addr, req)
	if errors.Is(err, httpclient.ErrNotSent) {
		driver.pool.CloseIdle(eff.Spec.Addr)
		return msg.DirectAttemptEnded{Result: msg.DirectUnreachable, Reason: err.Error()}
	}
	if err != nil {
		return interruptedAttempt(stallOr(ctx, err))
	}
	result := platform.ReadTargetResponse(resp, eff.Spec.Step)
	end := x.receiveResponse(eff, resp, result, watch)
	if end.Result == msg.DirectInterrupted && errors.Is(context.Cause(ctx), errStalled) {
		end.Reason = errStalled.Error()
	}
	end.Status = result.Status
	end.Load = result.Load
	end.Notice = &result.Notice
	end.Unframed = !resp.Framed
	return end
}

// receiveResponse reads the body of a target's response and forwards it where the
// kind of the response allows that.
func (x *directExchange) receiveResponse(eff *msg.StartDirectAttempt, resp *httpclient.Response, result platform.TargetResponse, watch *stallWatch) msg.DirectAttemptEnded {
	if result.Kind == platform.ResponseStream {
		return x.forwardStream(eff, resp, &result, watch)
	}
	watch.stop()
	defer x.releaseHeld()
	body, err := x.held.ReadAll(resp.Body, resp.ContentLength, maxBufferedResponse)
	if errors.Is(err, relay.ErrNoRoom) && result.Kind == platform.ResponseSuccess {
		x.driver.loop.Post(msg.DirectBodyStarted{Attempt: eff.Attempt, Notice: &result.Notice, Load: result.Load})
		return x.forwardLongResponse(resp, body)
	}
	resp.Close(err == nil)
	switch {
	case result.Kind == platform.ResponseNotRun:
		return msg.DirectAttemptEnded{Result: msg.DirectNotRun, Reason: "refused by the target", Misdirected: result.Misdirected}
	case err != nil:
		return interruptedAttempt(err)
	}
	return x.useResponse(resp, result.Kind, body)
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
func (x *directExchange) useResponse(resp *httpclient.Response, kind platform.ResponseKind, body []byte) msg.DirectAttemptEnded {
	switch kind {
	case platform.ResponseHandle:
		handle, err := platform.DecodeHandle(body)
		if err != nil {
			return interruptedAttempt(err)
		}
		return msg.DirectAttemptEnded{Result: msg.DirectPrefilled, Handle: handle}
	case platform.ResponseFailure:
		x.failure = &bufferedResponse{resp.StatusCode, resp.Header, body}
		return msg.DirectAttemptEnded{Result: msg.DirectFailed, Reason: "failure of the target"}
	case platform.ResponseInvalid:
		return msg.DirectAttemptEnded{Result: msg.DirectInterrupted, Reason: "answer must not be passed on"}
	}
	x.writeResponse(&bufferedResponse{resp.StatusCode, resp.Header, body})
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}

// forwardLongResponse forwards a response that is too long to be buffered. Head is
// the part that has been read.
func (x *directExchange) forwardLongResponse(resp *httpclient.Response, head []byte) msg.DirectAttemptEnded {
	platform.CopyHeader(x.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.response = msg.ResponseBody
	x.w.WriteHeader(resp.StatusCode)
	_, err := x.Write(head)
	x.releaseHeld()
	if err == nil {
		_, err = io.Copy(x, resp.Body)
	}
	resp.Close(err == nil)
	if err != nil {
		return interruptedAttempt(err)
	}
	_ = x.controller.Flush()
	return msg.DirectAttemptEnded{Result: msg.DirectDone}
}
