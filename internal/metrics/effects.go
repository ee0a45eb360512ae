package metrics

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// ObserveEffect observes an effect that the driver executes.
func (m *Metrics) ObserveEffect(now msg.Time, eff msg.Effect) {
	m.observeAnswer(now, eff)
	switch eff := eff.(type) {
	case msg.LogLine:
		m.logLines.WithLabelValues(eff.Component, label(logLevelLabels[:], eff.Level)).Inc()
	case msg.SendPeer:
		m.peerMessages.WithLabelValues("sent").Inc()
	case msg.SendOrder:
		m.openOrders[eff.Order.ID] = eff.Order
		m.ordersOpen.Set(float64(len(m.openOrders)))
	case msg.ReportUsage:
		m.reportedUntil[eff.Call] = eff.Report.Window.Add(eff.Report.Length)
	case msg.AnswerConfigProposal:
		m.proposals.WithLabelValues(eff.Status.String()).Inc()
	case msg.RunAttempt:
		m.sideAttempts.WithLabelValues("run").Inc()
	case msg.RefuseAttempt:
		m.sideAttempts.WithLabelValues("refused").Inc()
	}
}

// observeAnswer observes the effects that start attempts and answer requests.
func (m *Metrics) observeAnswer(now msg.Time, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		m.onAttempt(now, eff)
	case msg.RefuseRequest:
		m.refusals.WithLabelValues(eff.Code).Inc()
		m.end(now, eff.Req, "refused-"+eff.Outcome.String())
	case msg.AbortRequest:
		m.end(now, eff.Req, "aborted")
	case msg.ReplayResponse:
		m.end(now, eff.Req, "replayed")
	case msg.FinishRequest:
		m.finish(now, eff.Req)
	}
}
