package msg

import "time"

// In a deployment without side daemons, an entry daemon reads the routes and
// targets from the platform and sends each attempt to its target itself. This
// is the direct path. The types in this file are the configuration of the
// direct path, and the events and effects by which a daemon reads it.

// RetryMode states how often a target may run a request.
type RetryMode uint8

// Values of [RetryMode].
const (
	// RetryNever allows at most one run of a request.
	RetryNever RetryMode = iota
	// RetryIdempotent allows any number of runs.
	RetryIdempotent
	// RetryStream is the mode of event streams. It allows one run, or several
	// one after the other if the route's streams can be resumed.
	RetryStream
)

// ServiceID names a service of the direct path, which is a group of
// interchangeable targets: model engines or instances of a plain service. With
// side daemons, such a group is a pool, see [PoolID].
type ServiceID string

// ServiceShare is the share of a route's requests that goes to a service.
type ServiceShare struct {
	Service ServiceID
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// DirectRoute is one route of the operator's configuration.
type DirectRoute struct {
	Name RouteID
	// Host and Prefix select the route: of the routes of a host, the one with
	// the longest matching path prefix is used.
	Host, Prefix string
	Shares       []ServiceShare
	Retry        RetryMode `cbor:"Repeat"`
	// Resumable reports whether another target can continue a stream.
	Resumable bool
	// Public reports whether requests need no API key.
	Public bool
	// Attempts is the largest number of targets that may run one request.
	Attempts int
	// Timeout is the longest wait for a response. Objective is the latency
	// objective: a request has its full value if the first token, or the response
	// if it has no tokens, arrives within this time.
	Timeout, Objective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Pause is the longest pause between the events of a stream that is on time. Zero
	// means that the operator states none.
	Pause time.Duration
}

// DirectAccount is a client account with its keys.
type DirectAccount struct {
	Account AccountID
	Keys    []string
	// Priority overrides the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// Quota is nil if the account has none.
	Quota *AccountQuota
}

// DirectService describes the targets of a service.
type DirectService struct {
	Service ServiceID
	// MaxConns is the largest number of connections that a target accepts from
	// all callers together.
	MaxConns int
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// Engine is set if the targets are model engines.
	Engine *EngineSpec
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the largest batch size.
	Slots int
	// CacheTokens is the size of the KV cache in tokens, which running requests
	// and cached segments share.
	CacheTokens int
	// TokenBytes is the size of one token's entry in the KV cache, and LinkMbps
	// the bandwidth of an engine's link for transfers of the cache.
	TokenBytes, LinkMbps float64
	// HandleTTL is how long an engine keeps a prefilled prompt that no decode
	// step fetches.
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

// CallerLimits holds the limits on the requests of callers.
type CallerLimits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Instance is one target, as it registered itself at the platform.
type Instance struct {
	Target  TargetID
	Service ServiceID
	// Addr is the target's IP address and port.
	Addr     string
	Domain   FailureDomain
	Slots    int
	Draining bool
	// Role is the kind of work that an engine accepts. It is [RoleMixed] for
	// plain services.
	Role Role
	// StartedMS is the start time of the target's process in Unix milliseconds.
	// It distinguishes the successive processes of a target.
	StartedMS int64 `cbor:"Born"`
	// Version is the version of the target's software. It is empty if the target does
	// not state it.
	Version string
}

// State returns the target's state as shown in logs, metrics and lists.
func (in *Instance) State() string {
	if in.Draining {
		return "draining"
	}
	return "ready"
}

// DirectLimits holds the limits that the direct path enforces.
type DirectLimits struct {
	// AcceptMaxAge is the largest age of the configuration at which a key in it
	// may be accepted. The age counts from the moment at which the read of the
	// configuration was sent.
	AcceptMaxAge time.Duration `cbor:"FreshFor"`
	// RejectMaxAge is the largest age, counted likewise, at which a request may
	// be rejected because its route or key is unknown.
	RejectMaxAge time.Duration `cbor:"DecideFor"`
	// RetryRatio, RetryWindow and RetrySlack limit the retries at a service,
	// counted over all entry daemons. The first arrival of a request is not a
	// retry; each further arrival of it is. Within any window of length
	// RetryWindow there may be at most RetryRatio times as many retries as
	// requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOverage and QuotaSlack tell how far the use of an account may
	// exceed its quota: within any window of length QuotaWindow, it may use
	// 1+QuotaOverage times what the quota allows, plus QuotaSlack. Requests count as
	// they do for the quota.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// LimitsChanged carries the limits after a change of the settings.
type LimitsChanged struct{ Limits DirectLimits }

// ReadRoutes reads the configuration. The result is [RoutesRead].
type ReadRoutes struct{ Call CallID }

// RoutesRead is the result of ReadRoutes.
type RoutesRead struct {
	Call   CallID
	Status CallStatus
	// Sent is the instant at which the call was sent. The configuration in the
	// response was current then or later.
	Sent Time
	// Table is set with CallOK.
	Table *RouteTable
	// Era is the era of the store. It is zero if the store tells none.
	Era StoreEra
	// Reason describes the failure.
	Reason string
}

// ReadInstances reads the list of targets. The result is [InstancesRead].
type ReadInstances struct{ Call CallID }

// InstancesRead is the result of ReadInstances.
type InstancesRead struct {
	Call   CallID
	Status CallStatus
	Sent   Time
	// Era is the era of the store to which Revision belongs.
	Era       StoreEra
	Revision  Revision
	Instances []Instance
	// Invalid counts the entries that do not name a valid target, and
	// InvalidReason is the error of one of them.
	Invalid       int    `cbor:"Odd"`
	InvalidReason string `cbor:"OddReason"`
	Reason        string
}

// RoutesChanged is raised when a newer configuration takes effect in this
// daemon.
type RoutesChanged struct{ Table *RouteTable }

// RoutesConfirmed is raised when the configuration in force is confirmed to have
// been the newest at the instant At.
type RoutesConfirmed struct{ At Time }

// InstancesChanged is raised after each successful read of the list of
// targets, also if the list is unchanged.
type InstancesChanged struct{ Instances []Instance }

func (RoutesRead) event()       {}
func (InstancesRead) event()    {}
func (RoutesChanged) event()    {}
func (RoutesConfirmed) event()  {}
func (InstancesChanged) event() {}
func (LimitsChanged) event()    {}

func (ReadRoutes) effect()    {}
func (ReadInstances) effect() {}
