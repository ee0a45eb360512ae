package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// API keys of examples/demo.yaml.
const (
	keyDepot    = "vsp_depot-1_demo-secret-of-the-depot"
	keyTownship = "vsp_township-1_demo-secret-of-the-township"
)

// call is an HTTP request of a caller.
type call struct {
	method, url, key, idempotencyKey string
	body                             any
}

// reply is a response whose body has been read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (c call) send(ctx context.Context) (*http.Response, error) {
	var body io.Reader
	if c.body != nil {
		b, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	return http.DefaultClient.Do(req)
}

func (c call) do(ctx context.Context) (*reply, error) {
	resp, err := c.send(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "response body ended early")
	}
	return &reply{resp.StatusCode, resp.Header, b}, nil
}

// requireStatus returns an error unless the response has the given status.
func (r *reply) requireStatus(status int) error {
	if r.status != status {
		return errors.Newf("status %d instead of %d: %s", r.status, status, bytes.TrimSpace(r.body))
	}
	return nil
}

func getJSON(ctx context.Context, url string, v any) error {
	r, err := call{method: http.MethodGet, url: url}.do(ctx)
	if err != nil {
		return err
	}
	if err := r.requireStatus(http.StatusOK); err != nil {
		return err
	}
	return json.Unmarshal(r.body, v)
}

// chatBody is the request body of a chat completion.
type chatBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatAnswer is a chat completion or a chunk of a streamed one.
type chatAnswer struct {
	Choices []struct {
		Message      chatMessage `json:"message"`
		Delta        chatMessage `json:"delta"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Usage *chatUsage   `json:"usage"`
	Error *errorDetail `json:"error"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

func newChat(model, prompt string, tokens int, stream bool) chatBody {
	b := chatBody{Model: model, MaxTokens: tokens, Stream: stream, Messages: []chatMessage{{"user", prompt}}}
	if stream {
		b.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return b
}

// completion is a complete streamed answer.
type completion struct {
	text         string
	finishReason string
	usage        chatUsage
}

// stream makes a streamed call and returns the complete answer. A stream that
// ends without the end marker is an error.
func (c call) stream(ctx context.Context) (*completion, error) {
	resp, err := c.send(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	var out completion
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.text = text.String()
			return &out, nil
		}
		if err := out.add(&text, data); err != nil {
			return nil, err
		}
	}
	return nil, errors.Newf("stream ended without the end marker after %d bytes", text.Len())
}

func (c *completion) add(text *strings.Builder, data string) error {
	var a chatAnswer
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		return err
	}
	if a.Error != nil {
		return errors.Newf("stream ended with an error: %s: %s (%s)", a.Error.Code, a.Error.Message, a.Error.Outcome)
	}
	if a.Usage != nil {
		c.usage = *a.Usage
	}
	for _, ch := range a.Choices {
		text.WriteString(ch.Delta.Content)
		if ch.FinishReason != nil {
			c.finishReason = *ch.FinishReason
		}
	}
	return nil
}
