package metrics

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Operations of the object API and the target interface.
const (
	opGet      = "get"
	opList     = "list"
	opPut      = "put"
	opDelete   = "delete"
	opWatch    = "watch"
	opOrder    = "order"
	opWithdraw = "withdraw"
)

// ObserveEffect observes an effect that the driver carries out.
func (m *Metrics) ObserveEffect(now msg.Time, eff msg.Effect) {
	m.observeAnswer(now, eff)
	m.observeCall(now, eff)
	switch eff := eff.(type) {
	case msg.LogLine:
		m.logLines.WithLabelValues(eff.Part, label(logLevelLabels[:], eff.Level)).Inc()
	case msg.SendPeer:
		m.peerMessages.WithLabelValues("sent").Inc()
	case msg.SendOrder:
		m.orders[eff.Order.ID] = eff.Order
		m.ordersOpen.Set(float64(len(m.orders)))
	case msg.ConfigAnswered:
		m.proposals.WithLabelValues(eff.Status.String()).Inc()
	case msg.RunAttempt:
		m.sideAttempts.WithLabelValues("run").Inc()
	case msg.RefuseAttempt:
		m.sideAttempts.WithLabelValues("refused").Inc()
	}
}

func (m *Metrics) observeAnswer(now msg.Time, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		m.onAttempt(now, eff)
	case msg.RefuseRequest:
		m.refusals.WithLabelValues(eff.Code).Inc()
		m.end(now, eff.Req, "refused-"+eff.Outcome.String())
	case msg.AbortRequest:
		m.end(now, eff.Req, "aborted")
	case msg.ReplayAnswer:
		m.end(now, eff.Req, "replayed")
	case msg.FinishRequest:
		m.finish(now, eff.Req)
	}
}

func (m *Metrics) observeCall(now msg.Time, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.GetObject:
		m.calls[eff.Call] = call{opGet, now}
	case msg.ListObjects:
		m.calls[eff.Call] = call{opList, now}
	case msg.PutObject:
		m.calls[eff.Call] = call{opPut, now}
	case msg.DeleteObject:
		m.calls[eff.Call] = call{opDelete, now}
	case msg.WatchObjects:
		m.calls[eff.Call] = call{opWatch, now}
	case msg.OrderTarget:
		m.calls[eff.Call] = call{opOrder, now}
	case msg.WithdrawTarget:
		m.calls[eff.Call] = call{opWithdraw, now}
	case msg.ReportUsage:
		m.reports[eff.Call] = eff.Report.Window.Add(eff.Report.Length)
	}
}
