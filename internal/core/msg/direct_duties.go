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

// DemandSeen is raised now and then with what the engines of a service are
// decoding, over all entry daemons.
type DemandSeen struct {
	Service ServiceID
	// Streams are the running requests and Tokens the memory that they hold.
	Streams, Tokens int
}

// OrderRole orders an engine to change its role. [RoleOrdered] answers it.
type OrderRole struct {
	Call   CallID
	Target TargetID
	Addr   string
	Role   Role
	Holder HostID
	Epoch  Epoch
	// NotAfter is the instant after which the order must not leave.
	NotAfter Time
}

// RoleOrdered is the result of OrderRole.
type RoleOrdered struct {
	Call   CallID
	Status OrderStatus
	Reason string
}

// TargetChanging is raised when a target is about to change its role. It takes
// no requests until the list shows the role, or for the given time at most.
type TargetChanging struct {
	Target TargetID
	Role   Role
	For    time.Duration
}

func (WindowReported) event() {}
func (DemandSeen) event()     {}
func (RoleOrdered) event()    {}
func (TargetChanging) event() {}

func (ReportWindow) effect() {}
func (OrderRole) effect()    {}
