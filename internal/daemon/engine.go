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
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// targetCallLimit bounds reads and cancels at a target.
	targetCallLimit = 2 * time.Second
	// engineSilence is the time without any line on a stream, comments
	// included, after which the engine's stream is taken for dead.
	engineSilence = 4 * time.Second
	maxEventLine  = 1 << 20
	maxErrorBody  = 4 << 10
)

// engineClient talks to a model engine as docs/INTERFACES.md describes.
type engineClient struct {
	base string
	http *http.Client
}

// engineOptions are the fields that are added to a request's body.
type engineOptions struct {
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Priority      int           `json:"priority"`
	Resume        *engineResume `json:"resume,omitempty"`
	KVTransfer    *engineKVFrom `json:"kv_transfer,omitempty"`
	PrefillOnly   bool          `json:"prefill_only,omitempty"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type engineResume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type engineKVFrom struct {
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

func (e *engineClient) body(a *attemptRun) ([]byte, error) {
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
		opts.KVTransfer = &engineKVFrom{From: a.kvURL, Attempt: a.spec.KVAttempt}
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
	body, err := e.body(a)
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
		return callFailed(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return engineRefused(resp)
	}
	out := readEvents(ctx, resp.Body, a)
	if out.result == msg.AttemptDone {
		return out
	}
	if errors.Is(out.cause, errSilent) && e.answers(ctx) {
		// The connection is at fault and not the engine.
		out.result = msg.AttemptMoved
	}
	e.cancel(a.spec.Attempt)
	return out
}

// answers reports whether the engine answers on another connection.
func (e *engineClient) answers(ctx context.Context) bool {
	_, err := e.read(ctx)
	return err == nil
}

// callFailed is the outcome of a call that brought no answer.
func callFailed(ctx context.Context, err error) attemptOutcome {
	if out, stopped := stopOutcome(ctx, msg.TokenUsage{}); stopped {
		return out
	}
	if isDialError(err) {
		return attemptOutcome{result: msg.AttemptNotRun, reason: "target does not accept connections"}
	}
	return attemptOutcome{result: msg.AttemptCrashed, reason: "target broke off"}
}

func engineRefused(resp *http.Response) attemptOutcome {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	reason := fmt.Sprintf("engine answered %d: %s", resp.StatusCode, strings.TrimSpace(string(b)))
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		return attemptOutcome{result: msg.AttemptNotRun, reason: reason}
	}
	return attemptOutcome{result: msg.AttemptFailed, reason: reason}
}

// readEvents turns a stream of server-sent events into frames.
func readEvents(ctx context.Context, body io.ReadCloser, a *attemptRun) attemptOutcome {
	var silent atomic.Bool
	watchdog := time.AfterFunc(engineSilence, func() {
		silent.Store(true)
		_ = body.Close()
	})
	defer watchdog.Stop()
	var usage msg.TokenUsage
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		watchdog.Reset(engineSilence)
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return attemptOutcome{result: msg.AttemptDone, usage: usage}
		}
		if err := addChunk(a, data, &usage); err != nil {
			if out, stopped := stopOutcome(ctx, usage); stopped {
				return out
			}
			return attemptOutcome{result: msg.AttemptFailed, reason: err.Error(), usage: usage}
		}
	}
	if out, stopped := stopOutcome(ctx, usage); stopped {
		return out
	}
	if silent.Load() {
		return attemptOutcome{msg.AttemptCrashed, errSilent.Error(), usage, errSilent}
	}
	return attemptOutcome{result: msg.AttemptCrashed, reason: "stream ended early", usage: usage}
}

// addChunk adds one data event to the attempt.
func addChunk(a *attemptRun, data []byte, usage *msg.TokenUsage) error {
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
	return a.add(&link.Frame{Chunk: out})
}

func (e *engineClient) cancel(id msg.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), targetCallLimit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/attempts/"+url.PathEscape(string(id))+"/cancel", nil)
	if err != nil {
		return
	}
	if resp, err := e.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// engineLoad is the engine's answer to GET /v1/load.
type engineLoad struct {
	Role          string        `json:"role"`
	Models        []engineModel `json:"models"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	PrefillTokens int           `json:"prefillTokens"`
	KVUsed        int           `json:"kvUsed"`
	KVTotal       int           `json:"kvTotal"`
	PrefillRate   float32       `json:"prefillRate"`
	StepMicros    int64         `json:"stepMicros"`
	MaxBatch      int           `json:"maxBatch"`
	Order         msg.OrderID   `json:"order"`
	Epoch         msg.Epoch     `json:"epoch"`
	Changing      bool          `json:"changing"`
}

type engineModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

func (l *engineLoad) report() msg.LoadReport {
	r := msg.LoadReport{
		Role: parseRole(l.Role), Running: l.Running, Queued: l.Queued,
		PrefillTokens: l.PrefillTokens, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
		PrefillRate: l.PrefillRate, StepTime: time.Duration(l.StepMicros) * time.Microsecond,
		MaxBatch: l.MaxBatch, Order: l.Order,
	}
	if l.Changing {
		r.Phase = msg.PhaseChanging
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, msg.LoadedModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	return r
}

func parseRole(s string) msg.Role {
	switch s {
	case "prefill":
		return msg.RolePrefill
	case "decode":
		return msg.RoleDecode
	}
	return msg.RoleMixed
}

func (e *engineClient) read(ctx context.Context) (msg.TargetRead, error) {
	var l engineLoad
	if err := getJSON(ctx, e.http, e.base+"/v1/load", &l); err != nil {
		return msg.TargetRead{}, err
	}
	return msg.TargetRead{Report: l.report(), Epoch: l.Epoch}, nil
}

func (e *engineClient) cacheEvents(ctx context.Context, after uint64) ([]msg.CacheEvent, error) {
	var answer struct {
		Events []struct {
			Seq     uint64   `json:"seq"`
			Removed bool     `json:"removed"`
			Pieces  []string `json:"pieces"`
		} `json:"events"`
	}
	if err := getJSON(ctx, e.http, e.base+"/v1/cache-events?after="+strconv.FormatUint(after, 10), &answer); err != nil {
		return nil, err
	}
	out := make([]msg.CacheEvent, 0, len(answer.Events))
	for _, ev := range answer.Events {
		ce := msg.CacheEvent{Seq: ev.Seq, Removed: ev.Removed}
		for _, p := range ev.Pieces {
			h, err := strconv.ParseUint(p, 16, 64)
			if err != nil {
				return nil, errors.Wrap(err, "cache event")
			}
			ce.Pieces = append(ce.Pieces, msg.PieceHash(h))
		}
		out = append(out, ce)
	}
	return out, nil
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	ID      msg.OrderID `json:"id"`
	Epoch   msg.Epoch   `json:"epoch"`
	Kind    string      `json:"kind"`
	Role    string      `json:"role,omitempty"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
}

func (e *engineClient) apply(ctx context.Context, o msg.Order) msg.OrderApplied {
	body, err := json.Marshal(engineOrder{
		ID: o.ID, Epoch: o.Epoch, Kind: o.Kind.String(), Role: o.Role.String(),
		Model: o.Model, Version: o.Version, Adapter: o.Adapter,
	})
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderFailed, Reason: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderFailed, Reason: err.Error()}
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderUnknown, Reason: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return msg.OrderApplied{Order: o.ID, Status: orderStatus(resp.StatusCode, b), Reason: strings.TrimSpace(string(b))}
}

func orderStatus(code int, body []byte) msg.OrderStatus {
	switch {
	case code == http.StatusOK:
		return msg.OrderDone
	case code == http.StatusConflict && bytes.Contains(body, []byte("stale-epoch")):
		return msg.OrderStale
	case code == http.StatusConflict:
		return msg.OrderBusy
	}
	return msg.OrderFailed
}
