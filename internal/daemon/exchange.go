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
	// answerBuffer is the number of chunks that may wait for a slow caller.
	chunkBuffer = 64
	// maxServiceAnswer bounds the answer of a plain service in bytes.
	maxServiceResponse = 16 << 20
)

// Errors of an exchange.
var (
	errSuperseded       = errors.New("another attempt has taken over")
	errCallerGone       = errors.New("caller has left")
	errResponseTooLarge = errors.Newf("answer is larger than %d bytes", maxServiceResponse)
)

// exchange is one caller's request on an entry daemon and the answer so far.
type exchange struct {
	id          msg.RequestID
	payload     link.Payload
	isEngine    bool
	ctx         context.Context
	chunks      chan *link.Chunk
	finalEffect chan msg.Effect

	mu      sync.Mutex
	attempt msg.AttemptID
	text    strings.Builder
	tokens  int
	head    *link.Head
	body    []byte
	usage   msg.TokenUsage
}

func newExchange(ctx context.Context, id msg.RequestID, isEngine bool, p link.Payload) *exchange {
	return &exchange{
		id: id, payload: p, isEngine: isEngine, ctx: ctx,
		chunks:      make(chan *link.Chunk, chunkBuffer),
		finalEffect: make(chan msg.Effect, 1),
	}
}

// begin makes an attempt the current one and returns the payload that
// continues the answer.
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

// deliver takes one frame of the answer. Frames of another than the current
// attempt are refused.
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

// keep collects a plain service's answer, which is passed on when it is whole.
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

// answer returns a plain service's whole answer, or nil.
func (x *exchange) response() *msg.StoredResponse {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.head == nil {
		return nil
	}
	return &msg.StoredResponse{Status: x.head.Status, ContentType: x.head.ContentType, Body: x.body}
}

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

func (x *exchange) tokenCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tokens
}

// end hands the final effect to the caller's handler.
func (x *exchange) finish(eff msg.Effect) {
	select {
	case x.finalEffect <- eff:
	default:
	}
}
