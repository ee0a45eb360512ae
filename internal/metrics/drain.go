package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
)

// Drain collects the figures of a server's connections with callers.
type Drain struct {
	stats                func() httpdrain.Stats
	conns                *prometheus.Desc
	requests, unanswered *prometheus.Desc
}

// NewDrain returns a collector of the figures that stats returns.
func NewDrain(stats func() httpdrain.Stats) *Drain {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("verbenaspur_caller_"+name, help, labels, nil)
	}
	return &Drain{
		stats:      stats,
		conns:      desc("connections", "Open connections of callers, by whether they carry a request.", "state"),
		requests:   desc("requests_read_total", "Requests whose head was read, by the phase of the shutdown.", "phase"),
		unanswered: desc("connections_unanswered_total", "Connections that were closed after a request, or a part of one, had been read and nothing written."),
	}
}

// Describe implements [prometheus.Collector].
func (d *Drain) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{d.conns, d.requests, d.unanswered} {
		ch <- desc
	}
}

// Collect implements [prometheus.Collector].
func (d *Drain) Collect(ch chan<- prometheus.Metric) {
	s := d.stats()
	ch <- prometheus.MustNewConstMetric(d.conns, prometheus.GaugeValue, float64(s.Busy), "busy")
	ch <- prometheus.MustNewConstMetric(d.conns, prometheus.GaugeValue, float64(s.Open-s.Busy), "idle")
	for phase, n := range s.Requests {
		ch <- prometheus.MustNewConstMetric(d.requests, prometheus.CounterValue, float64(n), phase.String())
	}
	ch <- prometheus.MustNewConstMetric(d.unanswered, prometheus.CounterValue, float64(s.Unanswered))
}
