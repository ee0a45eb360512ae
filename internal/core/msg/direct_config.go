package msg

import "time"

// An entry daemon without side daemons drives its targets itself: it reads
// routes and targets from the platform and sends each attempt directly. The
// types in this file are that path's events and effects.

// RetryMode says how often a request may run.
type RetryMode uint8

// Values of [RetryMode].
const (
	// RetryNever allows one run for each request.
	RetryNever RetryMode = iota
	// RetryIdempotent allows any number of runs.
	RetryIdempotent
	// RetryStream is an event stream: one run, or several one after the other
	// where the route's streams may be resumed.
	RetryStream
)

// ServiceID names a service: a pool of like targets.
type ServiceID string

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service ServiceID
	// Weight is relative to the route's other shares.
	Weight float64
}

// DirectRoute is one route of the operator's configuration.
type DirectRoute struct {
	Name RouteID
	// Host and Prefix select the route: the longest prefix of a host wins.
	Host, Prefix string
	Shares       []ServiceShare
	Retry        RetryMode `cbor:"Repeat"`
	// Resumable says that a stream may go on at another target.
	Resumable bool
	// Public says that no key is needed.
	Public bool
	// Attempts bounds the targets that may run one request.
	Attempts int
	// Timeout bounds the wait for an answer and Objective is the time to the
	// first token, or the answer, at which a request earns its full worth.
	Timeout, Objective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
}

// DirectAccount is a client account with its keys.
type DirectAccount struct {
	Account AccountID
	Keys    []string
	// Priority replaces a route's priority where HasPriority is set.
	Priority    int
	HasPriority bool
}

// DirectService describes the targets of a service.
type DirectService struct {
	Service ServiceID
	// MaxConns bounds the connections that a target takes from all callers.
	MaxConns int
	// Engine is set for model engines.
	Engine *EngineSpec
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the largest batch.
	Slots int
	// CacheTokens is the memory for running requests and cached parts.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache, and LinkMbps the rate
	// of an engine's link for it.
	TokenBytes, LinkMbps float64
	// HandleTTL is how long an engine keeps a prefilled prompt that nobody takes.
	HandleTTL time.Duration
}

// RouteTable is the operator's configuration.
type RouteTable struct {
	Version  uint64
	Routes   []DirectRoute
	Accounts []DirectAccount
	Services []DirectService
	Limits   CallerLimits
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Instance is one target as it registered itself.
type Instance struct {
	Target  TargetID
	Service ServiceID
	// Addr is the target's IP address and port.
	Addr     string
	Domain   FailureDomain
	Slots    int
	Draining bool
	// Role is the work that an engine takes; [RoleMixed] for plain services.
	Role Role
	// StartedMS distinguishes the lives of a target, in Unix milliseconds.
	StartedMS int64 `cbor:"Born"`
}

// State is the target's state in logs, metrics and lists.
func (in *Instance) State() string {
	if in.Draining {
		return "draining"
	}
	return "ready"
}

// DirectLimits holds the limits to which the direct path keeps.
type DirectLimits struct {
	// AcceptMaxAge is how long after a read of the configuration left a key that
	// it holds may be accepted.
	AcceptMaxAge time.Duration `cbor:"FreshFor"`
	// RejectMaxAge is how long after it a request may be answered as unknown or
	// unauthorized.
	RejectMaxAge time.Duration `cbor:"DecideFor"`
	// RetryRatio, RetryWindow and RetrySlack bound the arrivals at a service
	// beyond the first of each request, over all entry daemons.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// LimitsChanged brings the limits of changed settings.
type LimitsChanged struct{ Limits DirectLimits }

// ReadRoutes reads the configuration. [RoutesRead] answers it.
type ReadRoutes struct{ Call CallID }

// RoutesRead is the result of ReadRoutes.
type RoutesRead struct {
	Call   CallID
	Status CallStatus
	// Sent is when the call left: the configuration is not older.
	Sent Time
	// Table is set with CallOK.
	Table *RouteTable
	// Reason tells what failed.
	Reason string
}

// ReadInstances reads the list of targets. [InstancesRead] answers it.
type ReadInstances struct{ Call CallID }

// InstancesRead is the result of ReadInstances.
type InstancesRead struct {
	Call      CallID
	Status    CallStatus
	Sent      Time
	Revision  Revision
	Instances []Instance
	// Invalid counts the entries that name no target, and OddReason explains one.
	Invalid       int    `cbor:"Odd"`
	InvalidReason string `cbor:"OddReason"`
	Reason        string
}

// RoutesChanged is raised when a newer configuration took effect here.
type RoutesChanged struct{ Table *RouteTable }

// RoutesConfirmed is raised when the configuration was confirmed to be the newest
// at the given instant.
type RoutesConfirmed struct{ At Time }

// InstancesChanged is raised with each list of targets that was read.
type InstancesChanged struct{ Instances []Instance }

func (RoutesRead) event()       {}
func (InstancesRead) event()    {}
func (RoutesChanged) event()    {}
func (RoutesConfirmed) event()  {}
func (InstancesChanged) event() {}
func (LimitsChanged) event()    {}

func (ReadRoutes) effect()    {}
func (ReadInstances) effect() {}
