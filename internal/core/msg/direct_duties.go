package msg

import "time"

// ReportWindow reports the requests of a usage window. [WindowReported]
// answers it.
type ReportWindow struct {
	Call   CallID
	Holder HostID
	Epoch  Epoch
	Window int64
	Counts map[AccountID]int64
	// NotAfter is the instant after which the call must not leave.
	NotAfter Time
}

// WindowReported is the result of ReportWindow.
type WindowReported struct {
	Call   CallID
	Status CallStatus
	Reason string
}

// DecodeDemandUpdated is raised now and then with what the engines of a service are
// decoding, over all entry daemons.
type DecodeDemandUpdated struct {
	Service ServiceID
	// Streams are the running requests and Tokens the memory that they hold.
	Streams, Tokens int
}

// ChangeRole orders an engine to change its role. [RoleChangeDone] answers it.
type ChangeRole struct {
	Call   CallID
	Target TargetID
	Addr   string
	Role   Role
	Holder HostID
	Epoch  Epoch
	// NotAfter is the instant after which the order must not leave.
	NotAfter Time
}

// RoleChangeDone is the result of ChangeRole.
type RoleChangeDone struct {
	Call   CallID
	Status OrderStatus
	Reason string
}

// RoleChangePending is raised when a target is about to change its role. It takes
// no requests until the list shows the role, or for the given time at most.
type RoleChangePending struct {
	Target      TargetID
	Role        Role
	MaxDuration time.Duration `cbor:"For"`
}

func (WindowReported) event()      {}
func (DecodeDemandUpdated) event() {}
func (RoleChangeDone) event()      {}
func (RoleChangePending) event()   {}

func (ReportWindow) effect() {}
func (ChangeRole) effect()   {}
