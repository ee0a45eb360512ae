package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenaspur/verbenaspur/internal/standin/engine"
	"github.com/verbenaspur/verbenaspur/internal/standin/platform"
	"github.com/verbenaspur/verbenaspur/internal/standin/service"
)

const (
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 200 * time.Millisecond
	// longStreamTokens is the length of an answer whose generation takes some
	// seconds.
	longStreamTokens = 400
	streamCount      = 6
	orderPath        = "/services/yard-booking/orders"
)

// session is one run of the check.
type session struct {
	entries, engines                           []string
	service, platform, operatorToken, manifest string

	mu            sync.Mutex
	expectedUsage map[string]chatUsage // by client account
}

// recordUsage adds the usage of an answer to the expected usage of its account.
func (s *session) recordUsage(account string, u chatUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.expectedUsage[account]
	t.PromptTokens += u.PromptTokens
	t.CompletionTokens += u.CompletionTokens
	s.expectedUsage[account] = t
}

func (s *session) steps() []step {
	return []step{
		{"a plain chat completion through each entry", s.plainChat},
		{"a streamed chat completion", s.streamedChat},
		{"a load order sent twice runs once", s.loadOrder},
		{"a wrong key is refused", s.wrongKey},
		{"a public route needs no key", s.publicRoute},
		{"a drain cuts no stream", s.drain},
		{"a role change cuts no stream", s.roleChange},
		{"no target saw a key", s.noCredentialsSeen},
		{"usage was reported", s.usageReported},
	}
}

// expectedAnswer returns the text that an engine generates for a prompt.
func expectedAnswer(prompt string, tokens int) string {
	return engine.Answer(prompt, tokens)
}

func (s *session) plainChat(ctx context.Context) error {
	for i, entry := range s.entries {
		prompt := fmt.Sprintf("Is spur %d salted?", i)
		r, err := call{
			method: http.MethodPost, url: entry + "/v1/chat/completions", key: keyDepot,
			body: newChat("dispatch-urgent", prompt, 12, false),
		}.do(ctx)
		if err != nil {
			return err
		}
		if err := r.requireStatus(http.StatusOK); err != nil {
			return err
		}
		var a chatAnswer
		if err := json.Unmarshal(r.body, &a); err != nil {
			return err
		}
		if len(a.Choices) != 1 || a.Choices[0].Message.Content != expectedAnswer(prompt, 12) {
			return errors.Newf("answer does not belong to the prompt: %s", r.body)
		}
		s.recordUsage("taichung-depot", *a.Usage)
		fmt.Printf("  %s\n", bytes.TrimSpace(r.body))
	}
	return nil
}

func (s *session) streamedChat(ctx context.Context) error {
	prompt := "Which spurs are open tonight?"
	got, err := s.streamAndCheck(ctx, s.entries[0], prompt, 20)
	if err != nil {
		return err
	}
	fmt.Printf("  %q, %d + %d tokens\n", got.text, got.usage.PromptTokens, got.usage.CompletionTokens)
	return nil
}

func (s *session) streamAndCheck(ctx context.Context, entry, prompt string, tokens int) (*completion, error) {
	got, err := call{
		method: http.MethodPost, url: entry + "/v1/chat/completions", key: keyTownship,
		body: newChat("dispatch-briefing", prompt, tokens, true),
	}.stream(ctx)
	if err != nil {
		return nil, err
	}
	if got.text != expectedAnswer(prompt, tokens) {
		return nil, errors.Newf("answer to %q is incomplete or wrong: %q", prompt, got.text)
	}
	if got.usage.CompletionTokens != int64(tokens) {
		return nil, errors.Newf("%d completion tokens reported instead of %d", got.usage.CompletionTokens, tokens)
	}
	s.recordUsage("township-a", got.usage)
	return got, nil
}

