package metrics

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

var metricNamePattern = regexp.MustCompile(`verbenaspur_[a-z_]+`)

// metricNames returns the names of all metrics, including those without a value.
func metricNames(m *Metrics) map[string]bool {
	names := make(map[string]bool)
	ch := make(chan *prometheus.Desc, 100)
	for _, c := range []prometheus.Collector{
		m.requestsTotal, m.refusals, m.goodRequests, m.inFlight, m.requestSeconds, m.firstToken, m.betweenTokens, m.queueWait,
		m.attemptsTotal, m.retries, m.tokens, m.claimsTotal, m.claimSeconds,
		m.leaseHeld, m.leaseEpoch, m.leaseChanges, m.generation, m.confirmedAge, m.proposals, m.hosts,
		m.targetCount, m.ordersTotal, m.ordersOpen, m.roleChanges, m.sideAttempts, m.targetCrashes,
		m.usageReports, m.usageLag, m.peerMessages, m.peerChanges,
		m.logLines, m.stepSeconds, m.eventsHandled,
		platform.New(platform.Config{}),
	} {
		c.Describe(ch)
	}
	close(ch)
	for d := range ch {
		names[metricNamePattern.FindString(d.String())] = true
	}
	return names
}

func TestDashboardsUseExistingMetrics(t *testing.T) {
	m, _ := newMetrics(0)
	known := metricNames(m)
	for _, file := range []string{"../../dashboards/verbenaspur.json", "../../dashboards/alerts.yaml"} {
		is := is.New(t)
		b, err := os.ReadFile(file)
		is.NoErr(err)
		used := metricNamePattern.FindAllString(string(b), -1)
		is.True(len(used) > 10)
		for _, name := range used {
			if !known[name] && !known[strings.TrimSuffix(name, "_bucket")] {
				t.Errorf("%s uses %s, which is not a metric", file, name)
			}
		}
	}
}

func TestDirectAlertsUseExistingMetrics(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	d := NewDirect(reg)
	for _, ev := range []msg.Event{msg.DirectRequestEnded{}, msg.FirstTokenReceived{}, msg.RoutesConfirmed{}, msg.LeaseChanged{}} {
		d.Step(0, ev)
	}
	families, err := reg.Gather()
	is.NoErr(err)
	known := make(map[string]bool)
	for _, f := range families {
		known[f.GetName()] = true
	}
	b, err := os.ReadFile("../../dashboards/alerts-direct.yaml")
	is.NoErr(err)
	used := metricNamePattern.FindAllString(string(b), -1)
	is.True(len(used) >= 4)
	for _, name := range used {
		if !known[strings.TrimSuffix(name, "_bucket")] {
			t.Errorf("alerts-direct.yaml uses %s, which is not a metric", name)
		}
	}
}

func TestDashboardFilesParse(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../dashboards/verbenaspur.json")
	is.NoErr(err)
	is.True(json.Valid(b))
	for _, file := range []string{"../../dashboards/alerts.yaml", "../../dashboards/alerts-direct.yaml"} {
		checkAlerts(t, file)
	}
}

// checkAlerts checks that a file of alert rules parses and that the runbook has a
// section for each rule.
func checkAlerts(t *testing.T, file string) {
	is := is.New(t)
	b, err := os.ReadFile(file)
	is.NoErr(err)
	var rules struct {
		Groups []struct {
			Name  string
			Rules []struct {
				Alert, Expr, For    string
				Labels, Annotations map[string]string
			}
		}
	}
	is.NoErr(yaml.UnmarshalWithOptions(b, &rules, yaml.Strict()))
	runbook, err := os.ReadFile("../../docs/operators/alerts.md")
	is.NoErr(err)
	for _, r := range rules.Groups[0].Rules {
		is.True(r.Expr != "")
		if !strings.Contains(string(runbook), "\n## "+r.Alert+"\n") {
			t.Errorf("docs/operators/alerts.md has no section for alert %s", r.Alert)
		}
	}
}
