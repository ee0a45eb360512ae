package msg

import "time"

// TargetKind is the kind of a target: model engine or plain service.
type TargetKind uint8

// Kinds of targets.
const (
	TargetEngine TargetKind = iota
	TargetService
)

// TargetPhase is the operating phase of a target, as reported by its side daemon.
type TargetPhase uint8

// Phases of a target.
const (
	// PhaseServing means that the target accepts new attempts.
	PhaseServing TargetPhase = iota
	// PhaseDraining means that it accepts none and finishes those it has.
	PhaseDraining
	// PhaseChanging means that it is executing an order.
	PhaseChanging
	// PhaseDown means that it does not respond.
	PhaseDown
	// PhaseStarting means that its state has not been read yet.
	PhaseStarting
)

// String returns the phase's name in logs and status.
func (p TargetPhase) String() string {
	return [...]string{"serving", "draining", "changing", "down", "starting"}[p]
}

// LoadedModel is a model version that an engine has loaded, with its adapters.
type LoadedModel struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// LoadReport is a target's state as its side daemon last read it.
type LoadReport struct {
	Phase   TargetPhase   `cbor:"1,keyasint"`
	Role    Role          `cbor:"2,keyasint"`
	Models  []LoadedModel `cbor:"3,keyasint,omitempty"`
	Running int           `cbor:"4,keyasint"`
	Queued  int           `cbor:"5,keyasint"`
	// PrefillTokens is the number of prompt tokens whose prefill is queued or
	// running.
	PrefillTokens int `cbor:"6,keyasint"`
	// KVUsed and KVTotal are the used and total sizes of the KV cache in tokens.
	KVUsed  int `cbor:"7,keyasint"`
	KVTotal int `cbor:"8,keyasint"`
	// PrefillRate is the observed prefill rate in tokens per second, and StepTime
	// the observed duration of a decode step at the current batch size.
	PrefillRate float32       `cbor:"9,keyasint"`
	StepTime    time.Duration `cbor:"10,keyasint"`
	// Order is the ID of the last order that took effect.
	Order OrderID `cbor:"11,keyasint,omitempty"`
	// MaxBatch is the largest number of sequences decoded at once.
	MaxBatch int `cbor:"12,keyasint"`
}

// TargetReported is a load report of a target. It comes from the target's side
// daemon directly or through the exchange.
type TargetReported struct {
	Target TargetIdentity
	Host   HostID
	Domain FailureDomain
	Report LoadReport
	// Age is the age of the report.
	Age time.Duration
}

// TargetUnreachable reports that the side daemon of a target can't be reached.
type TargetUnreachable struct {
	Target TargetID
	Host   HostID
}

// CacheEvent reports that blocks were added to an engine's prefix cache or, with
// Removed set, removed from it.
type CacheEvent struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Removed bool        `cbor:"2,keyasint,omitempty"`
	Blocks  []BlockHash `cbor:"3,keyasint"`
}

// CacheReported is a batch of cache events of a target. The events may be late,
// and there may be gaps in Seq.
type CacheReported struct {
	Target TargetID
	Events []CacheEvent
}

// OrderKind is the kind of change that an order requests from a target.
type OrderKind uint8

// Kinds of orders.
const (
	OrderLoadModel OrderKind = iota
	OrderLoadAdapter
	OrderSetRole
	// OrderDrain stops new attempts. Running ones finish or are moved to other
	// targets.
	OrderDrain
	// OrderResume makes the target accept new attempts again.
	OrderResume
)

// String returns the order's name in logs and on the wire.
func (k OrderKind) String() string {
	return [...]string{"load-model", "load-adapter", "set-role", "drain", "resume"}[k]
}

