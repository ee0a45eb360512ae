package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

// maxServiceChunk is the largest part in bytes of a plain service's response that
// one frame carries.
const maxServiceChunk = 32 << 10

// serviceClient calls an instance of a plain service.
type serviceClient struct {
	base string
	http *http.Client
	// noReuse sends each call on a new connection, so that the HTTP library never
	// resends a call. It is used for calls that are not idempotent.
	noReuse *http.Client
}

func (c *serviceClient) run(ctx context.Context, a *attemptRun) attemptOutcome {
	req, err := http.NewRequestWithContext(ctx, a.payload.Method, c.base+a.payload.Path, bytes.NewReader(a.payload.Body))
	if err != nil {
		return attemptOutcome{result: msg.AttemptFailed, reason: err.Error()}
	}
	if a.payload.ContentType != "" {
		req.Header.Set("Content-Type", a.payload.ContentType)
	}
	req.Header.Set("X-Attempt-Id", string(a.spec.Attempt))
	req.Header.Set("X-Client-Account", string(a.spec.Account))
	client := c.noReuse
	if a.spec.Idempotent {
		client = c.http
	}
	resp, err := client.Do(req)
	if err != nil {
		return callErrorOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return relayResponse(ctx, resp, a)
}

// relayResponse appends a response to an attempt as frames.
func relayResponse(ctx context.Context, resp *http.Response, a *attemptRun) attemptOutcome {
	head := &link.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := a.appendFrame(&link.Frame{Head: head}); err != nil {
		return attemptOutcome{result: msg.AttemptCancelled, reason: err.Error()}
	}
	for {
		buf := make([]byte, maxServiceChunk)
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := a.appendFrame(&link.Frame{Chunk: &link.Chunk{Data: buf[:n]}}); err != nil {
				return attemptOutcome{result: msg.AttemptCancelled, reason: err.Error()}
			}
		}
		if err == io.EOF {
			return attemptOutcome{result: msg.AttemptDone}
		}
		if err != nil {
			if out, stopped := cancelOutcome(ctx, msg.TokenUsage{}); stopped {
				return out
			}
			return attemptOutcome{result: msg.AttemptCrashed, reason: "answer ended early"}
		}
	}
}

func (c *serviceClient) read(ctx context.Context) (msg.TargetRead, error) {
	var l engineLoad
	if err := getJSON(ctx, c.http, c.base+"/v1/load", &l); err != nil {
		return msg.TargetRead{}, err
	}
	return msg.TargetRead{Report: l.loadReport()}, nil
}

func (c *serviceClient) cacheEvents(context.Context, uint64) ([]msg.CacheEvent, error) {
	return nil, nil
}

// apply fails all orders. Drains need no order to the service, because the side
// daemon executes them itself.
func (c *serviceClient) apply(_ context.Context, o msg.Order) msg.OrderApplied {
	return msg.OrderApplied{Order: o.ID, Status: msg.OrderFailed, Reason: "a plain service takes no " + o.Kind.String() + " order"}
}

// newTargetHTTPClient returns an HTTP client for a target. It sets no timeout of
// its own; the contexts of requests limit their duration. It follows no redirects: a call
// would run a second time, and elsewhere.
func newTargetHTTPClient(keepAlive bool) *http.Client {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{CheckRedirect: refuseRedirect, Transport: &httpclient.Transport{
		Pool: httpclient.NewPool(), Close: !keepAlive,
		TLS: &http.Transport{
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   !keepAlive,
		},
	}}
}
