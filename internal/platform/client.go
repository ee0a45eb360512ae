// Package platform executes the effects of the reducers that call the
// platform: its object API, host list, target interface and usage interface.
// docs/INTERFACES.md specifies these interfaces.
//
// Each call is attempted once. Its status states what is known about its
// effect. A write is [msg.CallUnavailable] only if it certainly had no effect:
// no byte of it was sent, its deadline passed before its last byte was sent, or
// the platform responded with 429 or 503. A write without a conclusive response
// is [msg.CallUnknown]. Reads have no effect, so a read without a conclusive
// response is always [msg.CallUnavailable].
//
// # Deadlines
//
// The NotAfter of an effect is checked at each write to an established
// connection, and therefore also right before the bytes that complete the
// request. A request can still arrive late by the time between that check and
// its arrival at the platform, which consists of one system call, prolonged by
// any pause of the process, and the transmission over the network. Only the
// receiver can exclude that, by a condition on a version or by a check of the
// epoch. The transmission ends with the call: what the platform's host has not
// acknowledged then is dropped (see [tcpabort.Control]).
package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/callmetrics"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/tcpabort"
	"github.com/verbenaspur/verbenaspur/internal/tcpreset"
)

const (
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	// unackedMargin is how much earlier than the timeout of a call the kernel gives it
	// up, so that the call is over by then even if this process is paused.
	unackedMargin       = 300 * time.Millisecond
	maxIdleConnsPerHost = 16
	// maxResponseBytes is the number of bytes up to which the body of a response is
	// read. Lists of objects with their values are the largest responses.
	maxResponseBytes = 64 << 20
)

// Config configures a client.
type Config struct {
	// Objects, Targets, Usage and Hosts are the base URLs of the platform's
	// interfaces, without a trailing slash. Calls to an interface whose URL is
	// empty are unavailable.
	Objects string
	Targets string
	Usage   string
	Hosts   string
	// Token is the bearer token for the platform. No token is sent if it is empty.
	Token string
	// Timeout is the longest duration of a call. To a watch, the time for which the
	// platform may delay the response is added. Zero selects two seconds.
	Timeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	hosts hostCache
	calls *callmetrics.Calls
}

// New returns a client, which does not share its connections with other clients.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: &httpclient.CheckedTransport{Base: newTransport(max(cfg.Timeout-unackedMargin, cfg.Timeout/2))}, CheckRedirect: refuseRedirect},
		calls: callmetrics.New(),
	}
}

// Describe implements [prometheus.Collector].
func (c *Client) Describe(ch chan<- *prometheus.Desc) { c.calls.Describe(ch) }

// Collect implements [prometheus.Collector].
func (c *Client) Collect(ch chan<- prometheus.Metric) { c.calls.Collect(ch) }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes one effect and returns the event that carries its result. It blocks
// until the call has ended, its timeout has passed or the context is done. The
// parameter now reads the process's monotonic clock, to which NotAfter refers. Do
// panics on an effect that does not call the platform.
func (c *Client) Do(ctx context.Context, eff msg.Effect, now func() msg.Time) msg.Event {
	op := &operation{client: c, ctx: ctx, now: now}
	switch eff := eff.(type) {
	case msg.GetObject:
		return op.getObject(eff)
	case msg.ListObjects:
		return op.listObjects(eff)
	case msg.PutObject:
		return op.putObject(eff)
	case msg.DeleteObject:
		return op.deleteObject(eff)
	case msg.WatchObjects:
		return op.watchObjects(eff)
	case msg.ListHosts:
		return op.listHosts(eff)
	case msg.ProvisionTarget:
		return op.provisionTarget(eff)
	case msg.ReleaseTarget:
		return op.releaseTarget(eff)
	case msg.ListTargets:
		return op.listTargets(eff)
	case msg.ReportUsage:
		return op.reportUsage(eff)
	}
	panic(fmt.Sprintf("platform: %T is not a call of the platform", eff))
}

// newTransport returns a transport that uses HTTP/1.1 only. A connection then
// carries one request at a time, on which the deadline gate relies. A connection
// ends when something has been unacknowledged for unacked.
func newTransport(unacked time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: tcpabort.Control(unacked)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Protocols:           protocols,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: tcpreset.NewConn(conn)}, nil
		},
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