// Order instructs a target to change its state. The side daemon executes
// orders one at a time and refuses an order whose epoch is below the highest
// that it has seen. Seq increases with each order under an epoch.
type Order struct {
	ID    OrderID   `cbor:"1,keyasint"`
	Lease LeaseName `cbor:"2,keyasint"`
	Epoch Epoch     `cbor:"3,keyasint"`
	Seq   uint64    `cbor:"4,keyasint"`
	Kind  OrderKind `cbor:"5,keyasint"`
	Role  Role      `cbor:"6,keyasint,omitempty"`
	// Model, Version and Adapter are set in orders to load.
	Model   string `cbor:"7,keyasint,omitempty"`
	Version string `cbor:"8,keyasint,omitempty"`
	Adapter string `cbor:"9,keyasint,omitempty"`
	// Timeout limits the time from the order's arrival at the side daemon.
	Timeout time.Duration `cbor:"10,keyasint"`
}

// OrderStatus is the result of an order.
type OrderStatus uint8

// Results of orders.
const (
	OrderDone OrderStatus = iota
	// OrderStale means that the epoch is old. Nothing was done.
	OrderStale
	// OrderBusy means that another order is in progress. Nothing was done.
	OrderBusy
	// OrderNotReady means that the side daemon can't check epochs yet. Nothing
	// was done.
	OrderNotReady
	// OrderFailed means that the target refused the order or failed to execute
	// it.
	OrderFailed
	// OrderUnknown means that the order may have been executed. The target's
	// state must be read to find out.
	OrderUnknown
)

var orderStatusNames = [...]string{"done", "stale", "busy", "unready", "failed", "unknown"}

// String returns the status's name in logs and metrics. A value that only a later
// release defines is reported as unknown.
func (s OrderStatus) String() string {
	if int(s) < len(orderStatusNames) {
		return orderStatusNames[s]
	}
	return orderStatusNames[OrderUnknown]
}

// SendOrder sends an order to a side daemon, unless NotAfter has passed at the
// moment when its bytes are about to be sent.
type SendOrder struct {
	Target   TargetID
	Host     HostID
	Order    Order
	NotAfter Time
}

// OrderResultReceived reports the result of an order.
type OrderResultReceived struct {
	Target TargetID
	Order  OrderID
	Status OrderStatus
	Reason string
	Report LoadReport
}

// ProvisionTarget requests one new target in a failure domain from the platform's
// target interface. The result is [TargetProvisionDone].
type ProvisionTarget struct {
	Call   CallID
	Pool   PoolID
	Domain FailureDomain
	// Token makes the call idempotent.
	Token    string
	Epoch    Epoch
	NotAfter Time
}

// ReleaseTarget returns a target to the platform. The result is
// [TargetProvisionDone].
type ReleaseTarget struct {
	Call     CallID
	Target   TargetID
	Token    string
	Epoch    Epoch
	NotAfter Time
}

// ListTargets reads the target interface's list. The result is [TargetsListed].
type ListTargets struct {
	Call CallID
	Pool PoolID
}

// ProvisionedTarget is one entry of the target interface's list.
type ProvisionedTarget struct {
	Target TargetID
	Host   HostID
	Pool   PoolID
	Domain FailureDomain
	Token  string
	// Ready reports whether the target has been delivered.
	Ready bool
	// Leaving reports whether the platform is withdrawing the target.
	Leaving bool
	// Cost is the price per hour in the operator's unit.
	Cost float64
}

// TargetProvisionDone is the result of ProvisionTarget and ReleaseTarget.
type TargetProvisionDone struct {
	Call   CallID
	Status CallStatus
	Target TargetID
}

// TargetsListed is the result of ListTargets.
type TargetsListed struct {
	Call    CallID
	Status  CallStatus
	Pool    PoolID
	Targets []ProvisionedTarget
}

func (TargetReported) event()      {}
func (TargetUnreachable) event()   {}
func (CacheReported) event()       {}
func (OrderResultReceived) event() {}
func (TargetProvisionDone) event() {}
func (TargetsListed) event()       {}

func (SendOrder) effect()       {}
func (ProvisionTarget) effect() {}
func (ReleaseTarget) effect()   {}
func (ListTargets) effect()     {}
