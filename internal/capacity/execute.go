package capacity

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// execute performs an effect of a daemon.
func (sim *Simulation) execute(n *node, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.LogLine, msg.AnswerConfigProposal, msg.SetHostAddr, msg.Disconnect, msg.FinishRequest, msg.CancelAttempt, msg.StopAttempt:
	case msg.ListHosts:
		sim.countCall(n, false, 0)
		sim.respond(n, msg.HostsListed{Call: eff.Call, Hosts: sim.hosts})
	case msg.Connect:
		sim.connect(n, eff.Host)
	case msg.SendPeer:
		sim.sendPeer(n, eff)
	case msg.PublishReport:
		sim.publish(n, eff.Report)
	case msg.ReadTarget:
		sim.at(targetLatency, func() { sim.deliver(n, msg.TargetRead{Call: eff.Call, Report: engineReport()}) })
	case msg.ListTargets:
		sim.countCall(n, false, 0)
		sim.respond(n, msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: sim.provisionedTargets(eff.Pool)})
	case msg.ReportUsage:
		sim.respond(n, msg.UsageReported{Call: eff.Call})
	case msg.ProvisionTarget:
		sim.respond(n, msg.TargetProvisionDone{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.ReleaseTarget:
		sim.respond(n, msg.TargetProvisionDone{Call: eff.Call, Status: msg.CallUnavailable})
	case msg.SendOrder:
		sim.sendOrder(n, eff)
	case msg.ApplyOrder:
		sim.at(orderTime, func() { sim.deliver(n, msg.OrderApplied{Order: eff.Order.ID}) })
	case msg.SendOrderReply:
		sim.replyToOrder(n, eff)
	default:
		if !sim.executeStoreCall(n, eff) && !sim.requests.execute(n, eff) {
			sim.Unhandled[fmt.Sprintf("%T", eff)]++
		}
	}
}

// respond delivers the platform's response to a call.
func (sim *Simulation) respond(n *node, ev msg.Event) {
	sim.at(platformLatency, func() { sim.deliver(n, ev) })
}

// countCall counts a platform call and the bytes of its object values.
func (sim *Simulation) countCall(n *node, write bool, bytes int) {
	switch {
	case !sim.measuring:
	case write:
		n.cost.Writes++
		n.cost.WrittenBytes += bytes
	default:
		n.cost.Reads++
		n.cost.ReadBytes += bytes
		n.cost.LargestRead = max(n.cost.LargestRead, bytes)
	}
}

// executeStoreCall performs a call of the object API. It reports whether the
// effect is such a call.
func (sim *Simulation) executeStoreCall(n *node, eff msg.Effect) bool {
	if watched, ok := eff.(msg.WatchObjects); ok {
		sim.countCall(n, false, 0)
		sim.watch(n, watched)
		return true
	}
	ev, ok := sim.objects.Do(eff)
	if !ok {
		return false
	}
	switch done := ev.(type) {
	case msg.GetDone:
		sim.countCall(n, false, len(done.Object.Value))
	case msg.ListDone:
		sim.countCall(n, false, valueBytes(done.Objects))
	case msg.PutDone:
		put, _ := eff.(msg.PutObject)
		sim.countCall(n, true, len(put.Value))
		sim.answerWatches()
	}
	sim.respond(n, ev)
	return true
}

// valueBytes returns the total size of the objects' values in bytes.
func valueBytes(objects []msg.Object) int {
	total := 0
	for _, o := range objects {
		total += len(o.Value)
	}
	return total
}

// watch registers a watch.
func (sim *Simulation) watch(n *node, eff msg.WatchObjects) {
	until := sim.now + eff.Wait
	sim.watches = append(sim.watches, watch{n, eff, until})
	sim.at(eff.Wait, sim.answerWatches)
	if sim.objects.Changed(eff.Kind, eff.Since) {
		sim.answerWatches()
	}
}

