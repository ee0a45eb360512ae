package metrics

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// sweepInterval is the time between two updates of derived gauges.
const sweepInterval = time.Second

type targetLabels struct{ pool, role, phase string }

// Step observes an event. It has no effects.
func (m *Metrics) Step(now msg.Time, ev msg.Event) []msg.Effect {
	m.eventsHandled.Inc()
	m.observeRequest(now, ev)
	m.observeState(now, ev)
	m.observeResults(ev)
	return nil
}

func (m *Metrics) observeRequest(now msg.Time, ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RequestArrived:
		m.onArrived(now, ev)
	case msg.CallerDisconnected:
		m.end(now, ev.Req, "caller-gone")
	case msg.AttemptProgress:
		m.onProgress(now, ev)
	case msg.AttemptEnded:
		m.attemptsTotal.WithLabelValues(label(attemptResultLabels[:], ev.Result)).Inc()
		delete(m.attempts, ev.Attempt)
	case msg.RequestEnded:
		if r := m.requests[ev.Req]; r != nil && ev.Account != "" {
			r.account = ev.Account
		}
	case msg.ClaimRequested:
		m.claims[ev.Req] = now
	case msg.ClaimSettled:
		m.claimsTotal.WithLabelValues(label(claimStatusLabels[:], ev.Status)).Inc()
		if since, ok := m.claims[ev.Req]; ok {
			m.claimSeconds.Observe((now - since).Seconds())
			delete(m.claims, ev.Req)
		}
	case msg.UsageCounted:
		m.onUsage(ev)
	}
}

func (m *Metrics) onUsage(ev msg.UsageCounted) {
	account := m.accounts.of(ev.Account)
	m.tokens.WithLabelValues(account, "prompt").Add(float64(ev.Usage.Prompt))
	m.tokens.WithLabelValues(account, "cached").Add(float64(ev.Usage.Cached))
	m.tokens.WithLabelValues(account, "generated").Add(float64(ev.Usage.Generated))
}

func (m *Metrics) observeState(now msg.Time, ev msg.Event) {
	switch ev := ev.(type) {
	case msg.Tick:
		m.onTick(now, ev)
	case msg.ConfigChanged:
		m.generation.Set(float64(ev.Generation))
		if ev.Index != nil {
			m.index = ev.Index
			m.accounts = newAccountLabels(ev.Index.Manifest)
		}
	case msg.ConfigConfirmed:
		m.confirmed, m.isConfirmed = now, true
	case msg.LeaseChanged:
		m.onLease(ev)
	case msg.LeaseHolderObserved:
		m.leaseEpoch.WithLabelValues(string(ev.Name)).Set(float64(ev.Epoch))
	case msg.MembersChanged:
		m.hosts.WithLabelValues("entry").Set(float64(len(ev.Entries)))
		m.hosts.WithLabelValues("target").Set(float64(len(ev.Targets)))
		m.hosts.WithLabelValues("leaving").Set(float64(len(ev.Leaving)))
	case msg.TargetReported:
		m.targets[ev.Target.Target] = targetLabels{string(ev.Target.Pool), ev.Report.Role.String(), ev.Report.Phase.String()}
	case msg.TargetUnreachable:
		delete(m.targets, ev.Target)
	case msg.PeerReceived:
		m.peerMessages.WithLabelValues("received").Inc()
	case msg.PeerUp:
		m.peerUp.WithLabelValues("up").Inc()
	case msg.PeerDown:
		m.peerUp.WithLabelValues("down").Inc()
	case msg.TargetCrashed:
		m.targetCrashes.Inc()
	case msg.AttemptOffered:
		m.sideAttempts.WithLabelValues("offered").Inc()
	case msg.SideAttemptEnded:
		m.sideAttempts.WithLabelValues("closed").Inc()
	}
}

func (m *Metrics) onTick(now msg.Time, ev msg.Tick) {
	m.wall = ev.Wall
	if now-m.swept < sweepInterval {
		return
	}
	m.swept = now
	if m.isConfirmed {
		m.confirmedAge.Set((now - m.confirmed).Seconds())
	}
	m.targetCount.Reset()
	for _, t := range m.targets {
		m.targetCount.WithLabelValues(t.pool, t.role, t.phase).Inc()
	}
}

func (m *Metrics) onLease(ev msg.LeaseChanged) {
	name := string(ev.Name)
	gauge := m.leaseHeld.WithLabelValues(name)
	m.leaseEpoch.WithLabelValues(name).Set(float64(ev.Epoch))
	held := m.held[ev.Name]
	switch {
	case ev.Held && !held:
		m.leaseChanges.WithLabelValues("acquired").Inc()
	case !ev.Held && held:
		m.leaseChanges.WithLabelValues("lost").Inc()
	}
	m.held[ev.Name] = ev.Held
	gauge.Set(0)
	if ev.Held {
		gauge.Set(1)
	}
}

// observeResults observes the results of orders and reports.
func (m *Metrics) observeResults(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.OrderResultReceived:
		m.onOrderAnswered(ev)
	case msg.UsageReported:
		m.onUsageReported(ev)
	}
}

func (m *Metrics) onOrderAnswered(ev msg.OrderResultReceived) {
	order, ok := m.orders[ev.Order]
	if !ok {
		return
	}
	delete(m.orders, ev.Order)
	m.ordersOpen.Set(float64(len(m.orders)))
	m.ordersTotal.WithLabelValues(order.Kind.String(), ev.Status.String()).Inc()
	if order.Kind == msg.OrderSetRole && ev.Status == msg.OrderDone {
		m.roleChanges.WithLabelValues(order.Role.String()).Inc()
	}
}

func (m *Metrics) onUsageReported(ev msg.UsageReported) {
	m.usageReports.WithLabelValues(label(callStatusLabels[:], ev.Status)).Inc()
	end, ok := m.reports[ev.Call]
	delete(m.reports, ev.Call)
	if ok && ev.Status == msg.CallOK && !m.wall.IsZero() {
		m.usageLag.Set(m.wall.Sub(end).Seconds())
	}
}
