package msg

import (
	"strconv"
	"time"
)

// Kind names a kind of object in the platform's object API.
type Kind string

// Kinds of objects that the daemons store.
const (
	KindConfig Kind = "config"
	KindLease  Kind = "lease"
	// KindLedger holds the claims of requests with idempotency keys.
	KindLedger Kind = "ledger"
	KindUsage  Kind = "usage"
	// KindFleet holds one record for each pool, KindPoison the crash records of
	// requests, KindAudit the changes of the configuration, and KindDrain the
	// operators' drain requests.
	KindFleet  Kind = "fleet"
	KindPoison Kind = "poison"
	KindAudit  Kind = "audit"
	KindDrain  Kind = "drain"
	// KindEntry holds one object for each entry daemon, in deployments where the
	// platform has no host list.
	KindEntry Kind = "entry"
	// KindRuns holds each entry daemon's run counts by usage window, and
	// KindWindow the frozen windows, whose counts no longer change.
	KindRuns   Kind = "runs"
	KindWindow Kind = "window"
	// KindStreamVersions holds the record of the software versions at which streams may
	// have begun, and KindStreamOrigins, for each entry daemon, the versions at which the
	// streams began that callers may take up there.
	KindStreamVersions Kind = "stream-versions"
	KindStreamOrigins  Kind = "stream-origins"
)

// StoreEra counts how often the platform's store has lost writes that it had
// acknowledged, because it continued from an older copy of itself. Versions and
// revisions of different eras can't be compared: the store issues them again. Zero
// means that the store states no era.
type StoreEra uint64

// FirstStoreEra is the earliest era. A store need not begin with it.
const FirstStoreEra StoreEra = 1

// Name returns the name of an object that several daemons write, in this era. Each era
// has an object of its own, so that a write of a daemon that has not learnt of the era
// can't match a version that was given out again.
func (e StoreEra) Name(base string) string {
	if e <= FirstStoreEra {
		return base
	}
	return base + "@" + strconv.FormatUint(uint64(e), 10)
}

// StoreReachable reports that a call of the store has succeeded after a time in which all
// calls of this process had failed. What failed then may be tried again at once.
type StoreReachable struct{}

// StoreEraChanged reports that the store is in a later era than the process has seen
// before. What was written shortly before may be lost, also if it was acknowledged.
// Previous is zero if the process has not seen an era before.
type StoreEraChanged struct{ Era, Previous StoreEra }

// LostWrites reports whether the store has lost writes while the process was running.
func (ev StoreEraChanged) LostWrites() bool { return ev.Previous != 0 }

// Object is one object of the platform's object API.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	Value   []byte
	// Deleted marks an object that a watch reports as deleted.
	Deleted bool
}

// CallStatus is the result of a call to an external interface.
type CallStatus uint8

// Results of calls.
const (
	CallOK CallStatus = iota
	// CallConflict means that the call's condition did not hold. Nothing was
	// changed.
	CallConflict
	// CallNotFound means that the object does not exist.
	CallNotFound
	// CallRejected means that the interface rejected the call. Nothing was
	// changed.
	CallRejected
	// CallUnavailable means that the call certainly had no effect.
	CallUnavailable
	// CallUnknown means that the call may have had an effect.
	CallUnknown
)

// GetObject reads one object. The result is [GetDone].
type GetObject struct {
	Call CallID
	Kind Kind
	Name string
}

// ListObjects reads the objects of a kind whose names start with Prefix. The
// result is [ListDone].
type ListObjects struct {
	Call   CallID
	Kind   Kind
	Prefix string
	// AllowStale allows a response that is several seconds old, which is
	// cheaper.
	AllowStale bool `cbor:"MayLag"`
}

// PutObject writes one object if its version is still IfVersion. Zero means that
// the object must not exist. The result is [PutDone].
type PutObject struct {
	Call      CallID
	Kind      Kind
	Name      string
	Value     []byte
	IfVersion Version
	// NotAfter is the instant after which the driver no longer sends the call
	// but reports CallUnavailable. Zero means no limit.
	NotAfter Time
}

// DeleteObject deletes one object if its version is still IfVersion. The result
// is [PutDone].
type DeleteObject struct {
	Call      CallID
	Kind      Kind
	Name      string
	IfVersion Version
}

// WatchObjects waits for changes of objects of a kind after revision Since, for
// at most Wait. The result is [WatchDone].
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
	// Version is the object's new version if Status is CallOK.
	Version Version
}

// WatchDone is the result of WatchObjects. CallRejected means that the revision
// Since is too old to watch from, and the objects must be listed again.
type WatchDone struct {
	Call     CallID
	Status   CallStatus
	Objects  []Object
	Revision Revision
}

// HostKind is the kind of process that runs on a host.
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

// Host is one entry of the platform's host list.
type Host struct {
	Host   HostID
	Addr   string // IP address
	Domain FailureDomain
	Region Region
	Kind   HostKind
	State  HostState
}

// ListHosts reads the host list. The result is [HostsListed].
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

func (StoreEraChanged) event() {}
func (StoreReachable) event()  {}
func (GetDone) event()         {}
func (ListDone) event()        {}
func (PutDone) event()         {}
func (WatchDone) event()       {}
func (HostsListed) event()     {}
