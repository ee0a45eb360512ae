package metrics

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// gaugeInterval is the shortest time between two updates of the gauges that are
// computed from other state.
const gaugeInterval = time.Second

// targetLabels are the label values under which a target is counted.
type targetLabels struct{ pool, role, phase string }

// Step observes an event. It returns no effects.
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
		m.claimStarts[ev.Req] = now
	case msg.ClaimSettled:
		m.claimsTotal.WithLabelValues(label(claimStatusLabels[:], ev.Status)).Inc()
		if since, ok := m.claimStarts[ev.Req]; ok {
			m.claimSeconds.Observe((now - since).Seconds())
			delete(m.claimStarts, ev.Req)
		}
	case msg.UsageCounted:
		m.onUsage(ev)
	}
}

func (m *Metrics) onUsage(ev msg.UsageCounted) {
	account := m.accounts.labelOf(ev.Account)
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
		m.confirmedAt, m.isConfirmed = now, true
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
		m.peerChanges.WithLabelValues("up").Inc()
	case msg.PeerDown:
		m.peerChanges.WithLabelValues("down").Inc()
	case msg.TargetCrashed:
		m.targetCrashes.Inc()
	case msg.AttemptOffered:
		m.sideAttempts.WithLabelValues("offered").Inc()
	case msg.SideAttemptEnded:
		m.sideAttempts.WithLabelValues("closed").Inc()
	}
}

func (m *Metrics) onTick(now msg.Time, ev msg.Tick) {
	m.wallClock = ev.Wall
	if now-m.gaugesUpdated < gaugeInterval {
		return
	}
	m.gaugesUpdated = now
	if m.isConfirmed {
		m.confirmedAge.Set((now - m.confirmedAt).Seconds())
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
	held := m.heldLeases[ev.Name]
	switch {
	case ev.Held && !held:
		m.leaseChanges.WithLabelValues("acquired").Inc()
	case !ev.Held && held:
		m.leaseChanges.WithLabelValues("lost").Inc()
	}
	m.heldLeases[ev.Name] = ev.Held
	gauge.Set(0)
	if ev.Held {
		gauge.Set(1)
	}
}

// observeResults observes the results of orders and usage reports.
func (m *Metrics) observeResults(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.OrderResultReceived:
		m.onOrderResult(ev)
	case msg.UsageReported:
		m.onUsageReported(ev)
	}
}

func (m *Metrics) onOrderResult(ev msg.OrderResultReceived) {
	order, ok := m.openOrders[ev.Order]
	if !ok {
		return
	}
	delete(m.openOrders, ev.Order)
	m.ordersOpen.Set(float64(len(m.openOrders)))
	m.ordersTotal.WithLabelValues(order.Kind.String(), ev.Status.String()).Inc()
	if order.Kind == msg.OrderSetRole && ev.Status == msg.OrderDone {
		m.roleChanges.WithLabelValues(order.Role.String()).Inc()
	}
}

func (m *Metrics) onUsageReported(ev msg.UsageReported) {
	m.usageReports.WithLabelValues(label(callStatusLabels[:], ev.Status)).Inc()
	end, ok := m.reportedUntil[ev.Call]
	delete(m.reportedUntil, ev.Call)
	if ok && ev.Status == msg.CallOK && !m.wallClock.IsZero() {
		m.usageLag.Set(m.wallClock.Sub(end).Seconds())
	}
}
