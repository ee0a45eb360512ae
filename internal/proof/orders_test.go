package proof

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// performTargetEffect performs the effects that concern targets and orders.
func (p *proc) performTargetEffect(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.ReadTarget:
		p.readTarget(eff)
	case msg.PublishReport:
		p.publishReport(eff.Report)
	case msg.SendOrder:
		p.sendOrder(eff)
	case msg.ApplyOrder:
		p.s.engines[p.self.Host].applyOrder(p, eff.Order)
	case msg.SendOrderReply:
		p.replyToOrder(eff)
	case msg.ListTargets:
		p.listTargets(eff)
	case msg.ProvisionTarget:
		p.callProvisioner(eff.Call, eff.NotAfter, func() msg.TargetProvisionDone {
			p.s.oracle.targetCallReceived(p, eff.Pool, eff.Epoch)
			return p.s.targets.provision(eff)
		})
	case msg.ReleaseTarget:
		p.callProvisioner(eff.Call, eff.NotAfter, func() msg.TargetProvisionDone {
			p.s.oracle.targetCallReceived(p, p.s.targets.poolOf(eff.Target), eff.Epoch)
			return p.s.targets.release(eff)
		})
	default:
		panic(fmt.Sprintf("no driver for %T", eff))
	}
}

// readTarget reads the state of the side's target.
func (p *proc) readTarget(eff msg.ReadTarget) {
	e := p.s.engines[p.self.Host]
	p.runLocalAfter(p.s.messageDelay(), func() {
		read := msg.TargetRead{Call: eff.Call, Report: e.report(), Epoch: e.epoch}
		if e.down {
			read = msg.TargetRead{Call: eff.Call, Status: msg.CallUnavailable}
		}
		if e.executing > 0 {
			read.Report.Phase = msg.PhaseChanging
		}
		p.runLocalAfter(p.s.messageDelay(), func() { p.step(read) })
	})
}

// publishReport sends a load report to the reachable entries.
func (p *proc) publishReport(r msg.LoadReport) {
	for _, h := range p.s.hosts {
		to := p.s.procs[h.Host]
		if h.Kind != msg.HostEntry || to == nil || !p.s.reachable(p.self.Host, h.Host) {
			continue
		}
		p.s.after(p.s.messageDelay(), func() {
			to.post(msg.TargetReported{Target: *p.self.Target, Host: p.self.Host, Domain: p.self.Domain, Report: r})
		})
	}
}

// sendOrder sends an order unless its NotAfter has passed. The network delays one
// order in four by 1 s to 20 s, so that only the side can keep an outdated order
// from its target.
func (p *proc) sendOrder(eff msg.SendOrder) {
	s := p.s
	fail := func(status msg.OrderStatus, after time.Duration) {
		p.runLocalAfter(after, func() { p.step(msg.OrderResultReceived{Target: eff.Target, Order: eff.Order.ID, Status: status}) })
	}
	side := s.procs[eff.Host]
	if p.now() >= eff.NotAfter || side == nil || side.dead || !p.connectedTo(side) {
		fail(msg.OrderNotReady, s.messageDelay())
		return
	}
	delay := s.messageDelay()
	if s.chance(0.25) {
		delay = s.randomDuration(time.Second, 20*time.Second)
	}
	if s.mutations.bypassSide {
		s.after(delay, func() { side.runLocal(func() { s.engines[eff.Host].applyOrder(side, eff.Order) }) })
		return
	}
	s.after(delay, func() { side.post(msg.OrderReceived{From: p.self.Host, Order: eff.Order}) })
}

