package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/prefixhash"
)

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(prompt)), i)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt joins the messages of a chat to the text that is prefilled.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// request is the body of a generation call.
type request struct {
	Model       string      `json:"model"`
	Messages    []Message   `json:"messages"`
	Prompt      string      `json:"prompt"`
	MaxTokens   int         `json:"max_tokens"`
	Priority    int         `json:"priority"`
	Resume      *resume     `json:"resume"`
	KVTransfer  *kvTransfer `json:"kv_transfer"`
	PrefillOnly bool        `json:"prefill_only"`
}

type resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type kvTransfer struct {
	From    string `json:"from"`
	Attempt string `json:"attempt"`
}

// job is one generation.
type job struct {
	id     string
	chat   bool
	req    request
	prompt string
	pieces []msg.BlockHash
	// promptTokens counts the prompt; cached is the part of it that needed no
	// prefill.
	promptTokens, cached int
}

func (s *Server) generateChat(w http.ResponseWriter, r *http.Request) { s.generate(w, r, true) }
func (s *Server) generateText(w http.ResponseWriter, r *http.Request) { s.generate(w, r, false) }

func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	j := &job{id: r.Header.Get("X-Attempt-Id"), chat: chat}
	if err := json.NewDecoder(r.Body).Decode(&j.req); err != nil {
		writeError(w, http.StatusBadRequest, "invalid-json", err.Error())
		return
	}
	j.prepare()
	if s.cfg.PoisonText != "" && strings.Contains(j.prompt, s.cfg.PoisonText) {
		s.countStart(j.id)
		s.faults.Crash(s.scaled(s.cfg.CrashFor))
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if code := s.begin(j, cancel); code != "" {
		writeError(w, statusOf(code), code, s.cfg.Name+" does not run the attempt")
		return
	}
	defer s.end(j)
	if !s.run(ctx, w, j) {
		panic(http.ErrAbortHandler)
	}
}

func (j *job) prepare() {
	j.prompt = j.req.Prompt
	if j.chat {
		j.prompt = Prompt(j.req.Messages)
	}
	j.pieces = prefixhash.BlockHashes(j.req.Model, j.prompt)
	j.promptTokens = prefixhash.EstimateTokens(len(j.prompt))
}

// Codes of refused attempts.
const (
	codeDuplicate = "duplicate-attempt"
	codeChanging  = "changing"
)

func statusOf(code string) int {
	if code == codeDuplicate {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// begin registers an attempt. It returns the code of a refusal, or "".
func (s *Server) begin(j *job, cancel context.CancelFunc) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changing {
		return codeChanging
	}
	if j.id == "" {
		j.id = fmt.Sprintf("anonymous-%d", len(s.seen))
	}
	if s.seen[j.id] {
		return codeDuplicate
	}
	s.seen[j.id] = true
	s.stats.Starts[j.id]++
	s.running[j.id] = &attempt{cancel: cancel}
	s.kvUsed += j.promptTokens
	return ""
}

func (s *Server) countStart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Starts[id]++
}

func (s *Server) end(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[j.id]; !ok {
		return
	}
	delete(s.running, j.id)
	s.kvUsed -= j.promptTokens
}

// run carries a generation out. It reports false when the answer was cut.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, j *job) bool {
	frozen := s.faults.Frozen()
	out := newStream(w, j)
	done := make(chan struct{})
	var beating sync.WaitGroup
	defer beating.Wait()
	defer close(done)
	beating.Go(func() { out.keepAlive(done, frozen) })
	batch := s.batch()
	if !batch.acquire(ctx, j.req.Priority) {
		return false
	}
	defer batch.release()
	if !s.doPrefill(ctx, j) {
		return false
	}
	first, last := 0, orDefault(j.req.MaxTokens, s.cfg.DefaultTokens)
	if j.req.Resume != nil {
		first = j.req.Resume.Tokens
	}
	if j.req.PrefillOnly {
		s.keepExport(j)
		out.usage(0)
		return true
	}
	for i := first; i < last; i++ {
		if !s.sleep(ctx, s.stepTime()) {
			return false
		}
		if isClosed(frozen) {
			<-ctx.Done()
			return false
		}
		out.token(Token(j.prompt, i))
	}
	out.finish()
	out.usage(max(0, last-first))
	return true
}

func (s *Server) batch() *slots {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// doPrefill computes the part of the prompt that is neither cached nor
// imported, one prompt at a time.
func (s *Server) doPrefill(ctx context.Context, j *job) bool {
	s.mu.Lock()
	j.cached = s.cache.match(j.pieces) * pieceTokens
	s.mu.Unlock()
	if imported := s.importKV(ctx, j); imported > j.cached {
		j.cached = min(imported, j.promptTokens)
	}
	left := j.promptTokens - j.cached
	if j.req.Resume != nil {
		left += j.req.Resume.Tokens
	}
	if !s.prefillTurn(ctx, left) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.add(time.Now(), j.pieces)
	return true
}

func (s *Server) prefillTurn(ctx context.Context, tokens int) bool {
	s.mu.Lock()
	turn := s.prefill
	s.prefillQ += tokens
	s.mu.Unlock()
	defer s.prefillDone(turn, tokens)
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-turn }()
	return s.sleep(ctx, time.Duration(float64(tokens)/s.cfg.PrefillRate*float64(time.Second)))
}

func (s *Server) prefillDone(turn chan struct{}, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefill == turn {
		s.prefillQ -= tokens
	}
}

func (s *Server) stepTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.StepBase + time.Duration(len(s.running))*s.cfg.StepPerSequence
}

func (s *Server) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	a := s.running[mux.Vars(r)["id"]]
	s.mu.Unlock()
	if a != nil {
		a.cancel()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
