package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// stream writes an answer as server-sent events.
type stream struct {
	w     http.ResponseWriter
	flush http.Flusher
	job   *job
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newStream(w http.ResponseWriter, j *job) *stream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	f, _ := w.(http.Flusher)
	return &stream{w: w, flush: f, job: j}
}

func (s *stream) token(text string) { s.send(s.chunk(s.choice(text, nil))) }

// finish sends the chunk with the reason for the end.
func (s *stream) finish() {
	reason := "length"
	s.send(s.chunk(s.choice("", &reason)))
}

// usage sends the last chunk and the end mark.
func (s *stream) usage(generated int) {
	c := s.chunk()
	c.Usage = &usage{
		PromptTokens:     s.job.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      s.job.promptTokens + generated,
		Details:          promptDetails{CachedTokens: s.job.cached},
	}
	s.send(c)
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
}

func (s *stream) chunk(choices ...choice) chunk {
	object := "text_completion"
	if s.job.chat {
		object = "chat.completion.chunk"
	}
	return chunk{ID: s.job.id, Object: object, Model: s.job.req.Model, Choices: append([]choice{}, choices...)}
}

func (s *stream) choice(text string, reason *string) choice {
	if s.job.chat {
		return choice{Delta: &delta{Content: text}, FinishReason: reason}
	}
	return choice{Text: &text, FinishReason: reason}
}

func (s *stream) send(c chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic("engine: chunk can't be encoded: " + err.Error())
	}
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", b)
	if s.flush != nil {
		s.flush.Flush()
	}
}
