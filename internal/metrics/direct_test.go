package metrics

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestDirectMetrics(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	d := NewDirect(reg)
	for _, ev := range []msg.Event{
		msg.DirectRequestArrived{Req: "1"},
		msg.FirstTokenReceived{Waited: 100 * time.Millisecond},
		msg.DirectAttemptEnded{Result: msg.DirectDone},
		msg.DirectRequestEnded{Req: "1", End: msg.EndAnswered, Waited: time.Second},
		msg.DirectRequestEnded{Req: "2", End: msg.EndRefused, Code: "overloaded"},
		msg.RoutesChanged{Table: &msg.RouteTable{Version: 7}},
		msg.RoutesConfirmed{At: time.Second},
		msg.InstancesChanged{Instances: []msg.Instance{{Service: "s", Role: msg.RoleDecode}, {Service: "s", Role: msg.RoleDecode, Draining: true}}},
		msg.LeaseChanged{Held: true},
		msg.RunCounted{Account: "x"},
		msg.WindowReported{Status: msg.CallOK},
		msg.CrashRecorded{Source: msg.CrashFromPeer, Count: 1},
		msg.QuotaUsed{Period: time.Second, Largest: []msg.QuotaUse{{Account: "gone", PerSecond: 1}}},
		msg.QuotaUsed{Period: 5 * time.Second, Largest: []msg.QuotaUse{{Account: "x", PerSecond: 70, Allowed: 100, Denied: 10}}},
	} {
		is.Equal(len(d.Step(3*time.Second, ev)), 0)
	}
	d.Step(3*time.Second, msg.Tick{})
	const want = `
# HELP verbenaspur_direct_closed_total Requests that are over, by end and, where they were not served, by reason.
# TYPE verbenaspur_direct_closed_total counter
verbenaspur_direct_closed_total{code="",end="answered"} 1
verbenaspur_direct_closed_total{code="overloaded",end="refused"} 1
# HELP verbenaspur_direct_config_age_seconds Time since the configuration was confirmed to be the newest.
# TYPE verbenaspur_direct_config_age_seconds gauge
verbenaspur_direct_config_age_seconds 2
# HELP verbenaspur_direct_crash_records_total Crashes of targets while they were running requests, as this daemon learnt of them, by source.
# TYPE verbenaspur_direct_crash_records_total counter
verbenaspur_direct_crash_records_total{source="peer"} 1
# HELP verbenaspur_direct_quota_denied_per_second Asks that this daemon, as a holder of quotas, has denied lately, for the accounts that use most of theirs and the rest.
# TYPE verbenaspur_direct_quota_denied_per_second gauge
verbenaspur_direct_quota_denied_per_second{account="(rest)"} 0
verbenaspur_direct_quota_denied_per_second{account="x"} 2
# HELP verbenaspur_direct_targets Targets as listed.
# TYPE verbenaspur_direct_targets gauge
verbenaspur_direct_targets{role="decode",service="s",state="draining"} 1
verbenaspur_direct_targets{role="decode",service="s",state="ready"} 1
`
	is.NoErr(testutil.GatherAndCompare(reg, strings.NewReader(want),
		"verbenaspur_direct_closed_total", "verbenaspur_direct_config_age_seconds", "verbenaspur_direct_crash_records_total", "verbenaspur_direct_quota_denied_per_second", "verbenaspur_direct_targets"))
}
