package metrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Direct holds the metrics of an entry daemon that calls its targets directly,
// without side daemons. It is a component of the reducer that only observes.
type Direct struct {
	arrivals       prometheus.Counter
	attempts       *prometheus.CounterVec
	ended          *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	firstToken     prometheus.Histogram
	firstTokens    *prometheus.CounterVec
	prefillError   *prometheus.HistogramVec
	reads          *prometheus.CounterVec
	configVersion  prometheus.Gauge
	configAge      prometheus.Gauge
	targets        *prometheus.GaugeVec
	entries        prometheus.Gauge
	leaseHeld      prometheus.Gauge
	usageReports   *prometheus.CounterVec
	runs           prometheus.Counter
	crashRecords   *prometheus.CounterVec
	blocked        prometheus.Gauge
	notices        *prometheus.CounterVec
	targetSpeed    *prometheus.GaugeVec
	paceAge        *prometheus.GaugeVec
	events         prometheus.Counter
	quotaAsks      *prometheus.CounterVec
	quotaUse       *prometheus.GaugeVec
	quotaShare     *prometheus.GaugeVec
	quotaDenied    *prometheus.GaugeVec

	// confirmedAt is the latest time at which the configuration was confirmed to
	// be the newest.
	confirmedAt msg.Time
}

// NewDirect registers the metrics of one daemon.
func NewDirect(reg prometheus.Registerer) *Direct {
	f := factory{promauto.With(reg)}
	return &Direct{
		arrivals:       f.counter("direct_requests_total", "Requests of callers that arrived."),
		attempts:       f.counterVec("direct_attempts_total", "Attempts that ended, by result.", "result"),
		ended:          f.counterVec("direct_closed_total", "Requests that are over, by end and, where they were not served, by reason.", "end", "code"),
		requestSeconds: f.histogramVec("direct_request_seconds", "Time from arrival to the end of a request, by end.", waitBuckets, "end"),
		firstToken:     f.histogram("direct_first_token_seconds", "Time from arrival to the first token.", firstTokenBuckets),
		firstTokens:    f.counterVec("direct_first_tokens_total", "First tokens, by the step at whose target they came and the cause for which they missed the objective.", "step", "late"),
		prefillError:   f.histogramVec("direct_prefill_time_ratio", "Time to the first token or handle of a prefill, divided by the expected time, by step.", ratioBuckets, "step"),
		reads:          f.counterVec("direct_reads_total", "Reads of the configuration and the list of targets, by status.", "read", "status"),
		configVersion:  f.gauge("direct_config_version", "Version of the configuration in force here."),
		configAge:      f.gauge("direct_config_age_seconds", "Time since the configuration was confirmed to be the newest."),
		targets:        f.gaugeVec("direct_targets", "Targets as listed.", "service", "role", "state"),
		entries:        f.gauge("direct_entries", "Entry daemons known to be live, this one included."),
		leaseHeld:      f.gauge("direct_usage_lease_held", "1 while this process holds the usage lease."),
		usageReports:   f.counterVec("direct_usage_reports_total", "Reports of usage windows, by status.", "status"),
		runs:           f.counter("direct_runs_total", "Requests that targets began to run."),
		crashRecords:   f.counterVec("direct_crash_records_total", "Crashes of targets while they were running requests, as this daemon learnt of them, by source.", "source"),
		blocked:        f.gauge("direct_blocked_segments", "Prompt segments that crash targets and whose prompts are refused."),
		notices:        f.counterVec("direct_target_notices_total", "Changes of what targets state about themselves in their responses, by kind.", "kind"),
		targetSpeed:    f.gaugeVec("direct_target_speed_factor", "Factor by which the fastest and the slowest target of a service take longer than its mean.", "service", "target"),
		paceAge:        f.gaugeVec("direct_pace_age_seconds", "Mean age of the paces that the targets of a service reported lately.", "service"),
		events:         f.counter("direct_events_total", "Events handled, raised ones included."),
		quotaAsks:      f.counterVec("direct_quota_asks_total", "Asks of this daemon for quotas of accounts, by result.", "result"),
		quotaUse:       f.gaugeVec("direct_quota_granted_per_second", "What this daemon, as a holder of quotas, has granted lately, for the accounts that use most of theirs and the rest.", "account"),
		quotaShare:     f.gaugeVec("direct_quota_share_per_second", "This daemon's share of the rates of the same accounts' quotas.", "account"),
		quotaDenied:    f.gaugeVec("direct_quota_denied_per_second", "Asks that this daemon, as a holder of quotas, has denied lately, for the accounts that use most of theirs and the rest.", "account"),
	}
}

