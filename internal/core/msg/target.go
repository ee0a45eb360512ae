package msg

import "time"

// TargetKind says whether a target is an engine or a plain service.
type TargetKind uint8

// Kinds of targets.
const (
	TargetEngine TargetKind = iota
	TargetService
)

// TargetPhase is what a target is doing, as its side daemon reports it.
type TargetPhase uint8

// Phases of a target.
const (
	// PhaseServing takes new attempts.
	PhaseServing TargetPhase = iota
	// PhaseDraining takes none and finishes what it has.
	PhaseDraining
	// PhaseChanging is executing an order.
	PhaseChanging
	// PhaseDown does not answer.
	PhaseDown
	// PhaseStarting has not been read back yet.
	PhaseStarting
)

// String returns the phase's name in logs and status.
func (p TargetPhase) String() string {
	return [...]string{"serving", "draining", "changing", "down", "starting"}[p]
}

// LoadedModel is a model version and its adapters on an engine.
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
	// PrefillTokens is the prompt work that is queued or running.
	PrefillTokens int `cbor:"6,keyasint"`
	// KVUsed and KVTotal are in tokens.
	KVUsed  int `cbor:"7,keyasint"`
	KVTotal int `cbor:"8,keyasint"`
	// PrefillRate is in tokens a second and StepTime the time of a decode
	// step at the present batch, as observed.
	PrefillRate float32       `cbor:"9,keyasint"`
	StepTime    time.Duration `cbor:"10,keyasint"`
	// Order is the last order that took effect.
	Order OrderID `cbor:"11,keyasint,omitempty"`
	// MaxBatch is the largest number of sequences decoded at once.
	MaxBatch int `cbor:"12,keyasint"`
}

// TargetReported is a load report of a target, from its side daemon directly
// or through the exchange.
type TargetReported struct {
	Target TargetIdentity
	Host   HostID
	Domain FailureDomain
	Report LoadReport
	// Age is how old the report is.
	Age time.Duration
}

// TargetUnreachable tells that the side daemon of a target can't be reached.
type TargetUnreachable struct {
	Target TargetID
	Host   HostID
}

// CacheEvent tells that pieces entered or left an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Removed bool        `cbor:"2,keyasint,omitempty"`
	Blocks  []BlockHash `cbor:"3,keyasint"`
}

// CacheReported is a batch of cache events of a target; late, and with gaps
// in Seq.
type CacheReported struct {
	Target TargetID
	Events []CacheEvent
}

// OrderKind is what an order asks of a target.
type OrderKind uint8

// Kinds of orders.
const (
	OrderLoadModel OrderKind = iota
	OrderLoadAdapter
	OrderSetRole
	// OrderDrain stops new attempts; running ones finish or move.
	OrderDrain
	// OrderResume takes new attempts again.
	OrderResume
)

// String returns the order's name in logs and on the wire.
func (k OrderKind) String() string {
	return [...]string{"load-model", "load-adapter", "set-role", "drain", "resume"}[k]
}

// Order tells a target to change. The side daemon executes orders one at a
// time and refuses an epoch below the highest it knows.
type Order struct {
	ID    OrderID   `cbor:"1,keyasint"`
	Lease LeaseName `cbor:"2,keyasint"`
	Epoch Epoch     `cbor:"3,keyasint"`
	Seq   uint64    `cbor:"4,keyasint"`
	Kind  OrderKind `cbor:"5,keyasint"`
	Role  Role      `cbor:"6,keyasint,omitempty"`
	// Model, Version and Adapter are set for loads.
	Model   string `cbor:"7,keyasint,omitempty"`
	Version string `cbor:"8,keyasint,omitempty"`
	Adapter string `cbor:"9,keyasint,omitempty"`
	// Timeout bounds the order from its arrival at the side daemon.
	Timeout time.Duration `cbor:"10,keyasint"`
}

// OrderStatus is the result of an order.
type OrderStatus uint8

// Results of orders.
const (
	OrderDone OrderStatus = iota
	// OrderStale means that the epoch is old; nothing was done.
	OrderStale
	// OrderBusy means that another order is open; nothing was done.
	OrderBusy
	// OrderNotReady means that the side daemon can't check epochs yet; nothing
	// was done.
	OrderNotReady
	// OrderFailed means that the target refused or failed it.
	OrderFailed
	// OrderUnknown means that it may have been executed: read the state back.
	OrderUnknown
)

var orderStatusNames = [...]string{"done", "stale", "busy", "unready", "failed", "unknown"}

// String returns the status's name in logs and metrics. A value that a later
// release sent is unknown.
func (s OrderStatus) String() string {
	if int(s) < len(orderStatusNames) {
		return orderStatusNames[s]
	}
	return orderStatusNames[OrderUnknown]
}

// SendOrder sends an order to a side daemon, unless NotAfter has passed when
// its bytes are about to leave.
type SendOrder struct {
	Target   TargetID
	Host     HostID
	Order    Order
	NotAfter Time
}

// OrderResultReceived is the result of an order.
type OrderResultReceived struct {
	Target TargetID
	Order  OrderID
	Status OrderStatus
	Reason string
	Report LoadReport
}

// ProvisionTarget orders one target in a failure domain from the target
// interface. [TargetProvisionDone] answers it.
type ProvisionTarget struct {
	Call   CallID
	Pool   PoolID
	Domain FailureDomain
	// Token makes the call idempotent.
	Token    string
	Epoch    Epoch
	NotAfter Time
}

// ReleaseTarget gives a target back. [TargetProvisionDone] answers it.
type ReleaseTarget struct {
	Call     CallID
	Target   TargetID
	Token    string
	Epoch    Epoch
	NotAfter Time
}

// ListTargets reads the target interface's list. [TargetsListed] answers it.
type ListTargets struct {
	Call CallID
	Pool PoolID
}

// ProvisionedTarget is one line of the target interface's list.
type ProvisionedTarget struct {
	Target TargetID
	Host   HostID
	Pool   PoolID
	Domain FailureDomain
	Token  string
	// Ready says that the target has been delivered.
	Ready bool
	// Leaving says that the platform is withdrawing it.
	Leaving bool
	// Cost is the price of an hour in the operator's unit.
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
