package msg

import "time"

// AttemptOffered asks a side daemon to run an attempt.
type AttemptOffered struct {
	From HostID
	Spec AttemptSpec
}

// RunAttempt starts an offered attempt on the target. The frames of its
// response are sent to the entry daemon that offered the attempt.
type RunAttempt struct{ Spec AttemptSpec }

// RefuseAttempt reports to the entry daemon that its offer was refused. The
// attempt did not run, unless MayHaveRun is set.
type RefuseAttempt struct {
	Attempt    AttemptID
	Code       string
	Reason     string
	RetryAfter time.Duration
	// MayHaveRun reports that an earlier offer of the same attempt was
	// accepted.
	MayHaveRun bool
}

// StopAttempt stops a running attempt. If Move is set, the entry daemon is
// instructed to continue it on another target.
type StopAttempt struct {
	Attempt AttemptID
	Move    bool
	Reason  string
}

// SideAttemptEnded reports that an attempt has ended on the side daemon.
type SideAttemptEnded struct {
	Attempt AttemptID
	Result  AttemptResult
	Usage   TokenUsage
}

// EntryDisconnected reports to a side daemon that the connection of an entry
// daemon has closed. The entry daemon's attempts may be resumed on another
// connection.
type EntryDisconnected struct{ Host HostID }

// OrderReceived is an order from an entry daemon that holds, or held, the lease.
type OrderReceived struct {
	From  HostID
	Order Order
}

// SendOrderReply sends the reply to an order to the host that sent the order.
type SendOrderReply struct {
	To    HostID
	Reply OrderReply `cbor:"Answer"`
}

// OrderReply is the reply to an order, as sent on the wire.
type OrderReply struct {
	Order  OrderID     `cbor:"1,keyasint"`
	Status OrderStatus `cbor:"2,keyasint"`
	Reason string      `cbor:"3,keyasint,omitempty"`
	Report LoadReport  `cbor:"4,keyasint"`
}

// ApplyOrder executes an order on the target. The result is [OrderApplied].
type ApplyOrder struct{ Order Order }

// OrderApplied is the result of ApplyOrder.
type OrderApplied struct {
	Order  OrderID
	Status OrderStatus
	Reason string
}

// ReadTarget reads the target's state. The result is [TargetRead].
type ReadTarget struct{ Call CallID }

// TargetRead is the result of ReadTarget.
type TargetRead struct {
	Call   CallID
	Status CallStatus
	Report LoadReport
	// Epoch is the highest fencing number that the target has recorded, if it
	// records any.
	Epoch Epoch
}

// TargetCrashed reports that the target went down. The attempts that ran on it
// are lost.
type TargetCrashed struct{}

// PublishReport sends a load report to the connected entry daemons.
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