// Step observes an event. It returns no effects.
func (d *Direct) Step(now msg.Time, ev msg.Event) []msg.Effect {
	d.events.Inc()
	switch ev := ev.(type) {
	case msg.DirectRequestArrived:
		d.arrivals.Inc()
	case msg.DirectRequestEnded:
		d.ended.WithLabelValues(ev.End.String(), ev.Code).Inc()
		d.requestSeconds.WithLabelValues(ev.End.String()).Observe(ev.Waited.Seconds())
	case msg.FirstTokenReceived:
		d.firstToken.Observe(ev.Waited.Seconds())
		d.firstTokens.WithLabelValues(ev.Step.String(), ev.Cause.String()).Inc()
	case msg.PrefillTimed:
		if ev.Expected > 0 {
			d.prefillError.WithLabelValues(ev.Step.String()).Observe(ev.Took.Seconds() / ev.Expected.Seconds())
		}
	case msg.DirectAttemptEnded:
		d.attempts.WithLabelValues(ev.Result.String()).Inc()
	case msg.RunCounted:
		d.runs.Inc()
	case msg.TargetNoticed:
		d.notices.WithLabelValues(ev.Kind.String()).Inc()
	case msg.CrashRecorded:
		d.crashRecords.WithLabelValues(ev.Source.String()).Inc()
	case msg.SegmentBlocked:
		d.observeBlocked(ev)
	case msg.Tick:
		d.configAge.Set((now - d.confirmedAt).Seconds())
	default:
		d.observeState(ev)
	}
	return nil
}

func (d *Direct) observeBlocked(ev msg.SegmentBlocked) {
	if ev.Blocked {
		d.blocked.Inc()
		return
	}
	d.blocked.Dec()
}

func (d *Direct) observeState(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RoutesConfirmed:
		d.confirmedAt = max(d.confirmedAt, ev.At)
	case msg.RoutesChanged:
		d.configVersion.Set(float64(ev.Table.Version))
	case msg.InstancesChanged:
		d.observeInstances(ev)
	case msg.MembersChanged:
		d.entries.Set(float64(len(ev.Entries)))
	case msg.LeaseChanged:
		d.leaseHeld.Set(0)
		if ev.Held {
			d.leaseHeld.Set(1)
		}
	case msg.QuotaAsked:
		d.quotaAsks.WithLabelValues(ev.Result.String()).Inc()
	case msg.QuotaUsed:
		d.observeQuotas(ev)
	case msg.WindowReported:
		d.usageReports.WithLabelValues(label(callStatusLabels[:], ev.Status)).Inc()
	case msg.SpeedsUpdated:
		d.targetSpeed.WithLabelValues(string(ev.Service), "fastest").Set(ev.Fastest)
		d.targetSpeed.WithLabelValues(string(ev.Service), "slowest").Set(ev.Slowest)
		d.paceAge.WithLabelValues(string(ev.Service)).Set(ev.PaceAge.Seconds())
	case msg.RoutesRead:
		d.reads.WithLabelValues("routes", label(callStatusLabels[:], ev.Status)).Inc()
	case msg.InstancesRead:
		d.reads.WithLabelValues("targets", label(callStatusLabels[:], ev.Status)).Inc()
	}
}

// restOfAccounts is the label of the accounts that are not reported by name.
const restOfAccounts = "(rest)"

func (d *Direct) observeQuotas(ev msg.QuotaUsed) {
	d.quotaUse.Reset()
	d.quotaShare.Reset()
	d.quotaDenied.Reset()
	rest := ev.Rest
	rest.Account = restOfAccounts
	for _, u := range append(slices.Clip(ev.Largest), rest) {
		d.quotaUse.WithLabelValues(string(u.Account)).Set(u.PerSecond)
		d.quotaShare.WithLabelValues(string(u.Account)).Set(u.Allowed)
		d.quotaDenied.WithLabelValues(string(u.Account)).Set(float64(u.Denied) / ev.Period.Seconds())
	}
}

func (d *Direct) observeInstances(ev msg.InstancesChanged) {
	d.targets.Reset()
	d.targetSpeed.Reset()
	d.paceAge.Reset()
	for _, in := range ev.Instances {
		d.targets.WithLabelValues(string(in.Service), in.Role.String(), in.State()).Inc()
	}
}
