package targetagent

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// orderState is the progress of the open order.
type orderState uint8

const (
	// orderConfirming means that the lease is being read to check the order's
	// epoch.
	orderConfirming orderState = iota
	// orderDraining means that the order waits for the running attempts to end.
	orderDraining
	// orderRechecking means that the lease is being read again, because it may
	// have changed during the drain.
	orderRechecking
	// orderApplying means that the target executes the order.
	orderApplying
	// orderReadBack means that the target's state is being read until it shows
	// the result.
	orderReadBack
)

const (
	// maxKeptReplies is the number of replies kept for repeated orders.
	maxKeptReplies = 16
	// readBackTimeout is how long an executed order may take to show in the
	// target's load reports.
	readBackTimeout = 5 * time.Second
	// readBackInterval is the interval between two reads after an order.
	readBackInterval = 50 * time.Millisecond
)

// orders holds the fencing state, the order that is being executed and the
// replies to earlier ones.
type orders struct {
	open *openOrder
	// epoch is the highest epoch received, and seq the highest sequence number
	// executed under it.
	epoch msg.Epoch
	seq   uint64
	// leaseReads is the number of reads of the lease so far.
	leaseReads uint64
	// replies holds the last replies, newest last.
	replies []msg.OrderReply
}

// openOrder is the order that is being executed; there is at most one.
type openOrder struct {
	from     msg.HostID
	order    msg.Order
	state    orderState
	deadline msg.Time
	// leaseRead is the number of the lease read that the order waits for.
	leaseRead uint64
	// result is the result that the target itself gave. The final result follows
	// from the target's state as read afterwards.
	result    msg.OrderApplied
	appliedAt msg.Time
	// readBackFrom is the time from which a read of the target can show the
	// result.
	readBackFrom msg.Time
}

// needsDrain reports whether the target must drain for the order now: the order
// needs a target without attempts, and its epoch was confirmed.
func (o *openOrder) needsDrain() bool {
	if o.state == orderConfirming {
		return false
	}
	switch o.order.Kind {
	case msg.OrderSetRole, msg.OrderLoadModel, msg.OrderDrain:
		return true
	}
	return false
}

// awaitsLease reports whether the order waits for a read of the lease.
func (o *openOrder) awaitsLease() bool {
	return o.state == orderConfirming || o.state == orderRechecking
}

// raiseEpoch records an epoch if it is the highest so far, and in that case resets
// the sequence number.
func (o *orders) raiseEpoch(e msg.Epoch) {
	if e > o.epoch {
		o.epoch = e
		o.seq = 0
	}
}

// keptReply returns the kept reply to the order with the given id, if any.
func (o *orders) keptReply(id msg.OrderID) (msg.OrderReply, bool) {
	for _, reply := range o.replies {
		if reply.Order == id {
			return reply, true
		}
	}
	return msg.OrderReply{}, false
}

func (o *orders) keepReply(reply msg.OrderReply) {
	o.replies = append(o.replies, reply)
	if len(o.replies) > maxKeptReplies {
		o.replies = o.replies[1:]
	}
}

func (a *Agent) onOrder(now msg.Time, ev msg.OrderReceived) []msg.Effect {
	o := ev.Order
	if open := a.orders.open; open != nil && open.order.ID == o.ID {
		open.from = ev.From
		return nil
	}
	if status, reason := a.refuseOrder(now, o); reason != "" {
		return a.replyTo(ev.From, o, status, reason)
	}
	if reply, ok := a.orders.keptReply(o.ID); ok {
		reply.Report = a.report()
		return []msg.Effect{msg.SendOrderReply{To: ev.From, Reply: reply}}
	}
	if changesTarget(o.Kind) && a.reads.report.Order == o.ID {
		return a.replyTo(ev.From, o, msg.OrderDone, "the target has executed it")
	}
	if a.orders.open != nil {
		return a.replyTo(ev.From, o, msg.OrderBusy, "another order is open")
	}
	if o.Epoch == a.orders.epoch && o.Seq <= a.orders.seq {
		return a.replyTo(ev.From, o, msg.OrderStale, "a later order was executed")
	}
	a.orders.open = &openOrder{from: ev.From, order: o, deadline: now + a.orderTimeout(o)}
	return a.readLease()
}

func (a *Agent) orderTimeout(o msg.Order) time.Duration {
	if o.Timeout <= 0 || o.Timeout > a.cfg.MaxOrderDuration {
		return a.cfg.MaxOrderDuration
	}
	return o.Timeout
}

// refuseOrder returns the status and reason with which an order is refused
// before it is compared with earlier orders. An empty reason means that it is
// not refused.
func (a *Agent) refuseOrder(now msg.Time, o msg.Order) (msg.OrderStatus, string) {
	switch {
	case o.Lease != LeaseName(a.target.Pool):
		return msg.OrderFailed, "the lease is not this pool's"
	case o.Epoch < a.orders.epoch:
		return msg.OrderStale, "the epoch is old"
	case a.stopping:
		return msg.OrderNotReady, "the side daemon is stopping"
	case !a.reads.succeeded:
		return msg.OrderNotReady, "the target was not read back yet"
	case changesTarget(o.Kind) && a.reads.down:
		return msg.OrderNotReady, "the target does not answer"
	case changesTarget(o.Kind) && now-a.started < a.cfg.MaxOrderDuration:
		return msg.OrderNotReady, "an order of an earlier side daemon may still be on its way"
	case changesTarget(o.Kind) && a.orders.open == nil && a.reads.report.Phase == msg.PhaseChanging:
		return msg.OrderBusy, "the target is still executing an earlier order"
	}
	return msg.OrderDone, ""
}

