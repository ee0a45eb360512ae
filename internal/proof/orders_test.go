package proof

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// driveOrders carries out the effects that concern targets and orders.
func (p *proc) driveOrders(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.ReadTarget:
		p.readTarget(eff)
	case msg.PublishReport:
		p.publish(eff.Report)
	case msg.SendOrder:
		p.sendOrder(eff)
	case msg.ApplyOrder:
		p.s.engines[p.self.Host].apply(p, eff.Order)
	case msg.SendOrderReply:
		p.answerOrder(eff)
	case msg.ListTargets:
		p.listTargets(eff)
	case msg.ProvisionTarget:
		p.targetCall(eff.Call, eff.NotAfter, func() msg.TargetProvisionDone {
			p.s.oracle.targetOrdered(p, eff.Pool, eff.Epoch)
			return p.s.targets.order(eff)
		})
	case msg.ReleaseTarget:
		p.targetCall(eff.Call, eff.NotAfter, func() msg.TargetProvisionDone {
			p.s.oracle.targetOrdered(p, p.s.targets.poolOf(eff.Target), eff.Epoch)
			return p.s.targets.withdraw(eff)
		})
	default:
		panic(fmt.Sprintf("no driver for %T", eff))
	}
}

func (p *proc) readTarget(eff msg.ReadTarget) {
	e := p.s.engines[p.self.Host]
	p.later(p.s.hop(), func() {
		read := msg.TargetRead{Call: eff.Call, Report: e.report(), Epoch: e.epoch}
		if e.down {
			read = msg.TargetRead{Call: eff.Call, Status: msg.CallUnavailable}
		}
		if e.busy > 0 {
			read.Report.Phase = msg.PhaseChanging
		}
		p.later(p.s.hop(), func() { p.step(read) })
	})
}

// publish sends a report to the connected entries.
func (p *proc) publish(r msg.LoadReport) {
	for _, h := range p.s.hosts {
		to := p.s.procs[h.Host]
		if h.Kind != msg.HostEntry || to == nil || !p.s.reaches(p.self.Host, h.Host) {
			continue
		}
		p.s.after(p.s.hop(), func() {
			to.post(msg.TargetReported{Target: *p.self.Target, Host: p.self.Host, Domain: p.self.Domain, Report: r})
		})
	}
}

// sendOrder sends an order unless its time is up. The network may hold it for
// long, so only the side keeps an old one from its target.
func (p *proc) sendOrder(eff msg.SendOrder) {
	s := p.s
	fail := func(status msg.OrderStatus, after time.Duration) {
		p.later(after, func() { p.step(msg.OrderResultReceived{Target: eff.Target, Order: eff.Order.ID, Status: status}) })
	}
	side := s.procs[eff.Host]
	if p.now() >= eff.NotAfter || side == nil || side.dead || !p.linked(side) {
		fail(msg.OrderNotReady, s.hop())
		return
	}
	delay := s.hop()
	if s.chance(0.25) {
		delay = s.between(time.Second, 20*time.Second)
	}
	if s.muts.bypassGate {
		s.after(delay, func() { side.local(func() { s.engines[eff.Host].apply(side, eff.Order) }) })
		return
	}
	s.after(delay, func() { side.post(msg.OrderReceived{From: p.self.Host, Order: eff.Order}) })
}

func (p *proc) answerOrder(eff msg.SendOrderReply) {
	s := p.s
	to := s.procs[eff.To]
	if to == nil || !s.reaches(p.self.Host, eff.To) || s.chance(s.loseRate) {
		return
	}
	a := eff.Reply
	s.after(s.hop(), func() {
		to.post(msg.OrderResultReceived{Target: p.self.Target.Target, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
	})
}

// apply executes an order on the engine. It may crash halfway, and its answer
// may be lost.
func (e *engine) apply(p *proc, o msg.Order) {
	s := e.s
	s.oracle.applied(e, o)
	answer := func(status msg.OrderStatus) {
		p.later(s.hop(), func() { p.step(msg.OrderApplied{Order: o.ID, Status: status}) })
	}
	if e.down {
		answer(msg.OrderFailed)
		return
	}
	e.busy++
	e.epoch = max(e.epoch, o.Epoch)
	s.after(s.between(500*time.Millisecond, 3*time.Second), func() {
		e.busy--
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
		if s.chance(s.loseRate) {
			p.later(10*time.Second, func() { p.step(msg.OrderApplied{Order: o.ID, Status: msg.OrderUnknown}) })
			return
		}
		answer(msg.OrderDone)
	})
}

// targetInterface takes orders for targets. It checks no fencing number.
type targetInterface struct {
	byToken map[string]msg.ProvisionedTarget
	gone    map[msg.TargetID]bool
	fixed   []msg.ProvisionedTarget
}

func (t *targetInterface) order(eff msg.ProvisionTarget) msg.TargetProvisionDone {
	o, ok := t.byToken[eff.Token]
	if !ok {
		id := msg.TargetID(fmt.Sprintf("ordered-%d", len(t.byToken)))
		o = msg.ProvisionedTarget{Target: id, Host: msg.HostID(id), Pool: eff.Pool, Domain: eff.Domain, Token: eff.Token}
		t.byToken[eff.Token] = o
	}
	return msg.TargetProvisionDone{Call: eff.Call, Target: o.Target}
}

func (t *targetInterface) withdraw(eff msg.ReleaseTarget) msg.TargetProvisionDone {
	t.gone[eff.Target] = true
	return msg.TargetProvisionDone{Call: eff.Call, Target: eff.Target}
}

func (t *targetInterface) poolOf(id msg.TargetID) msg.PoolID {
	for _, o := range t.fixed {
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

func (t *targetInterface) list(pool msg.PoolID) []msg.ProvisionedTarget {
	var out []msg.ProvisionedTarget
	for _, o := range t.fixed {
		if o.Pool == pool && !t.gone[o.Target] {
			out = append(out, o)
		}
	}
	for i := range len(t.byToken) {
		id := msg.TargetID(fmt.Sprintf("ordered-%d", i))
		for _, o := range t.byToken {
			if o.Target == id && o.Pool == pool && !t.gone[id] {
				out = append(out, o)
			}
		}
	}
	return out
}

func (p *proc) listTargets(eff msg.ListTargets) {
	s := p.s
	if !s.reaches(p.self.Host, platform) || !s.reaches(platform, p.self.Host) {
		p.later(time.Second, func() { p.step(msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Status: msg.CallUnavailable}) })
		return
	}
	list := s.targets.list(eff.Pool)
	p.later(s.hop(), func() { p.step(msg.TargetsListed{Call: eff.Call, Pool: eff.Pool, Targets: list}) })
}

// targetCall makes a call to the target interface under a lease.
func (p *proc) targetCall(call msg.CallID, notAfter msg.Time, do func() msg.TargetProvisionDone) {
	s := p.s
	if p.now() >= notAfter && !s.muts.noLimits {
		p.step(msg.TargetProvisionDone{Call: call, Status: msg.CallUnavailable})
		return
	}
	if !s.reaches(p.self.Host, platform) {
		p.later(callTimeout, func() { p.step(msg.TargetProvisionDone{Call: call, Status: msg.CallUnknown}) })
		return
	}
	s.after(s.hop(), func() {
		done := do()
		if s.chance(s.loseRate) || !s.reaches(platform, p.self.Host) {
			done = msg.TargetProvisionDone{Call: call, Status: msg.CallUnknown}
		}
		p.later(s.hop(), func() { p.step(done) })
	})
}
