package fleet

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
)

// sending follows one recorded order from its first sending to its end.
type sending struct {
	first msg.Time
	again msg.Time
	tries int
}

const (
	resendMin = time.Second
	resendMax = 10 * time.Second
	// answerMargin is added to an order's timeout for its way.
	answerMargin = 5 * time.Second
	// giveUpAfter is how long an order that is refused again and again is
	// tried.
	giveUpAfter = time.Minute
	// settleFor is how long an order with an unknown result is followed.
	settleFor = 3 * time.Minute
)

// add records a new order to a target.
func (p *pool) add(next *Record, t *target, o msg.Order, timeout time.Duration, reason string) {
	next.Seq++
	o.ID = msg.OrderID(fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq))
	o.Lease = targetagent.LeaseName(p.name)
	o.Epoch = p.authority.epoch
	o.Seq = next.Seq
	o.Timeout = timeout
	next.Orders = append(next.Orders, Intent{Order: o, Target: t.id, Host: t.host, Reason: reason})
}

// sendOrders sends the recorded orders that are due.
func (c *Controller) sendOrders(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.stage != stageActive || !a.valid(now) {
		return nil
	}
	var effs []msg.Effect
	for i := range a.record.Orders {
		effs = append(effs, c.sendOrder(now, p, &a.record.Orders[i])...)
	}
	return effs
}

func (c *Controller) sendOrder(now msg.Time, p *pool, in *Intent) []msg.Effect {
	a := &p.authority
	s := a.sent[in.Order.ID]
	if s == nil {
		s = &sending{first: now}
		a.sent[in.Order.ID] = s
	}
	if now < s.again {
		return nil
	}
	host := in.Host
	if t := p.targets[in.Target]; t != nil {
		host = t.host
	}
	s.tries++
	s.again = now + in.Order.Timeout + answerMargin
	effs := []msg.Effect{msg.SendOrder{Target: in.Target, Host: host, Order: in.Order, NotAfter: a.until - sendMargin}}
	if s.tries > 1 {
		return effs
	}
	return append(effs, logLine(msg.LogInfo, "Order given", c.orderAttrs(p, in)...))
}

func (c *Controller) orderAttrs(p *pool, in *Intent) []msg.Attr {
	attrs := []msg.Attr{
		attr("pool", string(p.name)),
		attr("target", string(in.Target)),
		attr("order", string(in.Order.ID)),
		attr("kind", in.Order.Kind.String()),
	}
	if in.Order.Kind == msg.OrderSetRole {
		attrs = append(attrs, attr("role", in.Order.Role.String()))
	}
	if in.Order.Model != "" {
		attrs = append(attrs, attr("model", in.Order.Model), attr("version", in.Order.Version))
	}
	return append(attrs, attr("reason", in.Reason))
}

func (c *Controller) onOrderAnswered(now msg.Time, ev msg.OrderResultReceived) []msg.Effect {
	for _, name := range c.names() {
		p := c.pools[name]
		if p.authority.stage != stageActive {
			continue
		}
		if in := p.authority.record.order(ev.Order); in != nil && in.Target == ev.Target {
			return c.settleOrder(now, p, *in, ev)
		}
	}
	return nil
}

// settleOrder closes an order or tries it again, as its answer says.
func (c *Controller) settleOrder(now msg.Time, p *pool, in Intent, ev msg.OrderResultReceived) []msg.Effect {
	status := ev.Status
	if status == msg.OrderUnknown && shows(ev.Report, in.Order) {
		status = msg.OrderDone
	}
	switch status {
	case msg.OrderDone:
		if t := p.targets[in.Target]; t != nil {
			t.failures = 0
			t.report = ev.Report
		}
		return c.closeOrder(now, p, in, true, "done")
	case msg.OrderFailed:
		p.orderFailed(now, in)
		return c.closeOrder(now, p, in, false, ev.Reason)
	}
	limit := giveUpAfter
	if status == msg.OrderUnknown {
		limit = settleFor
	}
	return c.retryOrder(now, p, in, limit, ev.Reason)
}

// shows reports whether a target's state is what an order asked for.
func shows(r msg.LoadReport, o msg.Order) bool {
	if r.Order == o.ID {
		return true
	}
	return o.Kind == msg.OrderSetRole && r.Phase == msg.PhaseServing && r.Role == o.Role
}

func (c *Controller) retryOrder(now msg.Time, p *pool, in Intent, limit time.Duration, reason string) []msg.Effect {
	s := p.authority.sent[in.Order.ID]
	if s == nil {
		return nil
	}
	if now-s.first > limit {
		p.orderFailed(now, in)
		return c.closeOrder(now, p, in, false, "given up: "+reason)
	}
	s.again = now + min(resendMin<<min(s.tries, 4), resendMax)
	return nil
}

func (c *Controller) closeOrder(now msg.Time, p *pool, in Intent, done bool, result string) []msg.Effect {
	p.authority.revise(func(r *Record) { r.closeOrder(in.Order.ID, done) })
	delete(p.authority.sent, in.Order.ID)
	attrs := append(c.orderAttrs(p, &in), attr("result", result))
	effs := []msg.Effect{logLine(msg.LogInfo, "Order closed", attrs...)}
	return append(effs, c.decide(now, p)...)
}

// orderFailed rests the target, and counts the failure against its roll-out.
func (p *pool) orderFailed(now msg.Time, in Intent) {
	if t := p.targets[in.Target]; t != nil {
		t.failed(now)
	}
	if in.Order.Kind == msg.OrderLoadModel || in.Order.Kind == msg.OrderLoadAdapter {
		p.rollout.failures++
	}
}
