package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/standin/control"
)

// fastConfig returns a configuration whose cost model is fast enough for tests.
func fastConfig() Config {
	return Config{
		Role:           "mixed",
		Models:         []Model{{Model: "m", Version: "1"}},
		PrefillRate:    1e7,
		StepBase:       time.Millisecond,
		RoleChangeTime: 100 * time.Millisecond,
		LoadTime:       30 * time.Millisecond,
	}
}

func startEngine(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	s := New(cfg)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func post(url, attempt, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Attempt-Id", attempt)
	return http.DefaultClient.Do(req)
}

// requestFails reports whether a request gets no response at all.
func requestFails(req *http.Request) bool {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return true
	}
	resp.Body.Close()
	return false
}

// streamedAnswer is a parsed stream. complete reports whether it ended with
// [DONE].
type streamedAnswer struct {
	text     string
	complete bool
	usage    *usage
}

func readStream(body io.Reader) streamedAnswer {
	var a streamedAnswer
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			break
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			break
		}
		if c.Usage != nil {
			a.usage = c.Usage
		}
		for _, ch := range c.Choices {
			if ch.Text != nil {
				a.text += *ch.Text
			}
		}
	}
	return a
}

func generate(t *testing.T, url, attempt, body string) streamedAnswer {
	t.Helper()
	resp, err := post(url+"/v1/completions", attempt, body)
	if err != nil {
		return streamedAnswer{}
	}
	defer resp.Body.Close()
	return readStream(resp.Body)
}

// A resumed answer continues after the tokens already sent, charges only the
// rest, and together with them equals the uninterrupted answer.
func TestResumedAnswerEqualsUninterruptedAnswer(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastConfig())
	whole := generate(t, url, "a1", `{"prompt":"hello","max_tokens":6}`)
	first := generate(t, url, "a2", `{"prompt":"hello","max_tokens":2}`)
	rest := generate(t, url, "a3", `{"prompt":"hello","max_tokens":6,"resume":{"text":"x","tokens":2}}`)
	is.Equal(whole.text, Answer("hello", 6))
	is.Equal(first.text+rest.text, whole.text)
	is.Equal(rest.usage.CompletionTokens, 4)
	is.True(Answer("hello", 1) != Answer("hallo", 1))
}

// The engine refuses a second attempt with the same ID.
func TestAttemptRunsOnce(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	is.True(generate(t, url, "a1", `{"prompt":"p","max_tokens":1}`).complete)
	resp, err := post(url+"/v1/completions", "a1", `{"prompt":"p"}`)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(s.Stats().Starts["a1"], 1)
}

// The first attempt caches the prompt's whole blocks, which the second reuses,
// and publishes one event with them.
func TestRepeatedPromptIsCached(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastConfig())
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":1}`, strings.Repeat("x", 20_000))
	is.Equal(generate(t, url, "a1", body).usage.Details.CachedTokens, 0)
	is.Equal(generate(t, url, "a2", body).usage.Details.CachedTokens, 4000)
	resp, err := http.Get(url + "/v1/cache-events?after=0")
	is.NoErr(err)
	defer resp.Body.Close()
	var evs cacheEvents
	is.NoErr(json.NewDecoder(resp.Body).Decode(&evs))
	is.Equal(len(evs.Events), 1)
	is.Equal(len(evs.Events[0].Blocks), 2)
}

func TestImportedPromptNeedsNoPrefill(t *testing.T) {
	is := is.New(t)
	_, from := startEngine(t, fastConfig())
	_, to := startEngine(t, fastConfig())
	is.True(generate(t, from, "p1", `{"prompt":"some prompt","prefill_only":true}`).complete)
	body := fmt.Sprintf(`{"prompt":"some prompt","max_tokens":1,"kv_transfer":{"from":%q,"attempt":"p1"}}`, from)
	a := generate(t, to, "d1", body)
	is.Equal(a.usage.Details.CachedTokens, a.usage.PromptTokens)
}