// replyToOrder sends the result of an order to the entry that sent it.
func (p *proc) replyToOrder(eff msg.SendOrderReply) {
	s := p.s
	to := s.procs[eff.To]
	if to == nil || !s.reachable(p.self.Host, eff.To) || s.chance(s.answerLossRate) {
		return
	}
	a := eff.Reply
	s.after(s.messageDelay(), func() {
		to.post(msg.OrderResultReceived{Target: p.self.Target.Target, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
	})
}

// applyOrder executes an order on the engine. The engine may crash during the
// execution, and its response may be lost.
func (e *engine) applyOrder(p *proc, o msg.Order) {
	s := e.s
	s.oracle.orderReceived(e, o)
	answer := func(status msg.OrderStatus) {
		p.runLocalAfter(s.messageDelay(), func() { p.step(msg.OrderApplied{Order: o.ID, Status: status}) })
	}
	if e.down {
		answer(msg.OrderFailed)
		return
	}
	e.executing++
	e.epoch = max(e.epoch, o.Epoch)
	s.after(s.randomDuration(500*time.Millisecond, 3*time.Second), func() {
		e.executing--
		if e.down {
			answer(msg.OrderUnknown)
			return
		}
		e.order = o.ID
		switch o.Kind {
		case msg.OrderSetRole:
			e.role = o.Role
		case msg.OrderLoadModel:
			e.version = o.Version
		}
		if s.chance(s.answerLossRate) {
			p.runLocalAfter(10*time.Second, func() { p.step(msg.OrderApplied{Order: o.ID, Status: msg.OrderUnknown}) })
			return
		}
		answer(msg.OrderDone)
	})
}

// targetProvisioner is the platform interface that provisions and releases
// targets. It checks no fencing token.
type targetProvisioner struct {
	byToken  map[string]msg.ProvisionedTarget
	released map[msg.TargetID]bool
	initial  []msg.ProvisionedTarget
}

// provision provisions a target. Calls with the same token return the same one.
func (t *targetProvisioner) provision(eff msg.ProvisionTarget) msg.TargetProvisionDone {
	o, ok := t.byToken[eff.Token]
	if !ok {
		id := msg.TargetID(fmt.Sprintf("ordered-%d", len(t.byToken)))
		o = msg.ProvisionedTarget{Target: id, Host: msg.HostID(id), Pool: eff.Pool, Domain: eff.Domain, Token: eff.Token}
		t.byToken[eff.Token] = o
	}
	return msg.TargetProvisionDone{Call: eff.Call, Target: o.Target}
}

// release releases a target.
func (t *targetProvisioner) release(eff msg.ReleaseTarget) msg.TargetProvisionDone {
	t.released[eff.Target] = true
	return msg.TargetProvisionDone{Call: eff.Call, Target: eff.Target}
}

// poolOf returns the pool of a target, or "" for an unknown one.
func (t *targetProvisioner) poolOf(id msg.TargetID) msg.PoolID {
	for _, o := range t.initial {
		if o.Target == id {
			return o.Pool
		}
	}
	for _, o := range t.byToken {
		if o.Target == id {
			return o.Pool
		}
	}
	return ""
}

// list returns the targets of a pool that were not released, in the order of
// their provisioning.
func (t *targetProvisioner) list(pool msg.PoolID) []msg.ProvisionedTarget {
	var out []msg.ProvisionedTarget
	for _, o := range t.initial {
		if o.Pool == pool && !t.released[o.Target] {
			out = append(out, o)
		}
	}
	for i := range len(t.byToken) {
		id := msg.TargetID(fmt.Sprintf("ordered-%d", i))
		for _, o := range t.byToken {
			if o.Target == id && o.Pool == pool && !t.released[id] {
				out = append(out, o)
			}
		}
	}
	return out
}

// listTargets lists the targets of a pool.
func (p *proc) listTargets(eff msg.ListTargets) {
	s := p.s
	if !s.reachable(p.self.Host, platform) || !s.reachable(platform, p.self.Host) {
		p.runLocalAfter(time.Second, func() { p.step(msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Status: msg.CallUnavailable}) })
		return
	}
	list := s.targets.list(eff.Pool)
	p.runLocalAfter(s.messageDelay(), func() { p.step(msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: list}) })
}

// callProvisioner calls the target provisioner under a lease, unless notAfter has
// passed. The response may be lost after the call has taken effect.
func (p *proc) callProvisioner(call msg.CallID, notAfter msg.Time, do func() msg.TargetProvisionDone) {
	s := p.s
	if p.now() >= notAfter && !s.mutations.ignoreNotAfter {
		p.step(msg.TargetProvisionDone{Call: call, Status: msg.CallUnavailable})
		return
	}
	if !s.reachable(p.self.Host, platform) {
		p.runLocalAfter(callTimeout, func() { p.step(msg.TargetProvisionDone{Call: call, Status: msg.CallUnknown}) })
		return
	}
	s.after(s.messageDelay(), func() {
		done := do()
		if s.chance(s.answerLossRate) || !s.reachable(platform, p.self.Host) {
			done = msg.TargetProvisionDone{Call: call, Status: msg.CallUnknown}
		}
		p.runLocalAfter(s.messageDelay(), func() { p.step(done) })
	})
}
