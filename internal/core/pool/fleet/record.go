package fleet

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Record is the pool's object in the platform's object API. An order is
// recorded in it before it is sent, so that a new lease holder can complete the
// order.
type Record struct {
	// Epoch is the fencing number with which the record was last written.
	Epoch msg.Epoch `json:"epoch"`
	// Seq is the last sequence number of the pool's orders and provision
	// requests.
	Seq uint64 `json:"seq"`
	// Orders are the open orders to targets, at most one per target.
	Orders []RecordedOrder `json:"orders,omitempty"`
	// ProvisionRequests are the open requests to the target interface.
	ProvisionRequests []ProvisionRequest `json:"purchases,omitempty"`
	// Drained are the targets that were drained by an order and not resumed.
	Drained []msg.TargetID `json:"held,omitempty"`
	// Retiring are the targets that are drained in order to be released.
	Retiring []msg.TargetID `json:"retiring,omitempty"`
	// Halt is set while the roll-out of a model version is halted.
	Halt *Halt `json:"halt,omitempty"`
}

// RecordedOrder is an order to a target that was sent or is about to be sent.
type RecordedOrder struct {
	Order  msg.Order    `json:"order"`
	Target msg.TargetID `json:"target"`
	Host   msg.HostID   `json:"host"`
	Reason string       `json:"reason"`
}

// ProvisionRequest is a request to the target interface: to provision a target
// in a failure domain or, if Target is set, to release that target.
type ProvisionRequest struct {
	Token  string            `json:"token"`
	Domain msg.FailureDomain `json:"domain"`
	Target msg.TargetID      `json:"target,omitempty"`
	Reason string            `json:"reason"`
}

// Halt is the model version whose roll-out is halted, and the reason.
type Halt struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

func (r *Record) clone() *Record {
	c := *r
	c.Orders = slices.Clone(r.Orders)
	c.ProvisionRequests = slices.Clone(r.ProvisionRequests)
	c.Drained = slices.Clone(r.Drained)
	c.Retiring = slices.Clone(r.Retiring)
	return &c
}

// openOrder returns the open order to a target, or nil.
func (r *Record) openOrder(t msg.TargetID) *RecordedOrder {
	for i := range r.Orders {
		if r.Orders[i].Target == t {
			return &r.Orders[i]
		}
	}
	return nil
}

func (r *Record) order(id msg.OrderID) *RecordedOrder {
	for i := range r.Orders {
		if r.Orders[i].Order.ID == id {
			return &r.Orders[i]
		}
	}
	return nil
}

// closeOrder removes an order. If a drain or a resume was executed, it updates
// the drained targets.
func (r *Record) closeOrder(id msg.OrderID, done bool) {
	recorded := r.order(id)
	if recorded == nil {
		return
	}
	if done && recorded.Order.Kind == msg.OrderDrain {
		r.Drained = withID(r.Drained, recorded.Target)
	}
	if done && recorded.Order.Kind == msg.OrderResume {
		r.Drained = withoutID(r.Drained, recorded.Target)
	}
	r.Orders = slices.DeleteFunc(r.Orders, func(o RecordedOrder) bool { return o.Order.ID == id })
}

func (r *Record) removeProvisionRequest(token string) {
	r.ProvisionRequests = slices.DeleteFunc(r.ProvisionRequests, func(p ProvisionRequest) bool { return p.Token == token })
}

// removeTarget removes the orders to a target that no longer reports, and the
// target from the drained ones.
func (r *Record) removeTarget(t msg.TargetID) {
	r.Orders = slices.DeleteFunc(r.Orders, func(o RecordedOrder) bool { return o.Target == t })
	r.Drained = withoutID(r.Drained, t)
}

// targets returns the targets that have an open order or are drained.
func (r *Record) targets() []msg.TargetID {
	out := slices.Clone(r.Drained)
	for _, o := range r.Orders {
		out = append(out, o.Target)
	}
	return out
}

// setEpoch moves the record and its open orders to a new epoch.
func (r *Record) setEpoch(epoch msg.Epoch) {
	r.Epoch = epoch
	for i := range r.Orders {
		r.Seq++
		r.Orders[i].Order.Epoch = epoch
		r.Orders[i].Order.Seq = r.Seq
	}
}

func withID(ids []msg.TargetID, id msg.TargetID) []msg.TargetID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

func withoutID(ids []msg.TargetID, id msg.TargetID) []msg.TargetID {
	return slices.DeleteFunc(ids, func(t msg.TargetID) bool { return t == id })
}
