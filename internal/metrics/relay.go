package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/relay"
)

// Relay collects the figures of what a process holds for its callers.
type Relay struct {
	stats                              func() relay.Stats
	held, peak                         *prometheus.Desc
	behind, heldBack, refused, givenUp *prometheus.Desc
	connections, limit                 *prometheus.Desc
	gaveWay, largeHeads                *prometheus.Desc
}

// NewRelay returns a collector of the figures that stats returns.
func NewRelay(stats func() relay.Stats) *Relay {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("verbenaspur_"+name, help, labels, nil)
	}
	return &Relay{
		stats:    stats,
		held:     desc("relay_held_bytes", "Bytes held for callers, by what they are part of.", "part"),
		peak:     desc("relay_held_bytes_peak", "Largest number of bytes held for callers since the start."),
		behind:   desc("relay_callers_behind", "Callers that have not yet taken all that was written to them."),
		heldBack: desc("relay_held_back_total", "Times at which a response waited until its caller took more."),
		refused:  desc("relay_refused_requests_total", "Requests that were refused because they found no room, or lost it to another."),
		givenUp:  desc("relay_given_up_total", "Callers that were given up because they took nothing, by reason.", "reason"),

		connections: desc("relay_connections", "Connections that hold a place, with the one that is awaited, by port.", "port"),
		limit:       desc("relay_connections_limit", "Connections that may be open at a port; 0 means any number.", "port"),
		gaveWay:     desc("relay_gave_way_total", "Connections that were closed to make room for others, by port.", "port"),
		largeHeads:  desc("relay_large_heads_total", "Requests that were refused because of the size of their head, by port.", "port"),
	}
}

// Describe implements [prometheus.Collector].
func (r *Relay) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{r.held, r.peak, r.behind, r.heldBack, r.refused, r.givenUp, r.connections, r.limit, r.gaveWay, r.largeHeads} {
		ch <- d
	}
}

// Collect implements [prometheus.Collector].
func (r *Relay) Collect(ch chan<- prometheus.Metric) {
	s := r.stats()
	gauge := func(d *prometheus.Desc, v int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	counter := func(d *prometheus.Desc, v int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(r.held, s.ResponseBytes, "response")
	gauge(r.held, s.RequestBytes, "request")
	gauge(r.peak, s.PeakBytes)
	gauge(r.behind, int64(s.Behind))
	counter(r.heldBack, s.HeldBack)
	counter(r.refused, s.Refused)
	for _, reason := range []relay.Reason{relay.ReasonStalled, relay.ReasonMemory} {
		counter(r.givenUp, s.GivenUp[reason], string(reason))
	}
	for _, p := range s.Ports {
		gauge(r.connections, int64(p.Open), p.Name)
		gauge(r.limit, int64(p.Limit), p.Name)
		counter(r.gaveWay, p.GaveWay, p.Name)
		counter(r.largeHeads, p.LargeHeads, p.Name)
	}
}
