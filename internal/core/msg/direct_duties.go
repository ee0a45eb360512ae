package msg

import "time"

// ReportWindow reports the requests of a usage window to the platform. The
// result is [WindowReported]. Holder and Epoch are those of the lease under
// which the call is sent. Window is the number of the window, which is its
// start in Unix time divided by its length.
type ReportWindow struct {
	Call   CallID
	Holder HostID
	Epoch  Epoch
	Window int64
	Counts map[AccountID]int64
	// NotAfter is the instant after which the call must not be sent.
	NotAfter Time
}

// WindowReported is the result of ReportWindow.
type WindowReported struct {
	Call   CallID
	Status CallStatus
	Reason string
}

// DecodeDemandUpdated is raised periodically with the load of the decode engines
// of a service, summed over all entry daemons.
type DecodeDemandUpdated struct {
	Service ServiceID
	// Streams counts the running requests, and Tokens the tokens of KV cache
	// that they occupy.
	Streams, Tokens int
}

// ChangeRole orders an engine to change its role. The result is
// [RoleChangeDone]. Holder and Epoch are those of the lease under which the
// order is sent.
type ChangeRole struct {
	Call   CallID
	Target TargetID
	Addr   string
	Role   Role
	Holder HostID
	Epoch  Epoch
	// NotAfter is the instant after which the order must not be sent.
	NotAfter Time
}

// RoleChangeDone is the result of ChangeRole.
type RoleChangeDone struct {
	Call   CallID
	Status OrderStatus
	Reason string
}

// RoleChangePending is raised when a target is about to change its role. The
// target is sent no requests until the list of targets shows the new role or
// MaxDuration has passed.
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
