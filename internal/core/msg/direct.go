package msg

import "time"

// An entry daemon without side daemons drives its targets itself: it reads
// routes and targets from the platform and sends each attempt directly. The
// types in this file are that path's events and effects.

// Repeat says how often a request may run.
type Repeat uint8

// Values of [Repeat].
const (
	// RepeatNever allows one run for each request.
	RepeatNever Repeat = iota
	// RepeatSafe allows any number of runs.
	RepeatSafe
	// RepeatStream is an event stream: one run, or several one after the other
	// where the route's streams may be resumed.
	RepeatStream
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
	Repeat       Repeat
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
	// Born distinguishes the lives of a target, in Unix milliseconds.
	Born int64
}

// DirectLimits holds the limits to which the direct path keeps.
type DirectLimits struct {
	// FreshFor is how long after a read of the configuration left a key that
	// it holds may be accepted.
	FreshFor time.Duration
	// DecideFor is how long after it a request may be answered as unknown or
	// unauthorized.
	DecideFor time.Duration
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
	// Odd counts the entries that name no target, and OddReason explains one.
	Odd       int
	OddReason string
	Reason    string
}

// RoutesChanged is raised when a newer configuration took effect here.
type RoutesChanged struct{ Table *RouteTable }

// RoutesFresh is raised when the configuration was confirmed to be the newest
// at the given instant.
type RoutesFresh struct{ At Time }

// InstancesChanged is raised with each list of targets that was read.
type InstancesChanged struct{ Instances []Instance }

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// DirectArrived is a caller's request, read whole. The body stays with the
// driver.
type DirectArrived struct {
	Req RequestID
	// CallerID is the caller's own id of the request, for logs.
	CallerID     string
	Host, Method string
	Path         string
	Key          string
	// BodyHash identifies the body.
	BodyHash uint64
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
	// LastEvent is the last event of a stream that the caller already has.
	LastEvent int64
	// PromptTokens and MaxTokens are the sizes of a generation.
	PromptTokens, MaxTokens int
	Parts                   []PromptPart
}

// DirectStep says what an attempt asks of its target.
type DirectStep uint8

// Steps of a request.
const (
	// StepWhole runs the whole request.
	StepWhole DirectStep = iota
	// StepPrefill reads the prompt only; it is not a run.
	StepPrefill
	// StepDecode runs the request from a prompt read elsewhere.
	StepDecode
)

// String returns the step's name in logs.
func (s DirectStep) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// DirectSpec describes an attempt.
type DirectSpec struct {
	Step    DirectStep
	Target  TargetID
	Addr    string
	Service ServiceID
	Repeat  Repeat
	Account AccountID
	// Deadline is when the target is to stop.
	Deadline Time
	// Priority is the engine's rank of the attempt; 0 is first, negative none.
	Priority int
	// CacheFrom is the address of a target that has a longer prefix cached.
	CacheFrom string
	// Handle names the KV cache that StepDecode goes on from, at HandleAddr.
	Handle, HandleAddr string
	// LastEvent resumes a stream after this event.
	LastEvent int64
}

// StartDirect runs an attempt. [DirectEnded] answers it.
type StartDirect struct {
	Req     RequestID
	Attempt AttemptID
	Spec    DirectSpec
}

// DirectBegan tells that a target certainly began to run an attempt.
type DirectBegan struct{ Attempt AttemptID }

// DirectResult says how a direct attempt ended.
type DirectResult uint8

// Results of direct attempts.
const (
	// DirectDone means that the whole answer reached the caller's side.
	DirectDone DirectResult = iota
	// DirectPrefilled means that the prompt was read; Handle names it.
	DirectPrefilled
	// DirectNotRun means that the target certainly did not run it.
	DirectNotRun
	// DirectUnreached means that no connection could be made; it did not run.
	DirectUnreached
	// DirectFailed means that the target ran it and reported an error, which
	// the driver holds to be passed on.
	DirectFailed
	// DirectBroken means that the answer broke off; it may have run.
	DirectBroken
	// DirectCancelled means that it was stopped on request.
	DirectCancelled
)

// String returns the result's name in logs.
func (r DirectResult) String() string {
	return [...]string{"done", "prefilled", "not-run", "unreached", "failed", "broken", "cancelled"}[r]
}

// TargetLoad is the load that an answer told.
type TargetLoad struct{ Running, Waiting, Slots int }

// DirectEnded is the end of a direct attempt.
type DirectEnded struct {
	Attempt AttemptID
	Result  DirectResult
	Reason  string
	// Status is the HTTP status of the target's answer; zero without one.
	Status int
	Handle string
	// Misdirected says that another target than the one meant did not run it.
	Misdirected bool
	// LastEvent is the last whole event that the caller has.
	LastEvent int64
	// Streaming says that the caller has a part of the answer.
	Streaming bool
	Load      *TargetLoad
}

// PassAnswer ends a request with the failure that its target answered.
type PassAnswer struct{ Req RequestID }

// ReadCache reads what an engine holds. [CacheRead] answers it.
type ReadCache struct {
	Call   CallID
	Target TargetID
	Addr   string
}

// CacheRead is the result of ReadCache.
type CacheRead struct {
	Call   CallID
	Status CallStatus
	Target TargetID
	Parts  []PromptPart
}

