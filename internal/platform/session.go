package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// session is one call.
type session struct {
	client *Client
	ctx    context.Context
	now    func() msg.Time
}

// request describes one HTTP call.
type request struct {
	// call is the name in metrics.
	call   string
	method string
	url    string
	// ifMatch is the condition on the object's version; nil for none.
	ifMatch *msg.Version
	body    any
	// wait is the time that the platform may hold the call by intent.
	wait     time.Duration
	notAfter msg.Time
	// etag is the entity tag of the last answer, which do replaces; nil where
	// the answer is not kept.
	etag *string
	// unchanged is set by do where the entity tag still holds.
	unchanged bool
}

// write reports whether the call changes something.
func (r *request) write() bool { return r.method != http.MethodGet }

// do sends the request, decodes a 2xx answer into out and returns the call's
// status.
func (s *session) do(r *request, out any) msg.CallStatus {
	started := time.Now()
	status := s.exchange(r, out)
	s.client.calls.Count(r.call, status)
	if r.wait == 0 {
		s.client.calls.Time(r.call, time.Since(started))
	}
	return status
}

func (s *session) exchange(r *request, out any) msg.CallStatus {
	ctx, cancel := context.WithTimeout(s.ctx, s.client.cfg.Timeout+r.wait)
	defer cancel()
	g := &gate{now: s.now, notAfter: r.notAfter}
	req, err := s.newRequest(g.attach(ctx), r)
	if err != nil {
		return msg.CallUnavailable
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return r.failed(g)
	}
	defer func() { _ = resp.Body.Close() }()
	if r.etag != nil && resp.StatusCode == http.StatusNotModified {
		r.unchanged = true
		return msg.CallOK
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if status := r.answered(resp.StatusCode); status != msg.CallOK {
		return status
	}
	if err != nil || json.Unmarshal(body, out) != nil {
		return r.failed(g)
	}
	if r.etag != nil {
		*r.etag = resp.Header.Get("ETag")
	}
	return msg.CallOK
}

func (s *session) newRequest(ctx context.Context, r *request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		b, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.ifMatch != nil {
		req.Header.Set("If-Match", formatVersion(*r.ifMatch))
	}
	if r.etag != nil && *r.etag != "" {
		req.Header.Set("If-None-Match", *r.etag)
	}
	if s.client.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.client.cfg.Token)
	}
	return req, nil
}

// failed is the status of a call without a clear answer.
func (r *request) failed(g *gate) msg.CallStatus {
	if !r.write() || g.noEffect() {
		return msg.CallUnavailable
	}
	return msg.CallUnknown
}

// answered is the status that an HTTP status code stands for.
func (r *request) answered(code int) msg.CallStatus {
	switch {
	case code >= 200 && code < 300:
		return msg.CallOK
	case code == http.StatusNotFound:
		return msg.CallNotFound
	case code == http.StatusConflict, code == http.StatusPreconditionFailed:
		return msg.CallConflict
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		return msg.CallUnavailable
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout:
		return msg.CallRejected
	case r.write():
		return msg.CallUnknown
	}
	return msg.CallUnavailable
}
