package targetagent

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// orderState is how far the open order has come.
type orderState uint8

const (
	// orderConfirming reads the lease to learn whether the epoch still holds.
	orderConfirming orderState = iota
	// orderDraining waits for the running attempts to end.
	orderDraining
	// orderRechecking reads the lease once more, since a drain takes time.
	orderRechecking
	// orderApplying waits for the target to execute the order.
	orderApplying
	// orderReadBack waits for the target's state to show the result.
	orderReadBack
)

const (
	// keptAnswers is the number of answers kept for repeated orders.
	keptAnswers = 16
	// readBackFor is how long a done order may take to show in load reports.
	readBackFor = 5 * time.Second
	// readBackInterval is the interval between two reads after an order.
	readBackInterval = 50 * time.Millisecond
)

// orders holds the fencing state and the order that is being executed.
type orders struct {
	open *openOrder
	// epoch and seq are the highest known fencing number and the highest
	// sequence number executed under it.
	epoch msg.Epoch
	seq   uint64
	// confirms numbers the reads of the lease.
	confirms uint64
	// answers holds the last answers, newest last.
	answers []msg.OrderReply
}

// openOrder is the one order being executed.
type openOrder struct {
	from     msg.HostID
	order    msg.Order
	state    orderState
	deadline msg.Time
	// confirm is the read of the lease that the order waits for.
	confirm uint64
	// result is the target's own answer; settled by reading back.
	result  msg.OrderApplied
	applied msg.Time
	// readAfter is the first read that can show the result.
	readAfter msg.Time
}

// drains reports whether the order needs the target to be idle.
func (o *openOrder) drains() bool {
	if o.state == orderConfirming {
		return false
	}
	switch o.order.Kind {
	case msg.OrderSetRole, msg.OrderLoadModel, msg.OrderDrain:
		return true
	}
	return false
}

// confirming reports whether the order waits for a read of the lease.
func (o *openOrder) confirming() bool {
	return o.state == orderConfirming || o.state == orderRechecking
}

func (o *orders) raiseEpoch(e msg.Epoch) {
	if e > o.epoch {
		o.epoch = e
		o.seq = 0
	}
}

func (o *orders) kept(id msg.OrderID) (msg.OrderReply, bool) {
	for _, a := range o.answers {
		if a.Order == id {
			return a, true
		}
	}
	return msg.OrderReply{}, false
}

func (o *orders) keep(a msg.OrderReply) {
	o.answers = append(o.answers, a)
	if len(o.answers) > keptAnswers {
		o.answers = o.answers[1:]
	}
}

func (a *Agent) onOrder(now msg.Time, ev msg.OrderReceived) []msg.Effect {
	o := ev.Order
	if open := a.orders.open; open != nil && open.order.ID == o.ID {
		open.from = ev.From
		return nil
	}
	if status, reason := a.refuseOrder(now, o); reason != "" {
		return a.answerTo(ev.From, o, status, reason)
	}
	if reply, ok := a.orders.kept(o.ID); ok {
		reply.Report = a.report()
		return []msg.Effect{msg.SendOrderReply{To: ev.From, Reply: reply}}
	}
	if changesTarget(o.Kind) && a.reads.report.Order == o.ID {
		return a.answerTo(ev.From, o, msg.OrderDone, "the target has executed it")
	}
	if a.orders.open != nil {
		return a.answerTo(ev.From, o, msg.OrderBusy, "another order is open")
	}
	if o.Epoch == a.orders.epoch && o.Seq <= a.orders.seq {
		return a.answerTo(ev.From, o, msg.OrderStale, "a later order was executed")
	}
	a.orders.open = &openOrder{from: ev.From, order: o, deadline: now + a.orderTimeout(o)}
	return a.confirmLease()
}

func (a *Agent) orderTimeout(o msg.Order) time.Duration {
	if o.Timeout <= 0 || o.Timeout > a.cfg.LongestOrder {
		return a.cfg.LongestOrder
	}
	return o.Timeout
}

// refuseOrder returns the reason why an order can't even be considered.
func (a *Agent) refuseOrder(now msg.Time, o msg.Order) (msg.OrderStatus, string) {
	switch {
	case o.Lease != LeaseName(a.target.Pool):
		return msg.OrderFailed, "the lease is not this pool's"
	case o.Epoch < a.orders.epoch:
		return msg.OrderStale, "the epoch is old"
	case a.stopping:
		return msg.OrderNotReady, "the side daemon is stopping"
	case !a.reads.known:
		return msg.OrderNotReady, "the target was not read back yet"
	case changesTarget(o.Kind) && a.reads.down:
		return msg.OrderNotReady, "the target does not answer"
	case changesTarget(o.Kind) && now-a.started < a.cfg.LongestOrder:
		return msg.OrderNotReady, "an order of an earlier side daemon may still be on its way"
	case changesTarget(o.Kind) && a.orders.open == nil && a.reads.report.Phase == msg.PhaseChanging:
		return msg.OrderBusy, "the target is still executing an earlier order"
	}
	return msg.OrderDone, ""
}

// changesTarget reports whether an order is executed by the target itself.
func changesTarget(k msg.OrderKind) bool {
	return k != msg.OrderDrain && k != msg.OrderResume
}

