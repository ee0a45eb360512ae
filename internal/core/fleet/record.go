package fleet

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Record is the pool's object in the platform's object API. An order is
// recorded there before it is sent, so that a successor finds it.
type Record struct {
	// Epoch is the fencing number under which the record was last written.
	Epoch msg.Epoch `json:"epoch"`
	// Seq numbers the orders of the pool.
	Seq uint64 `json:"seq"`
	// Orders are the open orders to targets, at most one for each target.
	Orders []Intent `json:"orders,omitempty"`
	// Purchases are the open orders to the target interface.
	Purchases []Purchase `json:"purchases,omitempty"`
	// Held are the targets that were drained by order and not resumed.
	Held []msg.TargetID `json:"held,omitempty"`
	// Retiring are the targets that are drained to be withdrawn.
	Retiring []msg.TargetID `json:"retiring,omitempty"`
	// Halt stops the roll-out of one model version.
	Halt *Halt `json:"halt,omitempty"`
}

// Intent is an order to a target that is about to be, or was, sent.
type Intent struct {
	Order  msg.Order    `json:"order"`
	Target msg.TargetID `json:"target"`
	Host   msg.HostID   `json:"host"`
	Reason string       `json:"reason"`
}

// Purchase is an order to the target interface: for a new target in a failure
// domain, or, with Target set, to give one back.
type Purchase struct {
	Token  string            `json:"token"`
	Domain msg.FailureDomain `json:"domain"`
	Target msg.TargetID      `json:"target,omitempty"`
	Reason string            `json:"reason"`
}

// Halt says why a version is not rolled out further.
type Halt struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

func (r *Record) clone() *Record {
	c := *r
	c.Orders = slices.Clone(r.Orders)
	c.Purchases = slices.Clone(r.Purchases)
	c.Held = slices.Clone(r.Held)
	c.Retiring = slices.Clone(r.Retiring)
	return &c
}

// open returns the open order to a target, or nil.
func (r *Record) open(t msg.TargetID) *Intent {
	for i := range r.Orders {
		if r.Orders[i].Target == t {
			return &r.Orders[i]
		}
	}
	return nil
}

func (r *Record) order(id msg.OrderID) *Intent {
	for i := range r.Orders {
		if r.Orders[i].Order.ID == id {
			return &r.Orders[i]
		}
	}
	return nil
}

// closeOrder removes an order and notes what a done one leaves behind.
func (r *Record) closeOrder(id msg.OrderID, done bool) {
	in := r.order(id)
	if in == nil {
		return
	}
	if done && in.Order.Kind == msg.OrderDrain {
		r.Held = with(r.Held, in.Target)
	}
	if done && in.Order.Kind == msg.OrderResume {
		r.Held = without(r.Held, in.Target)
	}
	r.Orders = slices.DeleteFunc(r.Orders, func(o Intent) bool { return o.Order.ID == id })
}

func (r *Record) closePurchase(token string) {
	r.Purchases = slices.DeleteFunc(r.Purchases, func(p Purchase) bool { return p.Token == token })
}

// forget drops what is recorded of a target that is silent.
func (r *Record) forget(t msg.TargetID) {
	r.Orders = slices.DeleteFunc(r.Orders, func(o Intent) bool { return o.Target == t })
	r.Held = without(r.Held, t)
}

// targets returns the targets that have an order or are held.
func (r *Record) targets() []msg.TargetID {
	out := slices.Clone(r.Held)
	for _, o := range r.Orders {
		out = append(out, o.Target)
	}
	return out
}

// adopt puts the open orders under a new epoch.
func (r *Record) adopt(epoch msg.Epoch) {
	r.Epoch = epoch
	for i := range r.Orders {
		r.Seq++
		r.Orders[i].Order.Epoch = epoch
		r.Orders[i].Order.Seq = r.Seq
	}
}

func with(ids []msg.TargetID, id msg.TargetID) []msg.TargetID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

func without(ids []msg.TargetID, id msg.TargetID) []msg.TargetID {
	return slices.DeleteFunc(ids, func(t msg.TargetID) bool { return t == id })
}
