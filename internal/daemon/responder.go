package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// callerWriteTimeout limits one write to a caller that does not read.
	callerWriteTimeout = 15 * time.Second
	// keepAliveInterval is the time between two comments that are sent on a stream,
	// which may have no events for a long time.
	keepAliveInterval = 5 * time.Second
)

// responder writes the response of an engine in the format of the OpenAI API.
type responder struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	x             *exchange
	chat          bool
	stream        bool
	includeUsage  bool
	response      openAIResponse
	text          strings.Builder
	finishReason  string
	streamStarted bool
}

// serve writes chunks as they arrive and returns after the effect that ends the
// request, or when the caller disconnects.
func (r *responder) serve() {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case c := <-r.x.chunks:
			r.writeChunk(c)
		case eff := <-r.x.finalEffect:
			r.drainChunks()
			r.writeEnd(eff)
			return
		case <-keepAlive.C:
			if r.streamStarted {
				r.write(": keep-alive\n\n")
			}
		case <-r.x.ctx.Done():
			return
		}
	}
}

// drainChunks writes the chunks that are already queued.
func (r *responder) drainChunks() {
	for {
		select {
		case c := <-r.x.chunks:
			r.writeChunk(c)
		default:
			return
		}
	}
}

// writeChunk writes a chunk to the stream, or buffers its text if the caller did not
// request a stream.
func (r *responder) writeChunk(c *link.Chunk) {
	if c.Finish != "" {
		r.finishReason = c.Finish
	}
	if !r.stream {
		r.text.WriteString(c.Text)
		return
	}
	r.startStream()
	if c.Text != "" {
		r.writeEvent(r.choice(c.Text, nil))
	}
}

// startStream writes the head of a stream, unless it has been written.
func (r *responder) startStream() {
	if r.streamStarted {
		return
	}
	r.streamStarted = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	r.w.WriteHeader(http.StatusOK)
	if r.chat {
		first := r.choice("", nil)
		first[0].Delta.Role = "assistant"
		r.writeEvent(first)
	}
}

// choice returns the list of choices of a stream's event, which has one element.
func (r *responder) choice(text string, finish *string) []openAIChoice {
	c := openAIChoice{FinishReason: finish}
	if r.chat {
		c.Delta = &openAIText{Content: text}
	} else {
		c.Text = &text
	}
	return []openAIChoice{c}
}

// writeEvent writes a data event.
func (r *responder) writeEvent(choices []openAIChoice) {
	r.response.Choices = choices
	b, err := json.Marshal(r.response)
	if err != nil {
		panic("daemon: answer can't be encoded: " + err.Error())
	}
	r.write("data: " + string(b) + "\n\n")
}

// write writes and flushes a part of a stream. Errors are ignored, because the
// request's context ends when the caller disconnects.
func (r *responder) write(s string) {
	_ = r.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := r.w.Write([]byte(s)); err != nil {
		return
	}
	_ = r.controller.Flush()
}

// writeEnd ends the response as the final effect requires.
func (r *responder) writeEnd(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.FinishRequest:
		r.writeCompletion()
	case msg.RefuseRequest:
		if r.streamStarted {
			r.abortStream(msg.AbortRequest{Req: eff.Req, Code: eff.Code, Reason: eff.Reason, Outcome: eff.Outcome})
			return
		}
		writeRefusal(r.w, eff)
	case msg.AbortRequest:
		if r.streamStarted {
			r.abortStream(eff)
			return
		}
		writeRefusal(r.w, msg.RefuseRequest{
			Req: eff.Req, Status: http.StatusBadGateway, Code: eff.Code, Reason: eff.Reason, Outcome: eff.Outcome,
		})
	}
}

// writeCompletion writes the end of a successful response.
func (r *responder) writeCompletion() {
	if r.finishReason == "" {
		r.finishReason = "stop"
	}
	usage := newOpenAIUsage(r.x.totalUsage(), r.x.tokenCount())
	if !r.stream {
		r.writeWholeResponse(usage)
		return
	}
	r.startStream()
	r.writeEvent(r.choice("", &r.finishReason))
	if r.includeUsage {
		r.response.Usage = usage
		r.writeEvent([]openAIChoice{})
	}
	r.write("data: [DONE]\n\n")
}

// writeWholeResponse writes a response that is not streamed.
func (r *responder) writeWholeResponse(usage *openAIUsage) {
	text := r.text.String()
	c := openAIChoice{FinishReason: &r.finishReason}
	if r.chat {
		r.response.Object = "chat.completion"
		c.Message = &openAIText{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	r.response.Choices = []openAIChoice{c}
	r.response.Usage = usage
	_ = r.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	writeJSON(r.w, http.StatusOK, r.response)
}

// abortStream ends a stream that has begun with an error event and without the end
// marker, and closes the connection, so that no client can mistake the response for
// a complete one.
func (r *responder) abortStream(eff msg.AbortRequest) {
	b, err := json.Marshal(refusalBody(eff.Req, eff.Code, eff.Reason, eff.Outcome))
	if err != nil {
		panic("daemon: error can't be encoded: " + err.Error())
	}
	r.write("data: " + string(b) + "\n\n")
	panic(http.ErrAbortHandler)
}

// refusalBody returns the body of an error response.
func refusalBody(id msg.RequestID, code, reason string, o msg.Outcome) openAIError {
	return openAIError{openAIErrorBody{
		Message: reason, Type: "verbenaspur_error", Code: code, Outcome: o.String(), Request: string(id),
	}}
}

// writeRefusal writes the error response to a request that ended before its
// response had begun.
func writeRefusal(w http.ResponseWriter, eff msg.RefuseRequest) {
	if eff.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(eff.RetryAfter.Seconds()))))
	}
	if eff.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, eff.Status, refusalBody(eff.Req, eff.Code, eff.Reason, eff.Outcome))
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("daemon: answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}
