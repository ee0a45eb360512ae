package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/verbenaspur/verbenaspur/internal/relay"
)

func TestRelayMetrics(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	reg.MustRegister(NewRelay(func() relay.Stats {
		return relay.Stats{
			ResponseBytes: 1, RequestBytes: 2, Behind: 4, GivenUp: map[relay.Reason]int64{relay.ReasonStalled: 5},
			Ports: []relay.PortStats{{Name: "callers", Open: 6, Limit: 7, GaveWay: 8}},
		}
	}))
	const want = `
# HELP verbenaspur_relay_callers_behind Callers that have not yet taken all that was written to them.
# TYPE verbenaspur_relay_callers_behind gauge
verbenaspur_relay_callers_behind 4
# HELP verbenaspur_relay_connections Connections that hold a place, with the one that is awaited, by port.
# TYPE verbenaspur_relay_connections gauge
verbenaspur_relay_connections{port="callers"} 6
# HELP verbenaspur_relay_gave_way_total Connections that were closed to make room for others, by port.
# TYPE verbenaspur_relay_gave_way_total counter
verbenaspur_relay_gave_way_total{port="callers"} 8
# HELP verbenaspur_relay_given_up_total Callers that were given up because they took nothing, by reason.
# TYPE verbenaspur_relay_given_up_total counter
verbenaspur_relay_given_up_total{reason="memory"} 0
verbenaspur_relay_given_up_total{reason="stalled"} 5
# HELP verbenaspur_relay_held_bytes Bytes held for callers, by what they are part of.
# TYPE verbenaspur_relay_held_bytes gauge
verbenaspur_relay_held_bytes{part="request"} 2
verbenaspur_relay_held_bytes{part="response"} 1
`
	is.NoErr(testutil.GatherAndCompare(reg, strings.NewReader(want),
		"verbenaspur_relay_callers_behind", "verbenaspur_relay_connections", "verbenaspur_relay_gave_way_total", "verbenaspur_relay_given_up_total", "verbenaspur_relay_held_bytes"))
}
