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

// Prompt joins the messages of a chat into the text that is prefilled.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// request is the request body of a generation call.
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

// resume gives the part of the answer that an earlier attempt has sent.
// Generation continues after it.
type resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// kvTransfer names the engine and the attempt from which the KV cache of the
// prompt is fetched.
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
	blocks []msg.BlockHash
	// promptTokens is the length of the prompt. cached is the number of its
	// tokens that needed no prefill.
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
	if code := s.startAttempt(j, cancel); code != "" {
		writeError(w, statusOf(code), code, s.cfg.Name+" does not run the attempt")
		return
	}
	defer s.endAttempt(j)
	if !s.run(ctx, w, j) {
		panic(http.ErrAbortHandler)
	}
}

func (j *job) prepare() {
	j.prompt = j.req.Prompt
	if j.chat {
		j.prompt = Prompt(j.req.Messages)
	}
	j.blocks = prefixhash.BlockHashes(j.req.Model, j.prompt)
	j.promptTokens = prefixhash.EstimateTokens(len(j.prompt))
}

// Error codes of refused attempts.
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

// startAttempt registers an attempt. It returns an error code if the engine
// refuses the attempt, and "" otherwise.
func (s *Server) startAttempt(j *job, cancel context.CancelFunc) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changing {
		return codeChanging
	}
	if j.id == "" {
		j.id = fmt.Sprintf("anonymous-%d", len(s.seenAttempts))
	}
	if s.seenAttempts[j.id] {
		return codeDuplicate
	}
	s.seenAttempts[j.id] = true
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

// endAttempt removes an attempt and releases its KV memory, unless a crash has
// already dropped both.
func (s *Server) endAttempt(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[j.id]; !ok {
		return
	}
	delete(s.running, j.id)
	s.kvUsed -= j.promptTokens
}

// run executes a generation. It reports false if the answer was interrupted.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, j *job) bool {
	frozen := s.faults.Frozen()
	out := newStream(w, j)
	done := make(chan struct{})
	var keepAlives sync.WaitGroup
	defer keepAlives.Wait()
	defer close(done)
	keepAlives.Go(func() { out.sendKeepAlives(done, frozen) })
	slots := s.currentSlots()
	if !slots.acquire(ctx, j.req.Priority) {
		return false
	}
	defer slots.release()
	if !s.prefillPrompt(ctx, j) {
		return false
	}
	first, last := 0, orDefault(j.req.MaxTokens, s.cfg.DefaultMaxTokens)
	if j.req.Resume != nil {
		first = j.req.Resume.Tokens
	}
	if j.req.PrefillOnly {
		s.keepExport(j)
		out.sendUsage(0)
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
		out.sendToken(Token(j.prompt, i))
	}
	out.sendFinish()
	out.sendUsage(max(0, last-first))
	return true
}

// currentSlots returns the slots of the batch. A crash replaces them.
func (s *Server) currentSlots() *slots {
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

// prefillPrompt prefills the part of the prompt that is neither cached nor
// imported, and the text of an answer that is resumed.
func (s *Server) prefillPrompt(ctx context.Context, j *job) bool {
	s.mu.Lock()
	j.cached = s.cache.match(j.blocks) * blockTokens
	s.mu.Unlock()
	if imported := s.importKV(ctx, j); imported > j.cached {
		j.cached = min(imported, j.promptTokens)
	}
	remaining := j.promptTokens - j.cached
	if j.req.Resume != nil {
		remaining += j.req.Resume.Tokens
	}
	if !s.computePrefill(ctx, remaining) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.add(time.Now(), j.blocks)
	return true
}

// computePrefill waits for the prefill lock, as the engine prefills one prompt at
// a time, and then for the prefill time of the tokens.
func (s *Server) computePrefill(ctx context.Context, tokens int) bool {
	s.mu.Lock()
	lock := s.prefillLock
	s.prefillTokens += tokens
	s.mu.Unlock()
	defer s.removePrefillTokens(lock, tokens)
	select {
	case lock <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-lock }()
	return s.sleep(ctx, time.Duration(float64(tokens)/s.cfg.PrefillRate*float64(time.Second)))
}

// removePrefillTokens takes tokens off the prefill queue, unless a crash has
// already emptied it and replaced the lock.
func (s *Server) removePrefillTokens(lock chan struct{}, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefillLock == lock {
		s.prefillTokens -= tokens
	}
}

// stepTime returns the time of a decode step with the sequences that are running.
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
