package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// stream writes an answer to the client as server-sent events.
type stream struct {
	job     *job
	mu      sync.Mutex
	w       http.ResponseWriter
	flusher http.Flusher
}

// keepAliveInterval is the time between two keep-alive comments on an open
// stream.
const keepAliveInterval = 500 * time.Millisecond

// sendKeepAlives writes keep-alive comments until the answer ends or the engine
// is frozen.
func (s *stream) sendKeepAlives(done, frozen <-chan struct{}) {
	t := time.NewTicker(keepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.write(": keep-alive\n\n")
		case <-done:
			return
		case <-frozen:
			return
		}
	}
}

func (s *stream) write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.w, text)
	if s.flusher != nil {
		s.flusher.Flush()
	}
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
	s := &stream{w: w, flusher: f, job: j}
	s.write(": accepted\n\n")
	return s
}

func (s *stream) sendToken(text string) { s.send(s.chunk(s.choice(text, nil))) }

// sendFinish sends the chunk with the finish reason.
func (s *stream) sendFinish() {
	reason := "length"
	s.send(s.chunk(s.choice("", &reason)))
}

// sendUsage sends the chunk with the token usage and then the end marker.
func (s *stream) sendUsage(generated int) {
	c := s.chunk()
	c.Usage = &usage{
		PromptTokens:     s.job.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      s.job.promptTokens + generated,
		Details:          promptDetails{CachedTokens: s.job.cached},
	}
	s.send(c)
	s.write("data: [DONE]\n\n")
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
		panic("engine: can't encode chunk: " + err.Error())
	}
	s.write("data: " + string(b) + "\n\n")
}
