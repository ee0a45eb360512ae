package targetagent

import (
	"encoding/json"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// LeaseName names the lease under which a pool's targets are given orders.
func LeaseName(pool msg.PoolID) msg.LeaseName { return msg.LeaseName("fleet/" + string(pool)) }

// confirmLease reads the lease before an order is executed, so that an order
// that was long on its way from a former holder is refused even when the
// present holder has not been heard from.
func (a *Agent) confirmLease() []msg.Effect {
	o := a.orders.open
	a.orders.confirms++
	o.confirm = a.orders.confirms
	return []msg.Effect{a.objects.Get(o.confirm, msg.KindLease, string(o.order.Lease))}
}

func (a *Agent) onLeaseRead(now msg.Time, r store.Result) []msg.Effect {
	o := a.orders.open
	if o == nil || !o.confirming() || o.confirm != r.Tag {
		return nil
	}
	epoch, reason := readEpoch(r)
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

// readEpoch returns the lease's epoch, or why it is not known.
func readEpoch(r store.Result) (msg.Epoch, string) {
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

// beginOrder starts a confirmed order.
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
