// Package platform executes the effects of the reducers that call the
// platform: the object API, the host list, the target interface and the usage
// interface. The contract is docs/INTERFACES.md.
//
// Each call is tried once. Its status says what is known of its effect:
// [msg.CallUnavailable] is given only where the call certainly had none, that
// is where no byte left, a deadline stopped it before its last byte, or the
// platform said so (429, 503). Everything else that is not a clear answer to
// a write is [msg.CallUnknown]. Reads have no effect, so a failed one is
// always unavailable.
//
// # Deadlines
//
// An effect's NotAfter is checked at each write to an established connection,
// so in particular right before the bytes that complete the request. The
// window that is left is the time from that check to the arrival at the
// platform: one system call, which a pause of the process may stretch, and
// the network. Only the receiver can close it, by a condition on a version or
// a check of the epoch.
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
)

const (
	defaultTimeout      = 2 * time.Second
	dialTimeout         = time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 16
	// maxAnswer bounds an answer's body in bytes; lists of whole objects are
	// the largest.
	maxAnswer = 64 << 20
)

// Config configures a client. Base addresses are URLs without a trailing
// slash; an empty one makes its calls unavailable.
type Config struct {
	Objects string
	Targets string
	Usage   string
	Hosts   string
	// Token is the bearer token for the platform; empty for none.
	Token string
	// Timeout bounds each call; a watch may take its wait besides. Zero
	// selects two seconds.
	Timeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	hosts hostCache
	calls *callmetrics.Calls
}

// New returns a client with connections of its own.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: newTransport(), CheckRedirect: refuseRedirect},
		calls: callmetrics.New(),
	}
}

// Describe implements [prometheus.Collector].
func (c *Client) Describe(ch chan<- *prometheus.Desc) { c.calls.Describe(ch) }

// Collect implements [prometheus.Collector].
func (c *Client) Collect(ch chan<- prometheus.Metric) { c.calls.Collect(ch) }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes one effect and returns the event that answers it. It blocks
// until the call is over, its timeout has passed or the context is done. Now
// reads the process's monotonic clock, which NotAfter refers to. Do panics on
// an effect that is not a call of the platform.
func (c *Client) Do(ctx context.Context, eff msg.Effect, now func() msg.Time) msg.Event {
	s := &session{client: c, ctx: ctx, now: now}
	switch eff := eff.(type) {
	case msg.GetObject:
		return s.getObject(eff)
	case msg.ListObjects:
		return s.listObjects(eff)
	case msg.PutObject:
		return s.putObject(eff)
	case msg.DeleteObject:
		return s.deleteObject(eff)
	case msg.WatchObjects:
		return s.watchObjects(eff)
	case msg.ListHosts:
		return s.listHosts(eff)
	case msg.ProvisionTarget:
		return s.orderTarget(eff)
	case msg.ReleaseTarget:
		return s.withdrawTarget(eff)
	case msg.ListTargets:
		return s.listTargets(eff)
	case msg.ReportUsage:
		return s.reportUsage(eff)
	}
	panic(fmt.Sprintf("platform: %T is not a call of the platform", eff))
}

// newTransport uses HTTP/1.1 only: a connection then carries one request at a
// time, which the deadline gate relies on.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
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
			return &gatedConn{Conn: conn}, nil
		},
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
