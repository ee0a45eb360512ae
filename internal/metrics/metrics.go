// Package metrics provides the Prometheus metrics of a daemon. [Metrics] is a
// component of the daemon's reducer that only observes: it receives every event,
// including those that components raise for each other, and returns no effects.
// The driver passes it the effects as well.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const namespace = "verbenaspur"

// Latency limits of a good request: the time to the first token and the mean time
// between tokens.
const (
	GoodFirstToken    = 320 * time.Millisecond
	GoodBetweenTokens = 49 * time.Millisecond
)

// Histogram buckets in seconds. They include the latency limits of a good request.
var (
	firstTokenBuckets   = []float64{0.02, 0.05, 0.1, 0.16, 0.24, 0.32, 0.48, 0.64, 1, 2, 4, 8, 16}
	betweenTokenBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.04, 0.049, 0.06, 0.08, 0.1, 0.2, 0.5, 1}
	waitBuckets         = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120}
	callBuckets         = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}
	ratioBuckets        = []float64{0.1, 0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4, 10}
	stepBuckets         = []float64{5e-6, 1e-5, 2.5e-5, 5e-5, 1e-4, 2.5e-4, 5e-4, 1e-3, 5e-3, 2e-2, 0.1}
)

// Metrics holds the metrics of one daemon. Its methods must be called from the
// reducer's goroutine only; the registered collectors are safe for concurrent use.
type Metrics struct {
	requestMetrics
	stateMetrics
	processMetrics

	index    *manifest.Index
	accounts accountLabels
	// wallClock is the wall clock time of the last tick.
	wallClock time.Time
	// gaugesUpdated is the time of the last update of the derived gauges.
	gaugesUpdated msg.Time

	requests map[msg.RequestID]*request
	attempts map[msg.AttemptID]*request
	// claimStarts holds the start times of the claims that are not settled, and
	// reportedUntil the ends of the windows of usage reports without a result.
	claimStarts   map[msg.RequestID]msg.Time
	reportedUntil map[msg.CallID]time.Time
	// openOrders holds the orders without a result.
	openOrders map[msg.OrderID]msg.Order
	targets    map[msg.TargetID]targetLabels
	heldLeases map[msg.LeaseName]bool

	// confirmedAt is the time at which the configuration was last confirmed to be
	// the newest. It is valid if isConfirmed is set.
	confirmedAt msg.Time
	isConfirmed bool
}

type requestMetrics struct {
	requestsTotal  *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	goodRequests   *prometheus.CounterVec
	inFlight       prometheus.Gauge
	requestSeconds *prometheus.HistogramVec
	firstToken     *prometheus.HistogramVec
	betweenTokens  *prometheus.HistogramVec
	queueWait      *prometheus.HistogramVec
	attemptsTotal  *prometheus.CounterVec
	retries        *prometheus.CounterVec
	tokens         *prometheus.CounterVec
	claimsTotal    *prometheus.CounterVec
	claimSeconds   prometheus.Histogram
}

type stateMetrics struct {
	leaseHeld     *prometheus.GaugeVec
	leaseEpoch    *prometheus.GaugeVec
	leaseChanges  *prometheus.CounterVec
	generation    prometheus.Gauge
	confirmedAge  prometheus.Gauge
	proposals     *prometheus.CounterVec
	hosts         *prometheus.GaugeVec
	targetCount   *prometheus.GaugeVec
	ordersTotal   *prometheus.CounterVec
	ordersOpen    prometheus.Gauge
	roleChanges   *prometheus.CounterVec
	sideAttempts  *prometheus.CounterVec
	targetCrashes prometheus.Counter
}

type processMetrics struct {
	usageReports  *prometheus.CounterVec
	usageLag      prometheus.Gauge
	peerMessages  *prometheus.CounterVec
	peerChanges   *prometheus.CounterVec
	logLines      *prometheus.CounterVec
	stepSeconds   prometheus.Histogram
	eventsHandled prometheus.Counter
}

// New registers the metrics of one daemon.
func New(reg prometheus.Registerer) *Metrics {
	f := factory{promauto.With(reg)}
	return &Metrics{
		requestMetrics: newRequestMetrics(f),
		stateMetrics:   newStateMetrics(f),
		processMetrics: newProcessMetrics(f),
		requests:       make(map[msg.RequestID]*request),
		attempts:       make(map[msg.AttemptID]*request),
		claimStarts:    make(map[msg.RequestID]msg.Time),
		reportedUntil:  make(map[msg.CallID]time.Time),
		openOrders:     make(map[msg.OrderID]msg.Order),
		targets:        make(map[msg.TargetID]targetLabels),
		heldLeases:     make(map[msg.LeaseName]bool),
	}
}

