package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
)

func TestDrainMetrics(t *testing.T) {
	c := NewDrain(func() httpdrain.Stats {
		return httpdrain.Stats{Open: 5, Busy: 2, Unanswered: 3, Requests: map[httpdrain.Phase]int64{httpdrain.PhaseAnnounced: 4}}
	})
	want := `
# HELP verbenaspur_caller_connections Open connections of callers, by whether they carry a request.
# TYPE verbenaspur_caller_connections gauge
verbenaspur_caller_connections{state="busy"} 2
verbenaspur_caller_connections{state="idle"} 3
# HELP verbenaspur_caller_connections_unanswered_total Connections that were closed after a request, or a part of one, had been read and nothing written.
# TYPE verbenaspur_caller_connections_unanswered_total counter
verbenaspur_caller_connections_unanswered_total 3
# HELP verbenaspur_caller_requests_read_total Requests whose head was read, by the phase of the shutdown.
# TYPE verbenaspur_caller_requests_read_total counter
verbenaspur_caller_requests_read_total{phase="announced"} 4
`
	is.New(t).NoErr(testutil.CollectAndCompare(c, strings.NewReader(want)))
}
