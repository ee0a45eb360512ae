package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/standin/engine"
)

const workload = `apiVersion: verbenaspur/workload-v1
name: test
seed: 1
duration: 10s
verify: standin
accounts:
  - {name: acc, key: vsp_k_s}
streams:
  - name: s
    account: acc
    route: ok
    rate: 100
    prompt: {median: 100, sigma: 0.5, max: 200}
    output: {median: 5, max: 8}
    prefix: {groups: 2, tokens: 50}
shifts:
  - {at: 5s, rate: 3, prompt: 2}
`

func decode(t *testing.T, text string) *Workload {
	t.Helper()
	w, err := Decode([]byte(text))
	is.New(t).NoErr(err)
	return w
}

func TestScheduleIsReproducibleAndAppliesShifts(t *testing.T) {
	is := is.New(t)
	a, b := Schedule(decode(t, workload)), Schedule(decode(t, workload))
	is.Equal(len(a), len(b))
	before, after, tokens := 0, 0, [2]int{}
	for i := range a {
		is.Equal(a[i].At, b[i].At)
		is.Equal(a[i].Prompt(), b[i].Prompt())
		half := 0
		if a[i].At >= 5*time.Second {
			half = 1
			after++
		} else {
			before++
		}
		tokens[half] += a[i].PromptTokens
	}
	is.True(before > 400 && before < 600)
	is.True(after > 1350 && after < 1650)
	is.True(tokens[1]/after > tokens[0]/before*3/2)
	other := decode(t, strings.Replace(workload, "seed: 1", "seed: 2", 1))
	is.True(Schedule(other)[0].At != a[0].At)
}

func TestPromptsOfGroupShareOnlyTheirPrefix(t *testing.T) {
	is := is.New(t)
	s := &Stream{Name: "s", Prefix: Prefix{Groups: 2, Tokens: 50}}
	a := Request{ID: "a", Stream: s, PromptTokens: 100}
	b := Request{ID: "b", Stream: s, PromptTokens: 100}
	is.Equal(len(a.Prompt()), 100*bytesPerToken)
	is.Equal(a.Prompt()[:200], b.Prompt()[:200])
	is.True(a.Prompt()[200:] != b.Prompt()[200:])
}

func TestStandinTextMatchesStandinEngine(t *testing.T) {
	is := is.New(t)
	is.Equal(standinText("hello", 5), engine.Answer("hello", 5))
}

// serveCompletion sends the kind of response that the name of the route selects.
func serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	json.NewDecoder(r.Body).Decode(&body)
	text, n := standinText(body.Prompt, body.MaxTokens), body.MaxTokens
	switch body.Model {
	case "refused":
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"overloaded","outcome":"not-run"}}`)
		return
	case "foreign":
		text = standinText("another", n)
	case "gap":
		text = strings.Replace(text, ".1 ", ".2 ", 1)
	}
	if r.Header.Get("Authorization") != "Bearer vsp_k_s" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	for _, token := range strings.SplitAfter(strings.TrimSpace(text), " ") {
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", strings.TrimSpace(token)+" ")
	}
	switch body.Model {
	case "cut":
		return
	case "aborted":
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"target-lost\"}}\n\n")
	}
	if body.Model == "miscounted" {
		n--
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: {\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
}

func TestOutcomes(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(serveCompletion))
	defer srv.Close()
	tests := []struct {
		route string
		want  Outcome
		code  string
	}{
		{"ok", OutcomeDone, ""},
		{"refused", OutcomeNotRun, "overloaded"},
		{"foreign", OutcomeForeign, ""},
		{"gap", OutcomeForeign, ""},
		{"cut", OutcomeBroken, "cut"},
		{"aborted", OutcomeBroken, "target-lost"},
		{"miscounted", OutcomeBroken, "usage-mismatch"},
	}
	for _, tt := range tests {
		t.Run(tt.route, func(t *testing.T) {
			is := is.New(t)
			w := decode(t, strings.NewReplacer("route: ok", "route: "+tt.route, "duration: 10s", "duration: 100ms").Replace(workload))
			res, err := Run(context.Background(), w, Options{
				Servers: []string{srv.URL}, MaxInFlight: 1000, Timeout: time.Minute, Transport: http.DefaultTransport,
			})
			is.NoErr(err)
			is.True(res.Total.Requests > 0)
			is.Equal(res.Total.Outcomes[tt.want], res.Total.Requests)
			if tt.code != "" {
				is.Equal(res.Total.Codes[tt.code], res.Total.Requests)
			}
		})
	}
}

func TestLatencyCountsFromScheduledTime(t *testing.T) {
	is := is.New(t)
	w := decode(t, workload)
	rec := newRecorder(w)
	scheduled := time.Unix(100, 0)
	// The response itself was fast, but the request was sent 2 s late.
	first := scheduled.Add(2*time.Second + 10*time.Millisecond)
	rec.add(&Request{Stream: &w.Streams[0]}, scheduled, response{outcome: OutcomeDone, tokens: 1, first: first, last: first}, first)
	res := rec.result()
	is.True(res.Total.FirstToken.P50 > 2000)
	is.Equal(res.Total.Good, 0)
	is.Equal(res.Series, []Second{{At: 0, Summary: Summary{Requests: 1, Done: 1}}})
}

func TestRequestsAboveMaxInFlightAreNotSent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		serveCompletion(w, r)
	}))
	defer srv.Close()
	w := decode(t, strings.Replace(workload, "duration: 10s", "duration: 200ms", 1))
	requests := Schedule(w)
	r, err := newRunner(w, Options{Servers: []string{srv.URL}, MaxInFlight: 3, Timeout: time.Minute, Transport: http.DefaultTransport})
	is.NoErr(err)
	go func() {
		for r.recorder.summary().Requests < len(requests)-3 {
			time.Sleep(time.Millisecond)
		}
		close(release)
	}()
	r.run(context.Background(), requests)
	res := r.recorder.result()
	is.Equal(res.Total.Requests, len(requests))
	is.Equal(res.Total.Outcomes[OutcomeDone], 3)
	is.Equal(res.Total.Outcomes[OutcomeNotSent], len(requests)-3)
}

func TestExampleWorkloadsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/workloads/*.yaml")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, f := range files {
		_, err := Read(f)
		is.NoErr(err)
	}
}