func newRequestMetrics(f factory) requestMetrics {
	return requestMetrics{
		requestsTotal:  f.counterVec("requests_total", "Requests that ended, by what the caller was told.", "route", "class", "account", "outcome"),
		refusals:       f.counterVec("refusals_total", "Requests refused before an answer began.", "code"),
		goodRequests:   f.counterVec("good_requests_total", "Whole answers within the limits of the first token and between tokens.", "route", "account"),
		inFlight:       f.gauge("requests_in_flight", "Requests that have arrived and not ended."),
		requestSeconds: f.histogramVec("request_seconds", "Time from arrival to the end of a request.", waitBuckets, "route"),
		firstToken:     f.histogramVec("first_token_seconds", "Time from arrival to the first token.", firstTokenBuckets, "route"),
		betweenTokens:  f.histogramVec("between_tokens_seconds", "Mean time between tokens of one piece of progress.", betweenTokenBuckets, "route"),
		queueWait:      f.histogramVec("queue_wait_seconds", "Time from arrival to the first attempt.", waitBuckets, "class", "account"),
		attemptsTotal:  f.counterVec("attempts_total", "Attempts that ended.", "result"),
		retries:        f.counterVec("retries_total", "Attempts beyond a request's first.", "route"),
		tokens:         f.counterVec("tokens_total", "Tokens charged to client accounts.", "account", "kind"),
		claimsTotal:    f.counterVec("claims_total", "Claims of non-idempotent requests.", "status"),
		claimSeconds:   f.histogram("claim_seconds", "Time to settle a claim.", callBuckets),
	}
}

func newStateMetrics(f factory) stateMetrics {
	return stateMetrics{
		leaseHeld:     f.gaugeVec("lease_held", "1 while this process holds the lease.", "lease"),
		leaseEpoch:    f.gaugeVec("lease_epoch", "Highest fencing number seen of the lease.", "lease"),
		leaseChanges:  f.counterVec("lease_changes_total", "Acquisitions and losses of leases by this process.", "change"),
		generation:    f.gauge("config_generation", "Generation of the configuration in force here."),
		confirmedAge:  f.gauge("config_confirmed_age_seconds", "Time since the configuration was confirmed to be the newest."),
		proposals:     f.counterVec("config_proposals_total", "Operators' proposals by result.", "status"),
		hosts:         f.gaugeVec("hosts", "Hosts known to be reachable.", "kind"),
		targetCount:   f.gaugeVec("targets", "Targets as last reported.", "pool", "role", "phase"),
		ordersTotal:   f.counterVec("orders_total", "Orders to targets that were answered.", "kind", "status"),
		ordersOpen:    f.gauge("orders_open", "Orders to targets without an answer."),
		roleChanges:   f.counterVec("role_changes_total", "Role changes that took effect.", "role"),
		sideAttempts:  f.counterVec("side_attempts_total", "Attempts offered to this side daemon.", "step"),
		targetCrashes: f.counter("target_crashes_total", "Crashes of the target beside this daemon."),
	}
}

func newProcessMetrics(f factory) processMetrics {
	return processMetrics{
		usageReports:  f.counterVec("usage_reports_total", "Reports to the usage interface.", "status"),
		usageLag:      f.gauge("usage_lag_seconds", "Time from the end of the last reported window to its report."),
		peerMessages:  f.counterVec("peer_messages_total", "Messages between daemons.", "direction"),
		peerChanges:   f.counterVec("peer_changes_total", "Connections between daemons that opened or were lost.", "change"),
		logLines:      f.counterVec("log_lines_total", "Log lines.", "part", "level"),
		stepSeconds:   f.histogram("step_seconds", "Time of one reducer step.", stepBuckets),
		eventsHandled: f.counter("events_total", "Events handled, raised ones included."),
	}
}

// Reducer processes events and returns their effects.
type Reducer interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// Timed returns a reducer that calls inner and observes the duration of each step.
func (m *Metrics) Timed(inner Reducer) Reducer { return timedReducer{m, inner} }

type timedReducer struct {
	metrics *Metrics
	inner   Reducer
}

// Step implements [Reducer].
func (t timedReducer) Step(now msg.Time, ev msg.Event) []msg.Effect {
	start := time.Now()
	effs := t.inner.Step(now, ev)
	t.metrics.stepSeconds.Observe(time.Since(start).Seconds())
	return effs
}

// factory creates and registers metrics in the project's namespace.
type factory struct{ promauto.Factory }

func (f factory) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) counter(name, help string) prometheus.Counter {
	return f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return f.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) gauge(name, help string) prometheus.Gauge {
	return f.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func (f factory) histogram(name, help string, buckets []float64) prometheus.Histogram {
	return f.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}
