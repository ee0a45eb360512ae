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

// Outcome states how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeDone means that the complete response to the request arrived.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request was refused with an error that states
	// that it did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request failed and that the error does not
	// show whether it ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken means that the response was incomplete or inconsistent, with
	// or without an error in it.
	OutcomeBroken Outcome = "broken"
	// OutcomeForeign means that the response does not belong to the request.
	OutcomeForeign Outcome = "foreign"
	// OutcomeNotSent means that the request was not sent, because too many
	// others were in flight.
	OutcomeNotSent Outcome = "not-sent"
)

// maxResponseBytes limits how much of a plain service's response is read.
const maxResponseBytes = 64 << 20

// response describes the response to one request.
type response struct {
	outcome Outcome
	// code is the reason if the outcome is not OutcomeDone.
	code   string
	tokens int
	// first and last are the arrival times of the first and the last token, and
	// gaps the intervals between successive chunks of the stream.
	first time.Time
	last  time.Time
	gaps  []time.Duration
}

// client sends requests to the servers in turn.
type client struct {
	http    *http.Client
	servers []string
	keys    map[string]string
	// verify is set if responses are compared with those of the stand-in engine.
	verify bool
}

func (c *client) do(ctx context.Context, n int, r *Request) response {
	server := c.servers[n%len(c.servers)]
	if r.Stream.Call != nil {
		return c.callService(ctx, server, r)
	}
	return c.generate(ctx, server, r)
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (c *client) generate(ctx context.Context, server string, r *Request) response {
	request := completionRequest{Model: r.Stream.Route, Prompt: r.Prompt(), MaxTokens: r.OutputTokens, Stream: true}
	request.Options.Usage = true
	b, err := json.Marshal(request)
	if err != nil {
		return response{outcome: OutcomeUnknown, code: err.Error()}
	}
	resp, err := c.send(ctx, http.MethodPost, server+"/v1/completions", b, r)
	if err != nil {
		return response{outcome: OutcomeUnknown, code: transportCode(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorResponse(resp)
	}
	res, text := readStream(resp.Body)
	if res.outcome == OutcomeDone && c.verify && text != standinText(request.Prompt, res.tokens) {
		res.outcome = OutcomeForeign
	}
	return res
}

func (c *client) send(ctx context.Context, method, url string, body []byte, r *Request) (*http.Response, error) {
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

// completionChunk is one event of a streamed response.
type completionChunk struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error *errorBody `json:"error"`
}

// errorBody is the error in the body of an error response, or in an event of a
// stream that was cut short.
type errorBody struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// streamReader is the state of reading one streamed response.
type streamReader struct {
	response
	text strings.Builder
	// finished is set by a finish reason, and done by the end mark of the
	// stream.
	finished bool
	chunks   int
	// usage is the number of tokens that the response reports; -1 if none was
	// reported.
	usage int
	done  bool
}

// readStream reads a streamed response and returns its text. The outcome is
// OutcomeDone if the response is complete, that is, if it has a finish reason, the
// end mark and a usage that is consistent with the number of chunks. A chunk
// contains one or more tokens.
func readStream(r io.Reader) (response, string) {
	s := &streamReader{usage: -1}
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
		var c completionChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			s.code = "malformed-chunk"
			return s.response, ""
		}
		s.addChunk(&c, time.Now())
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
	return s.response, s.text.String()
}

// addChunk processes one event of the stream.
func (s *streamReader) addChunk(c *completionChunk, now time.Time) {
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

func (c *client) callService(ctx context.Context, server string, r *Request) response {
	call := r.Stream.Call
	withID := func(s string) string { return strings.ReplaceAll(s, "{id}", r.ID) }
	resp, err := c.send(ctx, call.Method, server+"/services/"+r.Stream.Route+withID(call.Path), []byte(withID(call.Body)), r)
	if err != nil {
		return response{outcome: OutcomeUnknown, code: transportCode(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errorResponse(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	now := time.Now()
	res := response{outcome: OutcomeDone, first: now, last: now}
	switch {
	case err != nil:
		res.outcome, res.code = OutcomeBroken, "cut"
	case !strings.Contains(string(b), withID(call.Expect)):
		res.outcome = OutcomeForeign
	}
	return res
}

// errorResponse reads an error response. Its outcome is OutcomeUnknown unless its
// body states that the request did not run.
func errorResponse(resp *http.Response) response {
	var body struct {
		Error errorBody `json:"error"`
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil || json.Unmarshal(b, &body) != nil || body.Error.Code == "" {
		return response{outcome: OutcomeUnknown, code: http.StatusText(resp.StatusCode)}
	}
	if body.Error.Outcome == string(OutcomeNotRun) {
		return response{outcome: OutcomeNotRun, code: body.Error.Code}
	}
	return response{outcome: OutcomeUnknown, code: body.Error.Code}
}

// transportCode returns the code of a request to which no response arrived.
func transportCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}