// FreeHandle frees a prefilled prompt that nobody will take.
type FreeHandle struct{ Addr, Handle string }

// RunCounted is raised when a target began to run a request of a client
// account.
type RunCounted struct {
	Account AccountID
	Wall    time.Time
}

// RequestEnd says how a request of the direct path ended.
type RequestEnd uint8

// Ends of requests.
const (
	// EndAnswered means that the caller has the whole answer.
	EndAnswered RequestEnd = iota
	// EndFailure means that the caller has a target's failure.
	EndFailure
	// EndRefused means that the caller was told that it is not served.
	EndRefused
	// EndAborted means that the answer broke off.
	EndAborted
	// EndLeft means that the caller left.
	EndLeft
)

// String returns the end's name in metrics.
func (e RequestEnd) String() string {
	return [...]string{"answered", "failure", "refused", "aborted", "left"}[e]
}

// DirectClosed is raised when a request is over.
type DirectClosed struct {
	Req RequestID
	End RequestEnd
	// Code tells why it was not served; empty otherwise.
	Code string
	// Waited is the time from its arrival.
	Waited time.Duration
}

// FirstToken is raised when a stream's first token has come.
type FirstToken struct {
	Route RouteID
	// Waited is the time from the request's arrival.
	Waited time.Duration
}

// SetReady tells the platform's balancer whether this daemon takes requests.
type SetReady struct{ Ready bool }

// SetCallerLimits tells the driver what callers may send.
type SetCallerLimits struct{ Limits CallerLimits }

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

// LoadDigest tells the other entry daemons what this one has open.
type LoadDigest struct {
	// WallMS is the sender's wall clock in Unix milliseconds, as its start set
	// it.
	WallMS  int64          `cbor:"4,keyasint"`
	Targets []TargetDigest `cbor:"1,keyasint,omitempty"`
	// Cached lists the prompt parts that targets came to hold.
	Cached []CachedPart `cbor:"2,keyasint,omitempty"`
	// Changing lists the targets that change their role.
	Changing []ChangingTarget `cbor:"3,keyasint,omitempty"`
}

// ChangingTarget is a target that changes to a role and takes no requests for
// some milliseconds at most.
type ChangingTarget struct {
	Target TargetID `cbor:"1,keyasint"`
	MS     int64    `cbor:"2,keyasint"`
	Role   Role     `cbor:"3,keyasint"`
}

// WorkSent tells the other entry daemons of prompt reading that was just sent
// to a target. The next [LoadDigest] counts it too.
type WorkSent struct {
	Target TargetID `cbor:"1,keyasint"`
	// WorkMS is the expected time of reading in milliseconds.
	WorkMS float32 `cbor:"2,keyasint"`
}

// RunCounts tells the sender's runs by usage window, for daemons that may have
// to report them when the platform can't be reached by the sender.
type RunCounts struct {
	Windows []WindowRuns `cbor:"1,keyasint"`
	// Through is the last window whose counts are complete.
	Through int64 `cbor:"2,keyasint"`
}

// WindowRuns counts the runs of a window by client account.
type WindowRuns struct {
	Window int64               `cbor:"1,keyasint"`
	Counts map[AccountID]int64 `cbor:"2,keyasint"`
}

// TargetDigest is one daemon's work at a target.
type TargetDigest struct {
	Target TargetID `cbor:"1,keyasint"`
	// BacklogMS is the prefill work in milliseconds.
	BacklogMS float32 `cbor:"2,keyasint"`
	Open      int     `cbor:"3,keyasint"`
	// Running counts those that are decoding, and Tokens their memory.
	Running int `cbor:"4,keyasint"`
	Tokens  int `cbor:"5,keyasint"`
	// LateMS is how far an attempt's first token is overdue, or how long the
	// daemon leaves the target alone, in milliseconds.
	LateMS float32 `cbor:"6,keyasint,omitempty"`
}

// CachedPart tells that a target holds a part of prompts.
type CachedPart struct {
	Target TargetID `cbor:"1,keyasint"`
	Part   uint64   `cbor:"2,keyasint"`
	Tokens int      `cbor:"3,keyasint"`
}

func (RoutesRead) event()       {}
func (InstancesRead) event()    {}
func (RoutesChanged) event()    {}
func (RoutesFresh) event()      {}
func (InstancesChanged) event() {}
func (DirectArrived) event()    {}
func (DirectBegan) event()      {}
func (DirectEnded) event()      {}
func (WindowReported) event()   {}
func (RunCounted) event()       {}
func (LimitsChanged) event()    {}
func (DemandSeen) event()       {}
func (RoleOrdered) event()      {}
func (TargetChanging) event()   {}
func (CacheRead) event()        {}
func (DirectClosed) event()     {}
func (FirstToken) event()       {}

func (ReadRoutes) effect()      {}
func (ReadInstances) effect()   {}
func (StartDirect) effect()     {}
func (PassAnswer) effect()      {}
func (FreeHandle) effect()      {}
func (SetReady) effect()        {}
func (SetCallerLimits) effect() {}
func (ReportWindow) effect()    {}
func (OrderRole) effect()       {}
func (ReadCache) effect()       {}

func (LoadDigest) peerMessage() {}
func (WorkSent) peerMessage()   {}
func (RunCounts) peerMessage()  {}
