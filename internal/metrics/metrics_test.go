package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

var _ reducer.Component = (*Metrics)(nil)

const ms = time.Millisecond

func newMetrics(accounts int) (*Metrics, *prometheus.Registry) {
	reg := prometheus.NewPedanticRegistry()
	m := New(reg)
	man := &manifest.Manifest{Routes: []manifest.Route{{Name: "r", Class: manifest.ClassUrgent}}}
	for i := range accounts {
		man.Accounts = append(man.Accounts, manifest.Account{Name: fmt.Sprintf("a%04d", i), Weight: 1})
	}
	m.Step(0, msg.ConfigChanged{Generation: 7, Index: manifest.NewIndex(man)})
	return m, reg
}

// runRequest observes one request with n tokens. The first token arrives after the
// time first, and the others at intervals of gap.
func runRequest(m *Metrics, id string, account msg.AccountID, first, gap time.Duration, n int) {
	req, attempt := msg.RequestID(id), msg.AttemptID(id+"/1")
	now := time.Second
	m.Step(now, msg.RequestArrived{Req: req, Model: "r"})
	m.ObserveEffect(now+10*ms, msg.StartAttempt{Req: req, Attempt: attempt, Spec: msg.AttemptSpec{Account: account}})
	for i := range n {
		m.Step(now+first+time.Duration(i)*gap, msg.AttemptProgress{Attempt: attempt, Tokens: i + 1})
	}
	now += first + time.Duration(n)*gap
	m.Step(now, msg.AttemptEnded{Attempt: attempt})
	m.ObserveEffect(now, msg.FinishRequest{Req: req})
}

func TestOnlyRequestsWithinLimitsCountAsGood(t *testing.T) {
	is := is.New(t)
	m, _ := newMetrics(1)
	runRequest(m, "good", "a0000", 300*ms, 40*ms, 10)
	runRequest(m, "late", "a0000", 400*ms, 40*ms, 10)
	runRequest(m, "slow", "a0000", 300*ms, 60*ms, 10)
	is.Equal(testutil.ToFloat64(m.goodRequests.WithLabelValues("r", "a0000")), 1.0)
	is.Equal(testutil.ToFloat64(m.requestsTotal.WithLabelValues("r", "urgent", "a0000", "run")), 3.0)
	is.Equal(testutil.CollectAndCount(m.queueWait), 1)
}

func TestEndedRequestsAreRemoved(t *testing.T) {
	is := is.New(t)
	m, _ := newMetrics(1)
	runRequest(m, "x", "a0000", ms, ms, 3)
	m.Step(0, msg.RequestArrived{Req: "y"})
	m.Step(0, msg.ClaimRequested{Req: "y"})
	m.ObserveEffect(0, msg.StartAttempt{Req: "y", Attempt: "y/1"})
	m.Step(0, msg.CallerDisconnected{Req: "y"})
	is.Equal(len(m.requests)+len(m.attempts)+len(m.claimStarts), 0)
	is.Equal(testutil.ToFloat64(m.inFlight), 0.0)
}

func TestAccountLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m, _ := newMetrics(2200)
	for i := range 2200 {
		m.Step(0, msg.UsageCounted{Account: msg.AccountID(fmt.Sprintf("a%04d", i)), Usage: msg.TokenUsage{Prompt: 1}})
	}
	is.Equal(testutil.CollectAndCount(m.tokens), 3*(maxAccounts+1))
	is.Equal(testutil.ToFloat64(m.tokens.WithLabelValues("other", "prompt")), 2200.0-maxAccounts)
}

func TestLeaseOrderAndTargetMetrics(t *testing.T) {
	is := is.New(t)
	m, reg := newMetrics(1)
	m.Step(0, msg.LeaseChanged{Name: "fleet/p", Held: true, Epoch: 3})
	m.Step(0, msg.LeaseChanged{Name: "fleet/p", Held: true, Epoch: 3})
	m.Step(0, msg.TargetReported{Target: msg.TargetIdentity{Target: "t", Pool: "p"}})
	m.ObserveEffect(0, msg.SendOrder{Order: msg.Order{ID: "o", Kind: msg.OrderSetRole, Role: msg.RoleDecode}})
	m.Step(0, msg.OrderResultReceived{Order: "o", Status: msg.OrderDone})
	m.Step(0, msg.ConfigConfirmed{})
	m.Step(2*time.Second, msg.Tick{})
	want := `
# HELP verbenaspur_config_confirmed_age_seconds Time since the configuration was confirmed to be the newest.
# TYPE verbenaspur_config_confirmed_age_seconds gauge
verbenaspur_config_confirmed_age_seconds 2
# HELP verbenaspur_lease_changes_total Acquisitions and losses of leases by this process.
# TYPE verbenaspur_lease_changes_total counter
verbenaspur_lease_changes_total{change="acquired"} 1
# HELP verbenaspur_role_changes_total Role changes that took effect.
# TYPE verbenaspur_role_changes_total counter
verbenaspur_role_changes_total{role="decode"} 1
# HELP verbenaspur_targets Targets as last reported.
# TYPE verbenaspur_targets gauge
verbenaspur_targets{phase="serving",pool="p",role="mixed"} 1
`
	is.NoErr(testutil.GatherAndCompare(reg, strings.NewReader(want),
		"verbenaspur_config_confirmed_age_seconds", "verbenaspur_lease_changes_total",
		"verbenaspur_role_changes_total", "verbenaspur_targets"))
}

type countingReducer struct{ steps int }

func (c *countingReducer) Step(msg.Time, msg.Event) []msg.Effect {
	c.steps++
	return []msg.Effect{msg.StopCompleted{}}
}

func TestTimedReducerObservesEachStep(t *testing.T) {
	is := is.New(t)
	m, reg := newMetrics(0)
	inner := &countingReducer{}
	is.Equal(len(m.Timed(inner).Step(0, msg.Tick{})), 1)
	is.Equal(inner.steps, 1)
	families, err := reg.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "verbenaspur_step_seconds" {
			is.Equal(f.GetMetric()[0].GetHistogram().GetSampleCount(), uint64(1))
			return
		}
	}
	t.Fatal("verbenaspur_step_seconds is not registered")
}
