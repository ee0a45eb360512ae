package daemon

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// openAIRequest holds the fields of a chat or text completion request that the
// entry daemon uses. The engine receives the whole body.
type openAIRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            []openAIMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type openAIMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseOpenAI decodes and validates a request body.
func parseOpenAI(body []byte, chat bool) (*openAIRequest, error) {
	var r openAIRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Newf("body is not valid JSON: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, errors.New("field model is missing")
	case chat && len(r.Messages) == 0:
		return nil, errors.New("field messages is missing or empty")
	case !chat && len(r.Prompt) == 0:
		return nil, errors.New("field prompt is missing")
	case r.N != nil && *r.N != 1:
		return nil, errors.New("field n must be 1")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return nil, errors.New("the token limit must not be negative")
	}
	return &r, nil
}

// maxTokens returns the token limit set by the caller, or zero if there is none.
func (r *openAIRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// promptText returns the text of the prompt, with the messages in their order.
func (r *openAIRequest) promptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(contentText(m.Content))
	}
	b.WriteString(contentText(r.Prompt))
	return b.String()
}

// contentText returns the text of a JSON string, a list of strings or a list of text
// parts. Other JSON has no text.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return ""
	}
	var b strings.Builder
	for _, item := range list {
		var part struct {
			Text string `json:"text"`
		}
		if json.Unmarshal(item, &s) == nil {
			b.WriteString(s)
		} else if json.Unmarshal(item, &part) == nil {
			b.WriteString(part.Text)
		}
	}
	return b.String()
}

// openAIResponse is a chat or text completion, or a chunk of one.
type openAIResponse struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []openAIChoice `json:"choices"`
	Usage   *openAIUsage   `json:"usage,omitempty"`
}

type openAIChoice struct {
	Index        int               `json:"index"`
	Message      *openAIText       `json:"message,omitempty"`
	Delta        *openAIText       `json:"delta,omitempty"`
	Text         *string           `json:"text,omitempty"`
	FinishReason *string           `json:"finish_reason"`
	Logprobs     *openAINoLogprobs `json:"logprobs"`
}

type openAIText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// openAINoLogprobs is the type of the log probabilities, which are not supported.
type openAINoLogprobs struct{}

type openAIUsage struct {
	PromptTokens     int64             `json:"prompt_tokens"`
	CompletionTokens int64             `json:"completion_tokens"`
	TotalTokens      int64             `json:"total_tokens"`
	PromptDetails    openAIPromptUsage `json:"prompt_tokens_details"`
}

type openAIPromptUsage struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func newOpenAIUsage(u msg.TokenUsage, generated int) *openAIUsage {
	return &openAIUsage{
		PromptTokens: u.Prompt, CompletionTokens: int64(generated), TotalTokens: u.Prompt + int64(generated),
		PromptDetails: openAIPromptUsage{CachedTokens: u.Cached},
	}
}

// openAIError is the body of an error response.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

type openAIErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is one of not-run, unknown and run.
	Outcome string `json:"outcome"`
	// Request identifies the request to operators.
	Request string `json:"request_id,omitempty"`
}
