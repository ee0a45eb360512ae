package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeDone is a whole answer that belongs to its request.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun is a refusal that says that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is an error that leaves open whether the request ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken is an answer that isn't whole, with or without an error.
	OutcomeBroken Outcome = "broken"
	// OutcomeForeign is an answer that doesn't belong to its request.
	OutcomeForeign Outcome = "foreign"
	// OutcomeNotSent is a request that the load tool had no room for.
	OutcomeNotSent Outcome = "not-sent"
)

const maxAnswer = 64 << 20

// answer is what came back for one request.
type answer struct {
	outcome Outcome
	code    string
	tokens  int
	first   time.Time
	last    time.Time
	gaps    []time.Duration
}

// caller sends requests.
type caller struct {
	http    *http.Client
	servers []string
	keys    map[string]string
	verify  bool
}

func (c *caller) do(ctx context.Context, n int, r *Request) answer {
	server := c.servers[n%len(c.servers)]
	if r.Stream.Call != nil {
		return c.callService(ctx, server, r)
	}
	return c.generate(ctx, server, r)
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (c *caller) generate(ctx context.Context, server string, r *Request) answer {
	body := completion{Model: r.Stream.Route, Prompt: r.Prompt(), MaxTokens: r.OutputTokens, Stream: true}
	body.Options.Usage = true
	b, err := json.Marshal(body)
	if err != nil {
		return answer{outcome: OutcomeUnknown, code: err.Error()}
	}
	resp, err := c.send(ctx, http.MethodPost, server+"/v1/completions", b, r)
	if err != nil {
		return answer{outcome: OutcomeUnknown, code: transportCode(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	a, text := readStream(resp.Body)
	if a.outcome == OutcomeDone && c.verify && text != standinAnswer(body.Prompt, a.tokens) {
		a.outcome = OutcomeForeign
	}
	return a
}

func (c *caller) send(ctx context.Context, method, url string, body []byte, r *Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key := c.keys[r.Stream.Account]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if call := r.Stream.Call; call != nil && !call.Idempotent {
		req.Header.Set("Idempotency-Key", r.ID)
	}
	return c.http.Do(req)
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error *failure `json:"error"`
}

// failure is the error of a refusal, or of a stream that broke off.
type failure struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// streamState follows one streamed answer.
type streamState struct {
	answer
	text     strings.Builder
	finished bool
	chunks   int
	usage    int
	done     bool
}

// readStream reads a streamed answer and tells whether it is whole: it has a
// finish reason, a usage that fits the chunks that came, and the end mark. A
// chunk holds one token or more.
func readStream(r io.Reader) (answer, string) {
	s := &streamState{usage: -1}
	s.outcome = OutcomeBroken
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 4096), 1<<20)
	for scan.Scan() && !s.done {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			s.code = "malformed-chunk"
			return s.answer, ""
		}
		s.add(&c, time.Now())
	}
	switch {
	case s.code != "":
	case !s.done || !s.finished:
		s.code = "cut"
	case s.usage < s.chunks || (s.usage > 0 && s.chunks == 0):
		s.code = "usage-mismatch"
	default:
		s.outcome = OutcomeDone
		s.tokens = s.usage
	}
	return s.answer, s.text.String()
}

// add takes one event of the stream.
func (s *streamState) add(c *chunk, now time.Time) {
	if c.Error != nil {
		s.code = c.Error.Code
	}
	if c.Usage != nil {
		s.usage = c.Usage.Completion
	}
	for _, choice := range c.Choices {
		if choice.Finish != nil {
			s.finished = true
		}
		if choice.Text == "" {
			continue
		}
		s.text.WriteString(choice.Text)
		s.chunks++
		if s.chunks == 1 {
			s.first = now
		} else {
			s.gaps = append(s.gaps, now.Sub(s.last))
		}
		s.last = now
	}
}

func (c *caller) callService(ctx context.Context, server string, r *Request) answer {
	call := r.Stream.Call
	own := func(s string) string { return strings.ReplaceAll(s, "{id}", r.ID) }
	resp, err := c.send(ctx, call.Method, server+"/services/"+r.Stream.Route+own(call.Path), []byte(own(call.Body)), r)
	if err != nil {
		return answer{outcome: OutcomeUnknown, code: transportCode(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refused(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	now := time.Now()
	a := answer{outcome: OutcomeDone, first: now, last: now}
	switch {
	case err != nil:
		a.outcome, a.code = OutcomeBroken, "cut"
	case !strings.Contains(string(b), own(call.Expect)):
		a.outcome = OutcomeForeign
	}
	return a
}

func refused(resp *http.Response) answer {
	var body struct {
		Error failure `json:"error"`
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil || json.Unmarshal(b, &body) != nil || body.Error.Code == "" {
		return answer{outcome: OutcomeUnknown, code: http.StatusText(resp.StatusCode)}
	}
	if body.Error.Outcome == string(OutcomeNotRun) {
		return answer{outcome: OutcomeNotRun, code: body.Error.Code}
	}
	return answer{outcome: OutcomeUnknown, code: body.Error.Code}
}

func transportCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}
