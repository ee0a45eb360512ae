package daemon

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// chunkBuffer is the number of chunks that may be queued for a slow caller.
	chunkBuffer = 64
	// maxServiceResponse is the largest response of a plain service in bytes.
	maxServiceResponse = 16 << 20
)

// Errors with which an exchange refuses a frame.
var (
	errSuperseded       = errors.New("another attempt has taken over")
	errCallerGone       = errors.New("caller has left")
	errResponseTooLarge = errors.Newf("answer is larger than %d bytes", maxServiceResponse)
)

// exchange is one request of a caller on an entry daemon, with the part of the
// response that has been received so far.
type exchange struct {
	id      msg.RequestID
	payload link.Payload
	// isEngine reports whether the target is an engine and not a plain service.
	isEngine bool
	// ctx ends when the caller disconnects.
	ctx    context.Context
	chunks chan *link.Chunk
	// finalEffect receives the effect that ends the request.
	finalEffect chan msg.Effect

	mu sync.Mutex
	// attempt is the current attempt.
	attempt msg.AttemptID
	// text and tokens are the response of an engine.
	text   strings.Builder
	tokens int
	// head and body are the response of a plain service.
	head  *link.Head
	body  []byte
	usage msg.TokenUsage
}

func newExchange(ctx context.Context, id msg.RequestID, isEngine bool, p link.Payload) *exchange {
	return &exchange{
		id: id, payload: p, isEngine: isEngine, ctx: ctx,
		chunks:      make(chan *link.Chunk, chunkBuffer),
		finalEffect: make(chan msg.Effect, 1),
	}
}

// beginAttempt makes an attempt the current one and returns its payload. For an
// engine, the payload contains the response received so far, which the attempt
// continues. The response of a plain service starts again.
func (x *exchange) beginAttempt(id msg.AttemptID) link.Payload {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt = id
	x.head, x.body = nil, nil
	p := x.payload
	if x.isEngine {
		p.ResumeText, p.ResumeTokens = x.text.String(), x.tokens
	}
	return p
}

// deliver handles one frame of the response. It refuses frames of attempts other
// than the current one, and blocks while the chunk buffer is full.
func (x *exchange) deliver(id msg.AttemptID, f *link.Frame) error {
	x.mu.Lock()
	if x.attempt != id {
		x.mu.Unlock()
		return errSuperseded
	}
	if !x.isEngine {
		defer x.mu.Unlock()
		return x.collect(f)
	}
	if f.Chunk == nil {
		x.mu.Unlock()
		return nil
	}
	x.text.WriteString(f.Chunk.Text)
	x.tokens += f.Chunk.Tokens
	x.mu.Unlock()
	select {
	case x.chunks <- f.Chunk:
		return nil
	case <-x.ctx.Done():
		return errCallerGone
	}
}

// collect buffers a plain service's response, which is sent to the caller when it
// is complete.
func (x *exchange) collect(f *link.Frame) error {
	if f.Head != nil {
		x.head = f.Head
		return nil
	}
	x.body = append(x.body, f.Chunk.Data...)
	if len(x.body) > maxServiceResponse {
		return errResponseTooLarge
	}
	return nil
}

// response returns a plain service's complete response, or nil if no response has
// begun.
func (x *exchange) response() *msg.StoredResponse {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.head == nil {
		return nil
	}
	return &msg.StoredResponse{Status: x.head.Status, ContentType: x.head.ContentType, Body: x.body}
}

// addUsage adds the token usage of an attempt. Generated tokens add up over the
// attempts. Prompt and cached tokens count once, with the largest value reported.
func (x *exchange) addUsage(u msg.TokenUsage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.usage.Prompt = max(x.usage.Prompt, u.Prompt)
	x.usage.Cached = max(x.usage.Cached, u.Cached)
	x.usage.Generated += u.Generated
}

func (x *exchange) totalUsage() msg.TokenUsage {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.usage
}

// tokenCount returns the number of tokens received so far.
func (x *exchange) tokenCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tokens
}

// finish passes the effect that ends the request to the caller's handler.
func (x *exchange) finish(eff msg.Effect) {
	select {
	case x.finalEffect <- eff:
	default:
	}
}
