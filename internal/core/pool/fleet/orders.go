package fleet

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
)

// delivery tracks the sending of one recorded order until the order is closed.
type delivery struct {
	firstSent msg.Time
	nextSend  msg.Time
	sends     int
}

const (
	// minResendDelay and maxResendDelay bound the time until an order that was
	// refused, or whose result is unknown, is sent again.
	minResendDelay = time.Second
	maxResendDelay = 10 * time.Second
	// resultMargin is added to the order's timeout to get the time after which an
	// order without a result is sent again. It allows for the transmission of the
	// order and its result.
	resultMargin = 5 * time.Second
	// maxRetryTime is the time during which an order is sent again and again
	// while the target keeps refusing it.
	maxRetryTime = time.Minute
	// maxUnknownTime is the time during which an order is sent again and again
	// while its result is unknown.
	maxUnknownTime = 3 * time.Minute
)

// addOrder adds a new order for a target to the record.
func (p *pool) addOrder(next *Record, t *target, o msg.Order, timeout time.Duration, reason string) {
	next.Seq++
	o.ID = msg.OrderID(fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq))
	o.Lease = targetagent.LeaseName(p.name)
	o.Epoch = p.authority.epoch
	o.Seq = next.Seq
	o.Timeout = timeout
	next.Orders = append(next.Orders, RecordedOrder{Order: o, Target: t.id, Host: t.host, Reason: reason})
}

// sendOrders sends the recorded orders that are due.
func (c *Controller) sendOrders(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.stage != stageActive || !a.maySend(now) {
		return nil
	}
	var effs []msg.Effect
	for i := range a.record.Orders {
		effs = append(effs, c.sendOrder(now, p, &a.record.Orders[i])...)
	}
	return effs
}

func (c *Controller) sendOrder(now msg.Time, p *pool, recorded *RecordedOrder) []msg.Effect {
	a := &p.authority
	d := a.deliveries[recorded.Order.ID]
	if d == nil {
		d = &delivery{firstSent: now}
		a.deliveries[recorded.Order.ID] = d
	}
	if now < d.nextSend {
		return nil
	}
	host := recorded.Host
	if t := p.targets[recorded.Target]; t != nil {
		host = t.host
	}
	d.sends++
	d.nextSend = now + recorded.Order.Timeout + resultMargin
	effs := []msg.Effect{msg.SendOrder{Target: recorded.Target, Host: host, Order: recorded.Order, NotAfter: a.until - sendMargin}}
	if d.sends > 1 {
		return effs
	}
	return append(effs, logLine(msg.LogInfo, "Order sent to target", c.orderAttrs(p, recorded)...))
}

func (c *Controller) orderAttrs(p *pool, recorded *RecordedOrder) []msg.Attr {
	attrs := []msg.Attr{
		attr("pool", string(p.name)),
		attr("target", string(recorded.Target)),
		attr("order", string(recorded.Order.ID)),
		attr("kind", recorded.Order.Kind.String()),
	}
	if recorded.Order.Kind == msg.OrderSetRole {
		attrs = append(attrs, attr("role", recorded.Order.Role.String()))
	}
	if recorded.Order.Model != "" {
		attrs = append(attrs, attr("model", recorded.Order.Model), attr("version", recorded.Order.Version))
	}
	return append(attrs, attr("reason", recorded.Reason))
}

func (c *Controller) onOrderResult(now msg.Time, ev msg.OrderResultReceived) []msg.Effect {
	for _, name := range c.poolNames() {
		p := c.pools[name]
		if p.authority.stage != stageActive {
			continue
		}
		if recorded := p.authority.record.order(ev.Order); recorded != nil && recorded.Target == ev.Target {
			return c.handleOrderResult(now, p, *recorded, ev)
		}
	}
	return nil
}

// handleOrderResult closes an order, which removes it from the record, or
// schedules it to be sent again, depending on its result.
func (c *Controller) handleOrderResult(now msg.Time, p *pool, recorded RecordedOrder, ev msg.OrderResultReceived) []msg.Effect {
	status := ev.Status
	if status == msg.OrderUnknown && hasTakenEffect(ev.Report, recorded.Order) {
		status = msg.OrderDone
	}
	switch status {
	case msg.OrderDone:
		if t := p.targets[recorded.Target]; t != nil {
			t.failures = 0
			t.report = ev.Report
		}
		return c.closeOrder(now, p, recorded, true, "done")
	case msg.OrderFailed:
		p.recordOrderFailure(now, recorded)
		return c.closeOrder(now, p, recorded, false, ev.Reason)
	}
	limit := maxRetryTime
	if status == msg.OrderUnknown {
		limit = maxUnknownTime
	}
	return c.retryOrder(now, p, recorded, limit, ev.Reason)
}

// hasTakenEffect reports whether a target's state shows that an order was
// executed.
func hasTakenEffect(r msg.LoadReport, o msg.Order) bool {
	if r.Order == o.ID {
		return true
	}
	return o.Kind == msg.OrderSetRole && r.Phase == msg.PhaseServing && r.Role == o.Role
}

func (c *Controller) retryOrder(now msg.Time, p *pool, recorded RecordedOrder, limit time.Duration, reason string) []msg.Effect {
	d := p.authority.deliveries[recorded.Order.ID]
	if d == nil {
		return nil
	}
	if now-d.firstSent > limit {
		p.recordOrderFailure(now, recorded)
		return c.closeOrder(now, p, recorded, false, "given up: "+reason)
	}
	d.nextSend = now + min(minResendDelay<<min(max(d.sends-1, 0), 4), maxResendDelay)
	return nil
}

func (c *Controller) closeOrder(now msg.Time, p *pool, recorded RecordedOrder, done bool, result string) []msg.Effect {
	p.authority.updateRecord(func(r *Record) { r.closeOrder(recorded.Order.ID, done) })
	delete(p.authority.deliveries, recorded.Order.ID)
	attrs := append(c.orderAttrs(p, &recorded), attr("result", result))
	effs := []msg.Effect{logLine(msg.LogInfo, "Order closed", attrs...)}
	return append(effs, c.decide(now, p)...)
}

// recordOrderFailure starts a backoff of the target. A failed load also counts
// against the roll-out.
func (p *pool) recordOrderFailure(now msg.Time, recorded RecordedOrder) {
	if t := p.targets[recorded.Target]; t != nil {
		t.recordFailure(now)
	}
	if recorded.Order.Kind == msg.OrderLoadModel || recorded.Order.Kind == msg.OrderLoadAdapter {
		p.rollout.failures++
	}
}