// answerWatches responds to the watches that have reached their deadline or whose
// objects have changed.
func (sim *Simulation) answerWatches() {
	remaining := sim.watches[:0]
	for _, waiting := range sim.watches {
		if sim.now < waiting.deadline && !sim.objects.Changed(waiting.eff.Kind, waiting.eff.Since) {
			remaining = append(remaining, waiting)
			continue
		}
		ev, _ := sim.objects.Do(waiting.eff)
		if done, ok := ev.(msg.WatchDone); ok && sim.measuring {
			waiting.n.cost.ReadBytes += valueBytes(done.Objects)
		}
		sim.respond(waiting.n, ev)
	}
	sim.watches = remaining
}

// connect connects a daemon with that of another host.
func (sim *Simulation) connect(n *node, host msg.HostID) {
	other := sim.nodes[host]
	if other == nil || n.connected[host] {
		return
	}
	n.connected[host], other.connected[n.host.Host] = true, true
	sim.at(peerLatency, func() {
		sim.deliver(n, msg.PeerUp{Host: host})
		sim.deliver(other, msg.PeerUp{Host: n.host.Host})
	})
}

func (sim *Simulation) sendPeer(n *node, eff msg.SendPeer) {
	to := sim.nodes[eff.To]
	if to == nil {
		return
	}
	sim.countMessage(n, to, func() int { return encodedSize(eff.Message) })
	sim.at(peerLatency, func() { sim.deliver(to, msg.PeerReceived{From: n.host.Host, Message: eff.Message}) })
}

func (sim *Simulation) sendOrder(n *node, eff msg.SendOrder) {
	to := sim.nodes[eff.Host]
	sim.countMessage(n, to, func() int { return encodedSize(eff.Order) })
	sim.at(peerLatency, func() { sim.deliver(to, msg.OrderReceived{From: n.host.Host, Order: eff.Order}) })
}

// replyToOrder sends the result of an order to the entry that sent it.
func (sim *Simulation) replyToOrder(n *node, eff msg.SendOrderReply) {
	to, a := sim.nodes[eff.To], eff.Reply
	sim.countMessage(n, to, func() int { return encodedSize(a) })
	sim.at(peerLatency, func() {
		sim.deliver(to, msg.OrderResultReceived{Target: n.target.Target, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
	})
}

// countMessage counts a message between two daemons. It calls size only during the
// measurement, because encoding takes time.
func (sim *Simulation) countMessage(from, to *node, size func() int) {
	if !sim.measuring {
		return
	}
	from.cost.Messages++
	from.cost.Bytes += size()
	to.cost.Received++
}

// publish sends a load report to all connected entries, as the side's driver does.
func (sim *Simulation) publish(n *node, report msg.LoadReport) {
	size := encodedSize(report)
	ev := msg.TargetReported{Target: *n.target, Host: n.host.Host, Domain: n.host.Domain, Report: report}
	for host := range n.connected {
		to := sim.nodes[host]
		if to.host.Kind != msg.HostEntry {
			continue
		}
		sim.countMessage(n, to, func() int { return size })
		sim.at(peerLatency, func() { sim.deliver(to, ev) })
	}
}

// provisionedTargets returns the targets of a pool.
func (sim *Simulation) provisionedTargets(p msg.PoolID) []msg.ProvisionedTarget {
	if p != pool {
		return nil
	}
	var out []msg.ProvisionedTarget
	for _, n := range sim.nodeList {
		if n.target != nil {
			out = append(out, msg.ProvisionedTarget{
				Target: n.target.Target, Host: n.host.Host, Pool: pool, Domain: n.host.Domain, Ready: true, Cost: 1,
			})
		}
	}
	return out
}

// engineReport is the load report of an engine that has free capacity.
func engineReport() msg.LoadReport {
	return msg.LoadReport{
		Models:  []msg.LoadedModel{{Model: modelName, Version: modelVersion}},
		Running: 8, KVUsed: 100_000, KVTotal: 1_000_000, PrefillRate: 20_000, StepTime: 20 * time.Millisecond, MaxBatch: 64,
	}
}