func (s *session) loadOrder(ctx context.Context) error {
	order := map[string]any{"spur": "north-7", "tonnes": 4}
	key := fmt.Sprintf("load-%d", time.Now().UnixNano())
	var first []byte
	for i, entry := range s.entries {
		order := call{method: http.MethodPost, url: entry + orderPath, key: keyDepot, idempotencyKey: key, body: order}
		r, err := order.do(ctx)
		for err == nil && r.status == http.StatusConflict && r.header.Get("Retry-After") != "" {
			// The other entry has not yet received the result of the first order.
			fmt.Printf("  %d %s\n", r.status, bytes.TrimSpace(r.body))
			time.Sleep(time.Second)
			r, err = order.do(ctx)
		}
		if err != nil {
			return err
		}
		if r.status/100 != 2 {
			return errors.Newf("status %d: %s", r.status, r.body)
		}
		fmt.Printf("  %d %s replayed=%q\n", r.status, bytes.TrimSpace(r.body), r.header.Get("Idempotent-Replayed"))
		if i == 0 {
			first = r.body
		} else if !bytes.Equal(first, r.body) {
			return errors.New("the repeated order got a different answer")
		}
	}
	var stats service.Stats
	if err := getJSON(ctx, s.service+"/control/stats", &stats); err != nil {
		return err
	}
	runs := 0
	for k, n := range stats.Runs {
		if strings.HasPrefix(k, "/orders ") {
			runs += n
		}
	}
	if runs != 1 {
		return errors.Newf("the order ran %d times instead of once", runs)
	}
	return nil
}

func (s *session) wrongKey(ctx context.Context) error {
	r, err := call{
		method: http.MethodPost, url: s.entries[0] + "/v1/chat/completions", key: "vsp_depot-1_wrong",
		body: newChat("dispatch-urgent", "x", 1, false),
	}.do(ctx)
	if err != nil {
		return err
	}
	if err := r.requireStatus(http.StatusUnauthorized); err != nil {
		return err
	}
	var a chatAnswer
	if err := json.Unmarshal(r.body, &a); err != nil || a.Error == nil || a.Error.Outcome != "not-run" {
		return errors.Newf("refusal does not have the outcome not-run: %s", r.body)
	}
	fmt.Printf("  %s\n", bytes.TrimSpace(r.body))
	return nil
}

func (s *session) publicRoute(ctx context.Context) error {
	r, err := call{method: http.MethodGet, url: s.entries[1] + "/services/notices/notices"}.do(ctx)
	if err != nil {
		return err
	}
	return r.requireStatus(http.StatusOK)
}

// withStreams runs streams through all entries while change runs, and fails if
// any stream is interrupted.
func (s *session) withStreams(ctx context.Context, label string, change func(context.Context) error) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range streamCount {
		g.Go(func() error {
			_, err := s.streamAndCheck(ctx, s.entries[i%len(s.entries)], fmt.Sprintf("%s, briefing %d", label, i), longStreamTokens)
			return errors.Wrapf(err, "stream %d", i)
		})
	}
	g.Go(func() error {
		time.Sleep(pollInterval)
		return change(ctx)
	})
	return g.Wait()
}

func (s *session) admin(ctx context.Context, method, path string, body any) (*reply, error) {
	r, err := call{method: method, url: s.entries[0] + "/admin/v1" + path, key: s.operatorToken, body: body}.do(ctx)
	if err != nil {
		return nil, err
	}
	return r, r.requireStatus(http.StatusOK)
}

func (s *session) engineStats(ctx context.Context, i int) (engine.Stats, error) {
	var st engine.Stats
	err := getJSON(ctx, s.engines[i]+"/control/stats", &st)
	return st, err
}

