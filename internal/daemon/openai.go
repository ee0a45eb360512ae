package daemon

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxPromptParts is the largest number of messages and parts of text in a prompt.
const maxPromptParts = 1 << 16

var errTooManyParts = errors.Newf("the prompt has more than %d parts", maxPromptParts)

// openAIRequest holds the fields of a chat or text completion request that the
// entry daemon uses. The engine receives the whole body.
type openAIRequest struct {
	Model               string         `json:"model"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Messages            messageTexts   `json:"messages"`
	Prompt              contentText    `json:"prompt"`
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
	case chat && r.Messages.count == 0:
		return nil, errors.New("field messages is missing or empty")
	case !chat && !r.Prompt.given:
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
	return string(r.Messages.text) + string(r.Prompt.text)
}

// messageTexts is the text of a list of messages. The messages themselves are not kept: a
// body of many small ones would take many times its size.
type messageTexts struct {
	count int
	text  []byte
}

// UnmarshalJSON implements [json.Unmarshaler].
func (m *messageTexts) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	message := struct {
		Role    string      `json:"role"`
		Content contentText `json:"content"`
	}{}
	return eachElement(raw, func(list *json.Decoder) error {
		if m.count++; m.count > maxPromptParts {
			return errTooManyParts
		}
		message.Content = contentText{text: m.text, parts: m.count}
		if err := list.Decode(&message); err != nil {
			return err
		}
		m.text, m.count = message.Content.text, max(m.count, message.Content.parts)
		return nil
	})
}

// contentText is the text of a JSON string, a list of strings or a list of text parts. Other
// JSON has no text, a list of tokens included.
type contentText struct {
	given bool
	text  []byte
	parts int
}

// UnmarshalJSON implements [json.Unmarshaler]. It appends to the text.
func (c *contentText) UnmarshalJSON(raw []byte) error {
	c.given = true
	if raw[0] != '[' {
		return c.addString(raw)
	}
	if first := bytes.TrimLeft(raw[1:], " \t\r\n"); bytes.IndexByte([]byte("-0123456789"), first[0]) >= 0 {
		return nil
	}
	var item json.RawMessage
	return eachElement(raw, func(list *json.Decoder) error {
		if err := list.Decode(&item); err != nil {
			return err
		}
		if c.parts++; c.parts > maxPromptParts {
			return errTooManyParts
		}
		if item[0] == '{' {
			return c.addPart(item)
		}
		return c.addString(item)
	})
}

// addString appends a JSON string, and ignores other JSON.
func (c *contentText) addString(raw []byte) error {
	if raw[0] != '"' {
		return nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	c.text = append(c.text, s...)
	return nil
}

// addPart appends the text of an object, and ignores one whose text is no string.
func (c *contentText) addPart(raw []byte) error {
	var part struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &part) == nil {
		c.text = append(c.text, part.Text...)
	}
	return nil
}

// eachElement calls f for each element of a JSON list, which f decodes. Other JSON is an
// error.
func eachElement(raw []byte, f func(*json.Decoder) error) error {
	list := json.NewDecoder(bytes.NewReader(raw))
	if begin, err := list.Token(); err != nil || begin != json.Delim('[') {
		return errors.New("not a list")
	}
	for list.More() {
		if err := f(list); err != nil {
			return err
		}
	}
	return nil
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
