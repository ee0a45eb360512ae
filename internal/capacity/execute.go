package capacity

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// execute carries out an effect on the fakes.
func (w *World) execute(n *node, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.LogLine, msg.AnswerConfigProposal, msg.SetHostAddr, msg.Disconnect, msg.FinishRequest, msg.CancelAttempt, msg.StopAttempt:
	case msg.ListHosts:
		w.count(n, false, 0)
		w.answer(n, msg.HostsListed{Call: eff.Call, Hosts: w.hosts})
	case msg.Connect:
		w.connect(n, eff.Host)
	case msg.SendPeer:
		w.sendPeer(n, eff)
	case msg.PublishReport:
		w.publish(n, eff.Report)
	case msg.ReadTarget:
		w.at(targetLatency, func() { w.deliver(n, msg.TargetRead{Call: eff.Call, Report: engineReport()}) })
	case msg.ListTargets:
		w.count(n, false, 0)
		w.answer(n, msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: w.ordered(eff.Pool)})
	case msg.ReportUsage:
		w.answer(n, msg.UsageReported{Call: eff.Call})
	case msg.ProvisionTarget:
		w.answer(n, msg.TargetProvisionDone{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReleaseTarget:
		w.answer(n, msg.TargetProvisionDone{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.SendOrder:
		w.sendOrder(n, eff)
	case msg.ApplyOrder:
		w.at(orderTime, func() { w.deliver(n, msg.OrderApplied{Order: eff.Order.ID}) })
	case msg.SendOrderReply:
		w.answerOrder(n, eff)
	default:
		if !w.store(n, eff) && !w.requests.execute(n, eff) {
			w.Unhandled[fmt.Sprintf("%T", eff)]++
		}
	}
}

func (w *World) answer(n *node, ev msg.Event) {
	w.at(platformLatency, func() { w.deliver(n, ev) })
}

func (w *World) count(n *node, write bool, bytes int) {
	switch {
	case !w.metered:
	case write:
		n.cost.Writes++
		n.cost.WrittenBytes += bytes
	default:
		n.cost.Reads++
		n.cost.ReadBytes += bytes
		n.cost.LargestRead = max(n.cost.LargestRead, bytes)
	}
}

// store carries out a call of the object API.
func (w *World) store(n *node, eff msg.Effect) bool {
	if watched, ok := eff.(msg.WatchObjects); ok {
		w.count(n, false, 0)
		w.watch(n, watched)
		return true
	}
	ev, ok := w.objects.Do(eff)
	if !ok {
		return false
	}
	switch done := ev.(type) {
	case msg.GetDone:
		w.count(n, false, len(done.Object.Value))
	case msg.ListDone:
		w.count(n, false, valueBytes(done.Objects))
	case msg.PutDone:
		put, _ := eff.(msg.PutObject)
		w.count(n, true, len(put.Value))
		w.wakeWatches()
	}
	w.answer(n, ev)
	return true
}

func valueBytes(objects []msg.Object) int {
	total := 0
	for _, o := range objects {
		total += len(o.Value)
	}
	return total
}

func (w *World) watch(n *node, eff msg.WatchObjects) {
	until := w.now + eff.Wait
	w.watches = append(w.watches, watch{n, eff, until})
	w.at(eff.Wait, w.wakeWatches)
	if w.objects.Changed(eff.Kind, eff.Since) {
		w.wakeWatches()
	}
}

// wakeWatches answers the watches that are due or have news.
func (w *World) wakeWatches() {
	keep := w.watches[:0]
	for _, waiting := range w.watches {
		if w.now < waiting.until && !w.objects.Changed(waiting.eff.Kind, waiting.eff.Since) {
			keep = append(keep, waiting)
			continue
		}
		ev, _ := w.objects.Do(waiting.eff)
		if done, ok := ev.(msg.WatchDone); ok && w.metered {
			waiting.n.cost.ReadBytes += valueBytes(done.Objects)
		}
		w.answer(waiting.n, ev)
	}
	w.watches = keep
}

func (w *World) connect(n *node, host msg.HostID) {
	other := w.nodes[host]
	if other == nil || n.linked[host] {
		return
	}
	n.linked[host], other.linked[n.host.Host] = true, true
	w.at(peerLatency, func() {
		w.deliver(n, msg.PeerUp{Host: host})
		w.deliver(other, msg.PeerUp{Host: n.host.Host})
	})
}

func (w *World) sendPeer(n *node, eff msg.SendPeer) {
	to := w.nodes[eff.To]
	if to == nil {
		return
	}
	w.sent(n, to, func() int { return encodedSize(eff.Message) })
	w.at(peerLatency, func() { w.deliver(to, msg.PeerReceived{From: n.host.Host, Message: eff.Message}) })
}

func (w *World) sendOrder(n *node, eff msg.SendOrder) {
	to := w.nodes[eff.Host]
	w.sent(n, to, func() int { return encodedSize(eff.Order) })
	w.at(peerLatency, func() { w.deliver(to, msg.OrderReceived{From: n.host.Host, Order: eff.Order}) })
}

func (w *World) answerOrder(n *node, eff msg.SendOrderReply) {
	to, a := w.nodes[eff.To], eff.Reply
	w.sent(n, to, func() int { return encodedSize(a) })
	w.at(peerLatency, func() {
		w.deliver(to, msg.OrderResultReceived{Target: n.target.Target, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
	})
}

func (w *World) sent(from, to *node, size func() int) {
	if !w.metered {
		return
	}
	from.cost.Messages++
	from.cost.Bytes += size()
	to.cost.Received++
}

// publish sends a load report to every connected entry, as the side's driver
// does.
func (w *World) publish(n *node, report msg.LoadReport) {
	size := encodedSize(report)
	ev := msg.TargetReported{Target: *n.target, Host: n.host.Host, Domain: n.host.Domain, Report: report}
	for host := range n.linked {
		to := w.nodes[host]
		if to.host.Kind != msg.HostEntry {
			continue
		}
		w.sent(n, to, func() int { return size })
		w.at(peerLatency, func() { w.deliver(to, ev) })
	}
}

func (w *World) ordered(p msg.PoolID) []msg.ProvisionedTarget {
	if p != pool {
		return nil
	}
	var out []msg.ProvisionedTarget
	for _, n := range w.order {
		if n.target != nil {
			out = append(out, msg.ProvisionedTarget{
				Target: n.target.Target, Host: n.host.Host, Pool: pool, Domain: n.host.Domain, Ready: true, Cost: 1,
			})
		}
	}
	return out
}

// engineReport is the state of an engine with room.
func engineReport() msg.LoadReport {
	return msg.LoadReport{
		Models:  []msg.LoadedModel{{Model: modelName, Version: modelVersion}},
		Running: 8, KVUsed: 100_000, KVTotal: 1_000_000, PrefillRate: 20_000, StepTime: 20 * time.Millisecond, MaxBatch: 64,
	}
}