func (s *session) drain(ctx context.Context) error {
	err := s.withStreams(ctx, "drain", func(ctx context.Context) error {
		_, err := s.admin(ctx, http.MethodPost, "/drain", map[string]any{"target": "engine-1"})
		return err
	})
	if err != nil {
		return err
	}
	if err := s.waitFor(ctx, func() (bool, error) {
		st, err := s.engineStats(ctx, 0)
		return st.Running == 0, err
	}); err != nil {
		return err
	}
	before, err := s.engineStats(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.withStreams(ctx, "after the drain", func(context.Context) error { return nil }); err != nil {
		return err
	}
	after, err := s.engineStats(ctx, 0)
	if err != nil {
		return err
	}
	if len(after.Starts) != len(before.Starts) {
		return errors.New("the drained engine received new requests")
	}
	_, err = s.admin(ctx, http.MethodPost, "/drain", map[string]any{"target": "engine-1", "undo": true})
	return err
}

// roleChange applies a manifest that fixes the role of one engine to prefill, and
// waits until an engine has executed the order for that role.
func (s *session) roleChange(ctx context.Context) error {
	text, err := os.ReadFile(s.manifest)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), "roles: {mode: planned}", "roles: {mode: fixed, prefill: 1}", 1)
	if err := s.withStreams(ctx, "role change", func(ctx context.Context) error { return s.apply(ctx, changed) }); err != nil {
		return err
	}
	return s.waitFor(ctx, func() (bool, error) {
		for i := range s.engines {
			st, err := s.engineStats(ctx, i)
			if err != nil {
				return false, err
			}
			for _, o := range st.Orders {
				if o.Kind == "set-role" {
					fmt.Printf("  %s took order %s with epoch %d; %d attempts cut\n", s.engines[i], o.ID, o.Epoch, st.CancelledByOrder)
					return st.CancelledByOrder == 0, nil
				}
			}
		}
		return false, nil
	})
}

func (s *session) apply(ctx context.Context, text string) error {
	r, err := s.admin(ctx, http.MethodGet, "/config", nil)
	if err != nil {
		return err
	}
	var current struct {
		Generation uint64 `json:"generation"`
	}
	if err := json.Unmarshal(r.body, &current); err != nil {
		return err
	}
	r, err = s.admin(ctx, http.MethodPost, "/config", map[string]any{"base": current.Generation, "manifest": text})
	if err != nil {
		return err
	}
	if !bytes.Contains(r.body, []byte(`"accepted"`)) {
		return errors.Newf("the manifest was not accepted: %s", r.body)
	}
	return nil
}

func (s *session) waitFor(ctx context.Context, ok func() (bool, error)) error {
	for {
		done, err := ok()
		if err != nil || done {
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.New("the condition was not met in time")
		}
	}
}

func (s *session) noCredentialsSeen(ctx context.Context) error {
	for i := range s.engines {
		st, err := s.engineStats(ctx, i)
		if err != nil {
			return err
		}
		if st.CredentialSeen {
			return errors.Newf("engine %d received a caller's key", i)
		}
	}
	var st service.Stats
	if err := getJSON(ctx, s.service+"/control/stats", &st); err != nil {
		return err
	}
	if st.CredentialSeen {
		return errors.New("the service received a caller's key")
	}
	return nil
}

// usageReported waits until exactly the tokens of the received answers have been
// reported to the platform's usage interface.
func (s *session) usageReported(ctx context.Context) error {
	var last map[string]chatUsage
	err := s.waitFor(ctx, func() (bool, error) {
		var err error
		last, err = s.reportedUsage(ctx)
		return err == nil && maps.Equal(last, s.expectedUsage), err
	})
	fmt.Printf("  reported %v\n", last)
	return errors.Wrapf(err, "expected usage %v", s.expectedUsage)
}

func (s *session) reportedUsage(ctx context.Context) (map[string]chatUsage, error) {
	var reports []platform.UsageReport
	if err := getJSON(ctx, s.platform+"/control/usage", &reports); err != nil {
		return nil, err
	}
	sum := make(map[string]chatUsage)
	for _, r := range reports {
		if r.Refused > 0 {
			return nil, errors.Newf("window %s of %s was reported again with different figures", r.Window, r.Account)
		}
		t := sum[r.Account]
		t.PromptTokens += r.Figures.PromptTokens + r.Figures.LatePromptTokens
		t.CompletionTokens += r.Figures.GeneratedTokens + r.Figures.LateGeneratedTokens
		sum[r.Account] = t
	}
	return sum, nil
}
