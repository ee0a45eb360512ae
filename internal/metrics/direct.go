package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Direct holds the metrics of an entry daemon that drives its targets itself.
// It is a part of the reducer that only watches.
type Direct struct {
	arrivals   prometheus.Counter
	attempts   *prometheus.CounterVec
	closed     *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	firstToken prometheus.Histogram
	reads      *prometheus.CounterVec
	routes     prometheus.Gauge
	confirmed  prometheus.Gauge
	targets    *prometheus.GaugeVec
	entries    prometheus.Gauge
	leaseHeld  prometheus.Gauge
	windows    *prometheus.CounterVec
	runs       prometheus.Counter
	events     prometheus.Counter

	freshAt msg.Time
}

// NewDirect registers the metrics.
func NewDirect(reg prometheus.Registerer) *Direct {
	f := factory{promauto.With(reg)}
	return &Direct{
		arrivals:   f.counter("direct_requests_total", "Requests of callers that arrived."),
		attempts:   f.counters("direct_attempts_total", "Attempts that ended, by result.", "result"),
		closed:     f.counters("direct_closed_total", "Requests that are over, by end and, where they were not served, by reason.", "end", "code"),
		seconds:    f.histograms("direct_request_seconds", "Time from arrival to the end of a request, by end.", waitBuckets, "end"),
		firstToken: f.histogram("direct_first_token_seconds", "Time from arrival to the first token.", firstTokenBuckets),
		reads:      f.counters("direct_reads_total", "Reads of the configuration and the list of targets, by status.", "read", "status"),
		routes:     f.gauge("direct_config_version", "Version of the configuration in force here."),
		confirmed:  f.gauge("direct_config_age_seconds", "Time since the configuration was confirmed to be the newest."),
		targets:    f.gauges("direct_targets", "Targets as listed.", "service", "role", "state"),
		entries:    f.gauge("direct_entries", "Entry daemons known to be live, this one included."),
		leaseHeld:  f.gauge("direct_usage_lease_held", "1 while this process holds the usage lease."),
		windows:    f.counters("direct_usage_reports_total", "Reports of usage windows, by status.", "status"),
		runs:       f.counter("direct_runs_total", "Requests that targets began to run."),
		events:     f.counter("direct_events_total", "Events handled, raised ones included."),
	}
}

// Step observes an event. It has no effects.
func (d *Direct) Step(now msg.Time, ev msg.Event) []msg.Effect {
	d.events.Inc()
	switch ev := ev.(type) {
	case msg.DirectRequestArrived:
		d.arrivals.Inc()
	case msg.DirectRequestEnded:
		d.closed.WithLabelValues(ev.End.String(), ev.Code).Inc()
		d.seconds.WithLabelValues(ev.End.String()).Observe(ev.Waited.Seconds())
	case msg.FirstTokenReceived:
		d.firstToken.Observe(ev.Waited.Seconds())
	case msg.DirectAttemptEnded:
		d.attempts.WithLabelValues(ev.Result.String()).Inc()
	case msg.RunCounted:
		d.runs.Inc()
	case msg.Tick:
		d.confirmed.Set((now - d.freshAt).Seconds())
	default:
		d.observeState(ev)
	}
	return nil
}

func (d *Direct) observeState(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RoutesConfirmed:
		d.freshAt = max(d.freshAt, ev.At)
	case msg.RoutesChanged:
		d.routes.Set(float64(ev.Table.Version))
	case msg.InstancesChanged:
		d.observeInstances(ev)
	case msg.MembersChanged:
		d.entries.Set(float64(len(ev.Entries)))
	case msg.LeaseChanged:
		d.leaseHeld.Set(0)
		if ev.Held {
			d.leaseHeld.Set(1)
		}
	case msg.WindowReported:
		d.windows.WithLabelValues(label(callStatusLabels[:], ev.Status)).Inc()
	case msg.RoutesRead:
		d.reads.WithLabelValues("routes", label(callStatusLabels[:], ev.Status)).Inc()
	case msg.InstancesRead:
		d.reads.WithLabelValues("targets", label(callStatusLabels[:], ev.Status)).Inc()
	}
}

func (d *Direct) observeInstances(ev msg.InstancesChanged) {
	d.targets.Reset()
	for _, in := range ev.Instances {
		d.targets.WithLabelValues(string(in.Service), in.Role.String(), in.State()).Inc()
	}
}
