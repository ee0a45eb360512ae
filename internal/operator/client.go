package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/httpclient"
)

const (
	// serverTimeout bounds a call to one server. It is longer than the time for
	// which a server waits until a proposal is accepted.
	serverTimeout = 15 * time.Second
	// maxResponseBytes is the largest size of a response body.
	maxResponseBytes = 16 << 20
)

// Kinds of errors, for errors.Is.
var (
	// ErrUnreachable means that no server accepted the call; nothing changed.
	ErrUnreachable = errors.New("no server could be reached")
	// ErrOutcomeUnknown means that the call may have had an effect.
	ErrOutcomeUnknown = errors.New("the answer was lost")
	// ErrDenied means that the token is not an operator's token.
	ErrDenied = errors.New("the operator token was refused")
	// ErrNotFound means that the server has no such object or path.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the server refused the call; nothing changed.
	ErrRefused = errors.New("refused")
)

// Client calls the operators' API of one or more entry daemons. It calls the next
// one only if the previous one certainly did not execute the call.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client of the servers with the given base URLs, such as
// http://10.0.0.1:8080.
func NewClient(servers []string, token string, transport http.RoundTripper) *Client {
	return &Client{servers: servers, token: token, http: &http.Client{Transport: &httpclient.CheckedTransport{Base: transport}}}
}

// Config returns the manifest in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	err := c.get(ctx, "/config", &out)
	return out, err
}

// History returns the changes of the configuration.
func (c *Client) History(ctx context.Context) (History, error) {
	var out History
	err := c.get(ctx, "/history", &out)
	return out, err
}

// Status returns the pools, targets, roles, leases, members and the generation of
// the configuration.
func (c *Client) Status(ctx context.Context) (Document, error) {
	return c.document(ctx, "/status")
}

// Explain returns the decisions that were made for a request.
func (c *Client) Explain(ctx context.Context, request string) (Document, error) {
	return c.document(ctx, "/explain/"+url.PathEscape(request))
}

// Plan returns the changes that the role planner would make now in a pool.
func (c *Client) Plan(ctx context.Context, pool string) (Document, error) {
	return c.document(ctx, "/plan?pool="+url.QueryEscape(pool))
}

// Usage returns the usage of a client account, or of all accounts if the name is
// empty.
func (c *Client) Usage(ctx context.Context, account string) (Document, error) {
	return c.document(ctx, "/usage?account="+url.QueryEscape(account))
}

// Drain requests that a target is drained, or ends its drain. The request is
// stored. It may be repeated.
func (c *Client) Drain(ctx context.Context, d Drain) (Document, error) {
	var out Document
	err := c.call(ctx, http.MethodPost, "/drain", d, &out)
	return out, err
}

// Apply proposes a manifest. After [ErrOutcomeUnknown] it is unknown whether the
// manifest was written; [Client.CheckWritten] finds out.
func (c *Client) Apply(ctx context.Context, p Proposal) (Result, error) {
	var out Result
	err := c.call(ctx, http.MethodPost, "/config", p, &out)
	return out, err
}

// CheckWritten reads the configuration to find out whether a proposal whose
// response was lost has been written. If the proposal is not found, it is still
// unknown whether it has been written.
func (c *Client) CheckWritten(ctx context.Context, p Proposal) (Result, error) {
	cfg, err := c.Config(ctx)
	if err != nil {
		return Result{Status: StatusUnknown}, err
	}
	if cfg.Generation > p.Base && cfg.Manifest == p.Manifest {
		return Result{Status: StatusWritten, Generation: cfg.Generation, Reason: "the answer was lost; read back"}, nil
	}
	return Result{Status: StatusUnknown, Generation: cfg.Generation, Reason: "the answer was lost"}, nil
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

func (c *Client) document(ctx context.Context, path string) (Document, error) {
	var out Document
	err := c.get(ctx, path, &out)
	return out, err
}

// call tries the servers in order until one executes or rejects the call, or may
// have executed it.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "operator")
		}
		body = b
	}
	if len(c.servers) == 0 {
		return ErrUnreachable
	}
	var errs error
	for _, server := range c.servers {
		err := c.callServer(ctx, method, server, path, body, out)
		if err == nil || !errors.Is(err, ErrUnreachable) {
			return err
		}
		errs = errors.CombineErrors(errors.Wrap(err, server), errs)
	}
	return errs
}

// callServer sends one call to one server and decodes the response.
func (c *Client) callServer(ctx context.Context, method, server, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+"/admin/v1"+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if method != http.MethodGet {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return transportError(method, err)
	}
	if len(b) > maxResponseBytes {
		return errors.Wrapf(ErrRefused, "response is larger than %d bytes", maxResponseBytes)
	}
	return decode(method, resp.StatusCode, b, out)
}

// decode decodes a response. A [Result] is also accepted from an error response.
func decode(method string, status int, b []byte, out any) error {
	if result, ok := out.(*Result); ok && json.Unmarshal(b, result) == nil && result.Status != "" {
		return nil
	}
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return errors.Wrap(json.Unmarshal(b, out), "operator: decode response")
	}
	return statusError(method, status, b)
}

// statusError returns the error for a response with an error status.
func statusError(method string, status int, b []byte) error {
	text := http.StatusText(status)
	var f ErrorResponse
	if json.Unmarshal(b, &f) == nil && f.Error.Message != "" {
		text = f.Error.Message
	}
	switch {
	case status == http.StatusUnauthorized, status == http.StatusForbidden:
		return errors.Wrap(ErrDenied, text)
	case status == http.StatusNotFound:
		return errors.Wrap(ErrNotFound, text)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return errors.Wrap(ErrUnreachable, text)
	case status >= http.StatusInternalServerError && method != http.MethodGet:
		return errors.Wrap(ErrOutcomeUnknown, text)
	case status >= http.StatusInternalServerError:
		return errors.Wrap(ErrUnreachable, text)
	}
	return errors.Wrap(ErrRefused, text)
}

// transportError returns the error for a call without a response: one that
// certainly had no effect is [ErrUnreachable], others are [ErrOutcomeUnknown].
func transportError(method string, err error) error {
	if method == http.MethodGet || neverConnected(err) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}
