// Package callmetrics provides the Prometheus metrics of calls to a platform.
package callmetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Calls counts and times the calls to a platform. It is a [prometheus.Collector]
// and safe for concurrent use.
type Calls struct {
	total   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// New returns metrics that are not yet registered.
func New() *Calls {
	return &Calls{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaspur_platform_calls_total",
			Help: "Calls of the platform by kind and result.",
		}, []string{"call", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "verbenaspur_platform_call_duration_seconds",
			Help:    "Duration of calls of the platform, watches excepted.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"call"}),
	}
}

// Count counts a call under its result.
func (c *Calls) Count(call string, status msg.CallStatus) {
	c.total.WithLabelValues(call, [...]string{"ok", "conflict", "not_found", "rejected", "unavailable", "unknown"}[status]).Inc()
}

// Time observes the duration of a call.
func (c *Calls) Time(call string, took time.Duration) {
	c.seconds.WithLabelValues(call).Observe(took.Seconds())
}

// Describe implements [prometheus.Collector].
func (c *Calls) Describe(ch chan<- *prometheus.Desc) {
	c.total.Describe(ch)
	c.seconds.Describe(ch)
}

// Collect implements [prometheus.Collector].
func (c *Calls) Collect(ch chan<- prometheus.Metric) {
	c.total.Collect(ch)
	c.seconds.Collect(ch)
}
