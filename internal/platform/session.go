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

// operation is the execution of one effect.
type operation struct {
	client *Client
	ctx    context.Context
	now    func() msg.Time
}

// request describes one HTTP request.
type request struct {
	// call is the name of the call in metrics.
	call   string
	method string
	url    string
	// ifMatch is the version that the object must have. Nil means no condition.
	ifMatch *msg.Version
	body    any
	// wait is the time for which the platform may delay its response on purpose, as
	// in a watch.
	wait     time.Duration
	notAfter msg.Time
	// etag points to the entity tag of the last response. [operation.do] replaces
	// the tag with that of the new response. Nil means that responses are not cached.
	etag *string
	// unchanged is set by [operation.do] if the entity tag is still valid.
	unchanged bool
}

// isWrite reports whether the request may change something at the platform.
func (r *request) isWrite() bool { return r.method != http.MethodGet }

// do sends the request, decodes a 2xx response into out and returns the status of
// the call.
func (op *operation) do(r *request, out any) msg.CallStatus {
	started := time.Now()
	status := op.roundTrip(r, out)
	op.client.calls.Count(r.call, status)
	if r.wait == 0 {
		op.client.calls.Time(r.call, time.Since(started))
	}
	return status
}

func (op *operation) roundTrip(r *request, out any) msg.CallStatus {
	ctx, cancel := context.WithTimeout(op.ctx, op.client.cfg.Timeout+r.wait)
	defer cancel()
	g := &gate{now: op.now, notAfter: r.notAfter}
	req, err := op.newRequest(g.attach(ctx), r)
	if err != nil {
		return msg.CallUnavailable
	}
	resp, err := op.client.http.Do(req)
	if err != nil {
		return r.statusWithoutResponse(g)
	}
	defer func() { _ = resp.Body.Close() }()
	if r.etag != nil && resp.StatusCode == http.StatusNotModified {
		r.unchanged = true
		return msg.CallOK
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if status := r.statusOfCode(resp.StatusCode); status != msg.CallOK {
		return status
	}
	if err != nil || json.Unmarshal(body, out) != nil {
		return r.statusWithoutResponse(g)
	}
	if r.etag != nil {
		*r.etag = resp.Header.Get("ETag")
	}
	return msg.CallOK
}

func (op *operation) newRequest(ctx context.Context, r *request) (*http.Request, error) {
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
	if op.client.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+op.client.cfg.Token)
	}
	return req, nil
}

// statusWithoutResponse returns the status of a call without a conclusive response.
func (r *request) statusWithoutResponse(g *gate) msg.CallStatus {
	if !r.isWrite() || g.noEffect() {
		return msg.CallUnavailable
	}
	return msg.CallUnknown
}

// statusOfCode translates an HTTP status code to the status of the call.
func (r *request) statusOfCode(code int) msg.CallStatus {
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
	case r.isWrite():
		return msg.CallUnknown
	}
	return msg.CallUnavailable
}