// changesTarget reports whether the target itself executes orders of a kind.
func changesTarget(k msg.OrderKind) bool {
	return k != msg.OrderDrain && k != msg.OrderResume
}

// advanceOrder performs the next step of the open order once it is possible,
// and ends the order once a time limit has passed.
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
		if now >= o.appliedAt+a.cfg.MaxOrderDuration {
			return a.onApplied(now, msg.OrderApplied{Order: o.order.ID, Status: msg.OrderUnknown, Reason: "no answer from the target"})
		}
	case orderReadBack:
		return a.advanceReadBack(now, o)
	}
	return nil
}

func (a *Agent) advanceDrain(now msg.Time, o *openOrder) []msg.Effect {
	if a.attempts.empty() {
		return a.onDrained(o)
	}
	if now >= o.deadline {
		return a.finishOrder(msg.OrderFailed, "running attempts did not end in time")
	}
	return nil
}

// onDrained continues an order once no attempt runs on the target.
func (a *Agent) onDrained(o *openOrder) []msg.Effect {
	if o.order.Kind == msg.OrderDrain {
		return a.finishOrder(msg.OrderDone, "")
	}
	o.state = orderRechecking
	return a.readLease()
}

func (a *Agent) applyOrder(now msg.Time, o *openOrder) []msg.Effect {
	o.state = orderApplying
	o.appliedAt = now
	return []msg.Effect{
		a.log(msg.LogInfo, "Order is sent to the target", orderAttrs(o.order)...),
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
	o.readBackFrom = now
	return a.readTarget(now)
}

// advanceReadBack settles an order by the target's state as read after the
// order. Until then it reads the target every readBackInterval.
func (a *Agent) advanceReadBack(now msg.Time, o *openOrder) []msg.Effect {
	if a.reads.succeeded && !a.reads.down && a.reads.readAt >= o.readBackFrom {
		if effs, settled := a.settleOrder(now, o); settled {
			return effs
		}
	}
	if now >= o.readBackFrom+a.cfg.MaxOrderDuration+readBackTimeout {
		return a.finishOrder(msg.OrderUnknown, "the target could not be read back")
	}
	if !a.reads.pending && now-a.reads.sentAt >= readBackInterval {
		return a.readTarget(now)
	}
	return nil
}

// settleOrder finishes the order if the last read determines its result, and
// reports whether it did.
func (a *Agent) settleOrder(now msg.Time, o *openOrder) ([]msg.Effect, bool) {
	switch {
	case a.reads.report.Order == o.order.ID:
		return a.finishOrder(msg.OrderDone, ""), true
	case a.reads.report.Phase == msg.PhaseChanging:
		return nil, false
	case o.result.Status == msg.OrderDone && now-o.readBackFrom < readBackTimeout:
		return nil, false
	case o.result.Status == msg.OrderDone:
		return a.finishOrder(msg.OrderUnknown, "the target does not show the order"), true
	case o.result.Status == msg.OrderUnknown && now < o.appliedAt+a.cfg.MaxOrderDuration:
		return nil, false
	case o.result.Status == msg.OrderUnknown:
		return a.finishOrder(msg.OrderFailed, "the target did not execute the order"), true
	}
	return a.finishOrder(o.result.Status, o.result.Reason), true
}

// finishOrder closes the open order and sends its reply. The reply is kept for
// repetitions of the order if the result is not OrderUnknown and the order was
// executed or its execution was attempted.
func (a *Agent) finishOrder(status msg.OrderStatus, reason string) []msg.Effect {
	o := a.orders.open
	a.orders.open = nil
	if status == msg.OrderDone {
		a.drainHeld = o.order.Kind == msg.OrderDrain || (a.drainHeld && o.order.Kind != msg.OrderResume)
	}
	reply := msg.OrderReply{Order: o.order.ID, Status: status, Reason: reason, Report: a.report()}
	settled := status != msg.OrderUnknown
	if settled && (status == msg.OrderDone || o.state >= orderApplying) {
		a.orders.seq = o.order.Seq
		a.orders.keepReply(reply)
	}
	attrs := append(orderAttrs(o.order), msg.Attr{Key: "result", Value: status.String()}, msg.Attr{Key: "reason", Value: reason})
	return []msg.Effect{
		a.log(msg.LogInfo, "Order finished", attrs...),
		msg.SendOrderReply{To: o.from, Reply: reply},
	}
}

// replyTo replies to an order that is not opened, because it is refused or has
// been executed before.
func (a *Agent) replyTo(to msg.HostID, o msg.Order, status msg.OrderStatus, reason string) []msg.Effect {
	attrs := append(orderAttrs(o), msg.Attr{Key: "result", Value: status.String()}, msg.Attr{Key: "reason", Value: reason})
	reply := msg.OrderReply{Order: o.ID, Status: status, Reason: reason, Report: a.report()}
	return []msg.Effect{
		a.log(msg.LogInfo, "Order answered without execution", attrs...),
		msg.SendOrderReply{To: to, Reply: reply},
	}
}

func orderAttrs(o msg.Order) []msg.Attr {
	return []msg.Attr{
		{Key: "order", Value: string(o.ID)},
		{Key: "kind", Value: o.Kind.String()},
		{Key: "epoch", Value: fmt.Sprint(uint64(o.Epoch))},
	}
}
