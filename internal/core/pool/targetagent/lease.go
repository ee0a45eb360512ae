package targetagent

import (
	"encoding/json"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// LeaseName returns the name of the lease whose holder may send orders to a
// pool's targets.
func LeaseName(pool msg.PoolID) msg.LeaseName { return msg.LeaseName("fleet/" + string(pool)) }

// readLease reads the lease before an order is executed. A delayed order of a
// former holder is thus refused even if nothing was received from the present
// holder.
func (a *Agent) readLease() []msg.Effect {
	o := a.orders.open
	a.orders.leaseReads++
	o.leaseRead = a.orders.leaseReads
	return []msg.Effect{a.objects.Get(o.leaseRead, msg.KindLease, string(o.order.Lease))}
}

func (a *Agent) onLeaseRead(now msg.Time, r store.Result) []msg.Effect {
	o := a.orders.open
	if o == nil || !o.awaitsLease() || o.leaseRead != r.Tag {
		return nil
	}
	epoch, reason := leaseEpoch(r)
	if reason != "" {
		return a.finishOrder(msg.OrderNotReady, reason)
	}
	a.orders.raiseEpoch(epoch)
	switch {
	case epoch > o.order.Epoch:
		return a.finishOrder(msg.OrderStale, "the epoch is old")
	case epoch < o.order.Epoch:
		return a.finishOrder(msg.OrderNotReady, "the lease does not show the epoch")
	}
	if o.state == orderRechecking {
		return a.applyOrder(now, o)
	}
	return a.beginOrder(now, o)
}

// leaseEpoch returns the epoch of the lease object in a result, or a reason why
// it is not available.
func leaseEpoch(r store.Result) (msg.Epoch, string) {
	if r.Status == msg.CallNotFound {
		return 0, "the lease does not exist"
	}
	if r.Status != msg.CallOK {
		return 0, "the lease can't be read"
	}
	var body msg.LeaseRecord
	if err := json.Unmarshal(r.Object.Value, &body); err != nil {
		return 0, "the lease can't be decoded"
	}
	return body.Epoch, ""
}

// beginOrder starts an order whose epoch was confirmed by the lease.
func (a *Agent) beginOrder(now msg.Time, o *openOrder) []msg.Effect {
	switch o.order.Kind {
	case msg.OrderResume:
		return a.finishOrder(msg.OrderDone, "")
	case msg.OrderLoadAdapter:
		return a.applyOrder(now, o)
	}
	o.state = orderDraining
	return nil
}
