package msg

import "time"

// Kind names a kind of object in the platform's object API.
type Kind string

// Kinds of objects that the system keeps.
const (
	KindConfig Kind = "config"
	KindLease  Kind = "lease"
	KindLedger Kind = "ledger"
	KindUsage  Kind = "usage"
	KindFleet  Kind = "fleet"
	KindPoison Kind = "poison"
	KindAudit  Kind = "audit"
	KindDrain  Kind = "drain"
	// KindEntry holds one object for each entry daemon without a host list.
	KindEntry Kind = "entry"
	// KindRuns holds each entry daemon's runs by window, and KindWindow the
	// frozen windows.
	KindRuns   Kind = "runs"
	KindWindow Kind = "window"
)

// Object is one object of the platform's object API.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	Value   []byte
	// Deleted marks an object that a watch reports as gone.
	Deleted bool
}

// CallStatus is the result of a call to an outside interface.
type CallStatus uint8

// Results of calls.
const (
	CallOK CallStatus = iota
	// CallConflict means that the condition did not hold; nothing was changed.
	CallConflict
	// CallNotFound means that the object does not exist.
	CallNotFound
	// CallRejected means that the interface refused the call; nothing was changed.
	CallRejected
	// CallUnavailable means that the call certainly had no effect.
	CallUnavailable
	// CallUnknown means that the call may have had an effect.
	CallUnknown
)

// GetObject reads one object. [GetDone] answers it.
type GetObject struct {
	Call CallID
	Kind Kind
	Name string
}

// ListObjects reads the objects of a kind whose names start with Prefix.
// [ListDone] answers it.
type ListObjects struct {
	Call   CallID
	Kind   Kind
	Prefix string
	// AllowStale allows an answer that is some seconds old, which costs less.
	AllowStale bool `cbor:"MayLag"`
}

// PutObject writes one object if its version is still IfVersion; zero means
// that the object must not exist. [PutDone] answers it.
type PutObject struct {
	Call      CallID
	Kind      Kind
	Name      string
	Value     []byte
	IfVersion Version
	// NotAfter is the instant after which the driver no longer sends the
	// call and answers CallUnavailable. Zero means no limit.
	NotAfter Time
}

// DeleteObject removes one object if its version is still IfVersion.
// [PutDone] answers it.
type DeleteObject struct {
	Call      CallID
	Kind      Kind
	Name      string
	IfVersion Version
}

// WatchObjects waits for changes of a kind after Since, for at most Wait.
// [WatchDone] answers it.
type WatchObjects struct {
	Call  CallID
	Kind  Kind
	Since Revision
	Wait  time.Duration
}

// GetDone is the result of GetObject.
type GetDone struct {
	Call   CallID
	Status CallStatus
	Object Object
}

// ListDone is the result of ListObjects.
type ListDone struct {
	Call     CallID
	Status   CallStatus
	Objects  []Object
	Revision Revision
}

// PutDone is the result of PutObject and DeleteObject.
type PutDone struct {
	Call   CallID
	Status CallStatus
	// Version is the object's new version where Status is CallOK.
	Version Version
}

// WatchDone is the result of WatchObjects. With CallRejected the position is
// too old: list again.
type WatchDone struct {
	Call     CallID
	Status   CallStatus
	Objects  []Object
	Revision Revision
}

// HostKind says what runs on a host.
type HostKind uint8

// Kinds of hosts.
const (
	HostEntry HostKind = iota
	HostTarget
)

// HostState is a host's state in the platform's host list.
type HostState uint8

// States of hosts.
const (
	HostLive HostState = iota
	HostLeaving
)

// Host is one line of the platform's host list.
type Host struct {
	Host   HostID
	Addr   string // IP address
	Domain FailureDomain
	Region Region
	Kind   HostKind
	State  HostState
}

// ListHosts reads the host list. [HostsListed] answers it.
type ListHosts struct{ Call CallID }

// HostsListed is the result of ListHosts.
type HostsListed struct {
	Call   CallID
	Status CallStatus
	Hosts  []Host
}

func (GetObject) effect()    {}
func (ListObjects) effect()  {}
func (PutObject) effect()    {}
func (DeleteObject) effect() {}
func (WatchObjects) effect() {}
func (ListHosts) effect()    {}

func (GetDone) event()     {}
func (ListDone) event()    {}
func (PutDone) event()     {}
func (WatchDone) event()   {}
func (HostsListed) event() {}
