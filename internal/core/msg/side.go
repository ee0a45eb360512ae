package msg

import "time"

// AttemptOffered asks a side daemon to run an attempt.
type AttemptOffered struct {
	From HostID
	Spec AttemptSpec
}

// RunAttempt starts an offered attempt on the target. Its frames go to the
// entry that offered it.
type RunAttempt struct{ Spec AttemptSpec }

// RefuseAttempt tells the entry that this offer was not taken: the attempt did
// not run, unless MayHaveRun is set.
type RefuseAttempt struct {
	Attempt    AttemptID
	Code       string
	Reason     string
	RetryAfter time.Duration
	// MayHaveRun says that an earlier offer of the same attempt was taken.
	MayHaveRun bool
}

// StopAttempt stops a running attempt. With Move set the entry is told to
// carry on elsewhere.
type StopAttempt struct {
	Attempt AttemptID
	Move    bool
	Reason  string
}

// SideAttemptEnded tells that an attempt is over on the side.
type SideAttemptEnded struct {
	Attempt AttemptID
	Result  AttemptResult
	Usage   TokenUsage
}

// EntryDisconnected tells a side daemon that an entry's connection is gone. Its
// attempts may be resumed on another connection.
type EntryDisconnected struct{ Host HostID }

// OrderReceived is an order from an entry that holds, or held, the lease.
type OrderReceived struct {
	From  HostID
	Order Order
}

// SendOrderReply answers an order to the host that sent it.
type SendOrderReply struct {
	To    HostID
	Reply OrderReply `cbor:"Answer"`
}

// OrderReply is the answer to an order on the wire.
type OrderReply struct {
	Order  OrderID     `cbor:"1,keyasint"`
	Status OrderStatus `cbor:"2,keyasint"`
	Reason string      `cbor:"3,keyasint,omitempty"`
	Report LoadReport  `cbor:"4,keyasint"`
}

// ApplyOrder executes an order on the target. [OrderApplied] answers it.
type ApplyOrder struct{ Order Order }

// OrderApplied is the result of ApplyOrder.
type OrderApplied struct {
	Order  OrderID
	Status OrderStatus
	Reason string
}

// ReadTarget reads the target's state. [TargetRead] answers it.
type ReadTarget struct{ Call CallID }

// TargetRead is the state of the target as read from it.
type TargetRead struct {
	Call   CallID
	Status CallStatus
	Report LoadReport
	// Epoch is the highest fencing number that the target knows, where it
	// keeps one.
	Epoch Epoch
}

// TargetCrashed tells that the target went down; what ran on it is lost.
type TargetCrashed struct{}

// PublishReport sends a load report to the connected entries.
type PublishReport struct{ Report LoadReport }

func (AttemptOffered) event()    {}
func (SideAttemptEnded) event()  {}
func (EntryDisconnected) event() {}
func (OrderReceived) event()     {}
func (OrderApplied) event()      {}
func (TargetRead) event()        {}
func (TargetCrashed) event()     {}

func (RunAttempt) effect()     {}
func (RefuseAttempt) effect()  {}
func (StopAttempt) effect()    {}
func (SendOrderReply) effect() {}
func (ApplyOrder) effect()     {}
func (ReadTarget) effect()     {}
func (PublishReport) effect()  {}