func postOrder(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := post(url+"/v1/orders", "", body)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A repeated order is acknowledged without running again. An order with a stale
// epoch is refused only by an engine that checks fencing.
func TestOrdersRunOnceAndAreFenced(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			is := is.New(t)
			cfg := fastConfig()
			cfg.ChecksFencing = checks
			s, url := startEngine(t, cfg)
			is.Equal(postOrder(t, url, `{"id":"o1","epoch":5,"kind":"set-role","role":"decode"}`), http.StatusOK)
			is.Equal(postOrder(t, url, `{"id":"o1","epoch":5,"kind":"set-role","role":"decode"}`), http.StatusOK)
			status := postOrder(t, url, `{"id":"o2","epoch":4,"kind":"set-role","role":"prefill"}`)
			is.Equal(status == http.StatusConflict, checks)
			executed := 2
			if checks {
				executed = 1
			}
			is.Equal(len(s.Stats().Orders), executed)
		})
	}
}

// An order for the role that the engine has is done at once, and cancels nothing.
func TestOrderForPresentRoleIsDoneAtOnce(t *testing.T) {
	is := is.New(t)
	cfg := fastConfig()
	cfg.RoleChangeTime = time.Hour
	s, url := startEngine(t, cfg)
	is.Equal(postOrder(t, url, `{"id":"o1","epoch":1,"kind":"set-role","role":"mixed"}`), http.StatusOK)
	is.Equal(len(s.Stats().Orders), 1)
	is.True(!s.executesOrder())
}

// executesOrder reports whether the engine is executing an order.
func (s *Server) executesOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changing
}

func TestOrderCompletesAfterClientDisconnects(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for !s.executesOrder() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/orders",
		strings.NewReader(`{"id":"o1","epoch":1,"kind":"set-role","role":"decode"}`))
	is.NoErr(err)
	is.True(requestFails(req))
	for len(s.Stats().Orders) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Stats().Orders[0].ID, "o1")
}

func TestCrashEndsStreamsAndRestartServesAgain(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	resp, err := post(url+"/v1/completions", "a1", `{"prompt":"p","max_tokens":100000}`)
	is.NoErr(err)
	defer resp.Body.Close()
	s.Faults().Set(control.Faults{Crash: true})
	is.True(!readStream(resp.Body).complete)
	health, err := http.NewRequest(http.MethodGet, url+"/healthz", nil)
	is.NoErr(err)
	is.True(requestFails(health))
	s.Faults().Set(control.Faults{Restart: true})
	is.True(generate(t, url, "a2", `{"prompt":"p","max_tokens":1}`).complete)
}

func TestPoisonedPromptCrashesEngine(t *testing.T) {
	is := is.New(t)
	cfg := fastConfig()
	cfg.PoisonText = "poison"
	cfg.CrashFor = time.Millisecond
	s, url := startEngine(t, cfg)
	is.True(!generate(t, url, "a1", `{"prompt":"a poison","max_tokens":1}`).complete)
	is.Equal(s.Stats().Crashes, 1)
	is.Equal(s.Stats().Starts["a1"], 1)
}

// A freeze stops the attempts that run at that time; later ones complete.
func TestFrozenStreamStaysOpenAndSilent(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	resp, err := post(url+"/v1/completions", "a1", `{"prompt":"p","max_tokens":100000}`)
	is.NoErr(err)
	defer resp.Body.Close()
	s.Faults().Set(control.Faults{Freeze: true})
	is.True(generate(t, url, "a2", `{"prompt":"p","max_tokens":3}`).complete)
	for s.Stats().Running > 1 {
		time.Sleep(time.Millisecond) // the second attempt is removed after its last chunk is sent
	}
	is.Equal(s.Stats().Running, 1)
}

func TestCancelEndsAttempt(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	resp, err := post(url+"/v1/completions", "a1", `{"prompt":"p","max_tokens":100000}`)
	is.NoErr(err)
	defer resp.Body.Close()
	cancelled, err := post(url+"/v1/attempts/a1/cancel", "", "")
	is.NoErr(err)
	cancelled.Body.Close()
	is.True(!readStream(resp.Body).complete)
	for s.Stats().Running > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestCredentialIsRecorded(t *testing.T) {
	is := is.New(t)
	s, url := startEngine(t, fastConfig())
	req, err := http.NewRequest(http.MethodGet, url+"/v1/load", nil)
	is.NoErr(err)
	is.True(!s.Stats().CredentialSeen)
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.True(s.Stats().CredentialSeen)
}
