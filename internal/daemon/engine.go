package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// targetCallTimeout limits the calls that read a target's state or cancel an
	// attempt on it.
	targetCallTimeout = 2 * time.Second
	// engineSilenceTimeout is the time without any line on an engine's stream,
	// comments included, after which the stream is considered dead.
	engineSilenceTimeout = 4 * time.Second
	// maxEventLine is the longest line of an event stream in bytes.
	maxEventLine = 1 << 20
	// maxErrorBody is the largest part of an error response in bytes that is read.
	maxErrorBody = 4 << 10
)

// engineClient calls a model engine through the interface described in
// docs/INTERFACES.md.
type engineClient struct {
	base string
	http *http.Client
}

// engineOptions holds the fields that are added to the body of a caller's request.
type engineOptions struct {
	Stream        bool              `json:"stream"`
	StreamOptions streamOptions     `json:"stream_options"`
	Priority      int               `json:"priority"`
	Resume        *engineResume     `json:"resume,omitempty"`
	KVTransfer    *engineKVTransfer `json:"kv_transfer,omitempty"`
	PrefillOnly   bool              `json:"prefill_only,omitempty"`
	MaxTokens     int               `json:"max_tokens,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type engineResume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type engineKVTransfer struct {
	From    string        `json:"from"`
	Attempt msg.AttemptID `json:"attempt"`
}

// engineChunk is one data event of an engine's stream.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Tokens *int         `json:"tokens"`
	Usage  *engineUsage `json:"usage"`
}

type engineUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// requestBody returns the body of the caller's request with the engine's options
// added.
func (e *engineClient) requestBody(a *attemptRun) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(a.payload.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	opts := engineOptions{
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		Priority:      a.spec.Priority,
		PrefillOnly:   a.spec.PrefillOnly,
		MaxTokens:     a.spec.MaxTokens,
	}
	if a.payload.ResumeTokens > 0 {
		opts.Resume = &engineResume{Text: a.payload.ResumeText, Tokens: a.payload.ResumeTokens}
	}
	if a.kvURL != "" {
		opts.KVTransfer = &engineKVTransfer{From: a.kvURL, Attempt: a.spec.KVAttempt}
	}
	added, err := json.Marshal(opts)
	if err != nil {
		return nil, errors.Wrap(err, "request options")
	}
	if err := json.Unmarshal(added, &fields); err != nil {
		return nil, errors.Wrap(err, "request options")
	}
	return json.Marshal(fields)
}

func (e *engineClient) run(ctx context.Context, a *attemptRun) attemptOutcome {
	body, err := e.requestBody(a)
	if err != nil {
		return attemptOutcome{result: msg.AttemptFailed, reason: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+a.payload.Path, bytes.NewReader(body))
	if err != nil {
		return attemptOutcome{result: msg.AttemptFailed, reason: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Attempt-Id", string(a.spec.Attempt))
	resp, err := e.http.Do(req)
	if err != nil {
		return callErrorOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return engineErrorOutcome(resp)
	}
	out := readEvents(ctx, resp.Body, a)
	if out.result == msg.AttemptDone {
		return out
	}
	if errors.Is(out.cause, errSilent) && e.isResponsive(ctx) {
		// The connection has failed and not the engine, so the attempt did not crash.
		out.result = msg.AttemptMoved
	}
	e.cancelAttempt(a.spec.Attempt)
	return out
}

// isResponsive reports whether the engine responds on another connection.
func (e *engineClient) isResponsive(ctx context.Context) bool {
	_, err := e.read(ctx)
	return err == nil
}

// callErrorOutcome returns the outcome of a call that ended without a response.
func callErrorOutcome(ctx context.Context, err error) attemptOutcome {
	if out, stopped := cancelOutcome(ctx, msg.TokenUsage{}); stopped {
		return out
	}
	if isDialError(err) {
		return attemptOutcome{result: msg.AttemptNotRun, reason: "target does not accept connections"}
	}
	return attemptOutcome{result: msg.AttemptCrashed, reason: "target broke off"}
}

// engineErrorOutcome returns the outcome of a call to which the engine responded
// with an error. Statuses 429 and 503 mean that the engine did not run the attempt.
func engineErrorOutcome(resp *http.Response) attemptOutcome {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	reason := fmt.Sprintf("engine answered %d: %s", resp.StatusCode, strings.TrimSpace(string(b)))
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		return attemptOutcome{result: msg.AttemptNotRun, reason: reason}
	}
	return attemptOutcome{result: msg.AttemptFailed, reason: reason}
}

// readEvents converts a stream of server-sent events to frames of the attempt.
func readEvents(ctx context.Context, body io.ReadCloser, a *attemptRun) attemptOutcome {
	var silent atomic.Bool
	watchdog := time.AfterFunc(engineSilenceTimeout, func() {
		silent.Store(true)
		_ = body.Close()
	})
	defer watchdog.Stop()
	var usage msg.TokenUsage
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		watchdog.Reset(engineSilenceTimeout)
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return attemptOutcome{result: msg.AttemptDone, usage: usage}
		}
		if err := appendEvent(a, data, &usage); err != nil {
			if out, stopped := cancelOutcome(ctx, usage); stopped {
				return out
			}
			return attemptOutcome{result: msg.AttemptFailed, reason: err.Error(), usage: usage}
		}
	}
	if out, stopped := cancelOutcome(ctx, usage); stopped {
		return out
	}
	if silent.Load() {
		return attemptOutcome{msg.AttemptCrashed, errSilent.Error(), usage, errSilent}
	}
	return attemptOutcome{result: msg.AttemptCrashed, reason: "stream ended early", usage: usage}
}

// appendEvent appends the content of one data event to the attempt and updates
// usage.
func appendEvent(a *attemptRun, data []byte, usage *msg.TokenUsage) error {
	var c engineChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "engine event")
	}
	if c.Usage != nil {
		*usage = msg.TokenUsage{Prompt: c.Usage.Prompt, Cached: c.Usage.Details.Cached, Generated: c.Usage.Completion}
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	out := &link.Chunk{Text: choice.Delta.Content + choice.Text, Finish: choice.FinishReason}
	if out.Text != "" {
		out.Tokens = 1
	}
	if c.Tokens != nil {
		out.Tokens = *c.Tokens
	}
	if c.Usage == nil {
		usage.Generated += int64(out.Tokens)
	}
	if out.Text == "" && out.Finish == "" {
		return nil
	}
	return a.appendFrame(&link.Frame{Chunk: out})
}

// cancelAttempt requests the engine to stop an attempt. Errors are ignored.
func (e *engineClient) cancelAttempt(id msg.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), targetCallTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/attempts/"+url.PathEscape(string(id))+"/cancel", nil)
	if err != nil {
		return
	}
	if resp, err := e.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
