package msg

import "time"

// Time is an instant on a process's monotonic clock, given as the duration since
// that process started. Times of different processes must not be compared.
type Time = time.Duration

// Identifiers. Each is unique within one deployment.
type (
	// HostID names a host, which runs one daemon at a time.
	HostID string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region, which holds one or more failure domains.
	Region string
	// AccountID names a client account.
	AccountID string
	// TargetID names a target: a model engine or an instance of a plain service.
	TargetID string
	// PoolID names a pool, which is a group of interchangeable targets with side
	// daemons. Without side daemons, such a group is a service, see [ServiceID].
	PoolID string
	// RouteID names a route of the manifest.
	RouteID string
	// RequestID names one request of a caller.
	RequestID string
	// AttemptID names one attempt to run a request on a target.
	AttemptID string
	// OrderID names one order to a target. See [Order].
	OrderID string
	// LeaseName names a lease object.
	LeaseName string
	// Incarnation distinguishes the successive processes on a host.
	Incarnation string
)

// Counters that only increase.
type (
	// Generation numbers the accepted configurations.
	Generation uint64
	// Epoch is the fencing number of a lease. It increases with each
	// acquisition.
	Epoch uint64
	// Version is the version of one object in the platform's object API.
	// Zero means that the object does not exist.
	Version uint64
	// Revision is a position in the object API's sequence of changes.
	Revision uint64
	// CallID correlates an effect that calls an external interface with the
	// event that carries the result. It is unique within one process.
	CallID uint64
)

// BlockHash identifies a prefix of a prompt whose length is a multiple of the
// cache block size (about 2,000 tokens). The hash covers the last block of the
// prefix and all blocks before it.
type BlockHash uint64

// Role is the kind of work that an engine is set up for.
type Role uint8

// Roles of an engine.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// String returns the role's name in manifests and logs.
func (r Role) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	default:
		return "mixed"
	}
}

// Class is the priority class of a request, which determines how long it may
// wait. A lower value is served first.
type Class uint8

// Classes of requests.
const (
	ClassUrgent Class = iota
	ClassOrdinary
	ClassMayWait
)

// String returns the class's name in manifests and logs.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassOrdinary:
		return "ordinary"
	default:
		return "may-wait"
	}
}

// Outcome reports to a caller whether a request ran.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// OutcomeRun means that the request ran.
	OutcomeRun
)

// String returns the outcome as it is reported to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRun:
		return "run"
	default:
		return "unknown"
	}
}