// advanceOrder takes the open order's next step when it has become possible.
func (a *Agent) advanceOrder(now msg.Time) []msg.Effect {
	o := a.orders.open
	if o == nil {
		return nil
	}
	switch o.state {
	case orderConfirming, orderRechecking:
		if now >= o.deadline {
			return a.finishOrder(msg.OrderNotReady, "the lease could not be read in time")
		}
	case orderDraining:
		return a.advanceDrain(now, o)
	case orderApplying:
		if now >= o.applied+a.cfg.LongestOrder {
			return a.onApplied(now, msg.OrderApplied{Order: o.order.ID, Status: msg.OrderUnknown, Reason: "no answer from the target"})
		}
	case orderReadBack:
		return a.advanceReadBack(now, o)
	}
	return nil
}

func (a *Agent) advanceDrain(now msg.Time, o *openOrder) []msg.Effect {
	if a.attempts.none() {
		return a.drained(o)
	}
	if now >= o.deadline {
		return a.finishOrder(msg.OrderFailed, "running attempts did not end in time")
	}
	return nil
}

// drained carries out an order whose target is idle.
func (a *Agent) drained(o *openOrder) []msg.Effect {
	if o.order.Kind == msg.OrderDrain {
		return a.finishOrder(msg.OrderDone, "")
	}
	o.state = orderRechecking
	return a.confirmLease()
}

func (a *Agent) applyOrder(now msg.Time, o *openOrder) []msg.Effect {
	o.state = orderApplying
	o.applied = now
	return []msg.Effect{
		a.log(msg.LogInfo, "Order starts", orderAttrs(o.order)...),
		msg.ApplyOrder{Order: o.order},
	}
}

func (a *Agent) onApplied(now msg.Time, ev msg.OrderApplied) []msg.Effect {
	o := a.orders.open
	if o == nil || o.order.ID != ev.Order || o.state != orderApplying {
		return nil
	}
	o.result = ev
	o.state = orderReadBack
	o.readAfter = now
	return a.readTarget(now)
}

// advanceReadBack settles an order from the target's state as read after it.
func (a *Agent) advanceReadBack(now msg.Time, o *openOrder) []msg.Effect {
	if a.reads.known && !a.reads.down && a.reads.at >= o.readAfter {
		if effs, settled := a.settleOrder(now, o); settled {
			return effs
		}
	}
	if now >= o.readAfter+a.cfg.LongestOrder+readBackFor {
		return a.finishOrder(msg.OrderUnknown, "the target could not be read back")
	}
	if !a.reads.pending && now-a.reads.sent >= readBackInterval {
		return a.readTarget(now)
	}
	return nil
}

// settleOrder reports false while the last read leaves the result open.
func (a *Agent) settleOrder(now msg.Time, o *openOrder) ([]msg.Effect, bool) {
	switch {
	case a.reads.report.Order == o.order.ID:
		return a.finishOrder(msg.OrderDone, ""), true
	case a.reads.report.Phase == msg.PhaseChanging:
		return nil, false
	case o.result.Status == msg.OrderDone && now-o.readAfter < readBackFor:
		return nil, false
	case o.result.Status == msg.OrderDone:
		return a.finishOrder(msg.OrderUnknown, "the target does not show the order"), true
	case o.result.Status == msg.OrderUnknown && now < o.applied+a.cfg.LongestOrder:
		return nil, false
	case o.result.Status == msg.OrderUnknown:
		return a.finishOrder(msg.OrderFailed, "the target did not execute the order"), true
	}
	return a.finishOrder(o.result.Status, o.result.Reason), true
}

// finishOrder closes the open order and answers it.
func (a *Agent) finishOrder(status msg.OrderStatus, reason string) []msg.Effect {
	o := a.orders.open
	a.orders.open = nil
	if status == msg.OrderDone {
		a.held = o.order.Kind == msg.OrderDrain || (a.held && o.order.Kind != msg.OrderResume)
	}
	answer := msg.OrderReply{Order: o.order.ID, Status: status, Reason: reason, Report: a.report()}
	settled := status != msg.OrderUnknown
	if settled && (status == msg.OrderDone || o.state >= orderApplying) {
		a.orders.seq = o.order.Seq
		a.orders.keep(answer)
	}
	attrs := append(orderAttrs(o.order), msg.Attr{Key: "result", Value: status.String()}, msg.Attr{Key: "reason", Value: reason})
	return []msg.Effect{
		a.log(msg.LogInfo, "Order ends", attrs...),
		msg.SendOrderReply{To: o.from, Reply: answer},
	}
}

func (a *Agent) answerTo(to msg.HostID, o msg.Order, status msg.OrderStatus, reason string) []msg.Effect {
	attrs := append(orderAttrs(o), msg.Attr{Key: "result", Value: status.String()}, msg.Attr{Key: "reason", Value: reason})
	answer := msg.OrderReply{Order: o.ID, Status: status, Reason: reason, Report: a.report()}
	return []msg.Effect{
		a.log(msg.LogInfo, "Order not taken", attrs...),
		msg.SendOrderReply{To: to, Reply: answer},
	}
}

func orderAttrs(o msg.Order) []msg.Attr {
	return []msg.Attr{
		{Key: "order", Value: string(o.ID)},
		{Key: "kind", Value: o.Kind.String()},
		{Key: "epoch", Value: fmt.Sprint(uint64(o.Epoch))},
	}
}
