package msg

import "time"

// PromptSegment is a part of a prompt that other requests may share.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// DirectRequestArrived is a caller's request, read whole. The body stays with the
// driver.
type DirectRequestArrived struct {
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
	Segments                []PromptSegment `cbor:"Parts"`
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

// DirectAttemptSpec describes an attempt.
type DirectAttemptSpec struct {
	Step    DirectStep
	Target  TargetID
	Addr    string
	Service ServiceID
	Retry   RetryMode `cbor:"Repeat"`
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

// StartDirectAttempt runs an attempt. [DirectAttemptEnded] answers it.
type StartDirectAttempt struct {
	Req     RequestID
	Attempt AttemptID
	Spec    DirectAttemptSpec
}

// DirectAttemptStarted tells that a target certainly began to run an attempt.
type DirectAttemptStarted struct{ Attempt AttemptID }

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
	// DirectUnreachable means that no connection could be made; it did not run.
	DirectUnreachable
	// DirectFailed means that the target ran it and reported an error, which
	// the driver holds to be passed on.
	DirectFailed
	// DirectInterrupted means that the answer broke off; it may have run.
	DirectInterrupted
	// DirectCancelled means that it was stopped on request.
	DirectCancelled
)

// String returns the result's name in logs.
func (r DirectResult) String() string {
	return [...]string{"done", "prefilled", "not-run", "unreached", "failed", "broken", "cancelled"}[r]
}

// TargetLoad is the load that an answer told.
type TargetLoad struct{ Running, Waiting, Slots int }

// DirectAttemptEnded is the end of a direct attempt.
type DirectAttemptEnded struct {
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

// ForwardFailure ends a request with the failure that its target answered.
type ForwardFailure struct{ Req RequestID }

// ReadCache reads what an engine holds. [CacheRead] answers it.
type ReadCache struct {
	Call   CallID
	Target TargetID
	Addr   string
}

// CacheRead is the result of ReadCache.
type CacheRead struct {
	Call     CallID
	Status   CallStatus
	Target   TargetID
	Segments []PromptSegment `cbor:"Parts"`
}

// FreeHandle frees a prefilled prompt that nobody will take.
type FreeHandle struct{ Addr, Handle string }

// RunCounted is raised when a target began to run a request of a client
// account.
type RunCounted struct {
	Account AccountID
	Wall    time.Time
}

// DirectRequestResult says how a request of the direct path ended.
type DirectRequestResult uint8

// Ends of requests.
const (
	// EndAnswered means that the caller has the whole answer.
	EndAnswered DirectRequestResult = iota
	// EndFailure means that the caller has a target's failure.
	EndFailure
	// EndRefused means that the caller was told that it is not served.
	EndRefused
	// EndAborted means that the answer broke off.
	EndAborted
	// EndCallerDisconnected means that the caller left.
	EndCallerDisconnected
)

// String returns the end's name in metrics.
func (e DirectRequestResult) String() string {
	return [...]string{"answered", "failure", "refused", "aborted", "left"}[e]
}

// DirectRequestEnded is raised when a request is over.
type DirectRequestEnded struct {
	Req RequestID
	End DirectRequestResult
	// Code tells why it was not served; empty otherwise.
	Code string
	// Waited is the time from its arrival.
	Waited time.Duration
}

// FirstTokenReceived is raised when a stream's first token has come.
type FirstTokenReceived struct {
	Route RouteID
	// Waited is the time from the request's arrival.
	Waited time.Duration
}

// SetReady tells the platform's balancer whether this daemon takes requests.
type SetReady struct{ Ready bool }

// SetCallerLimits tells the driver what callers may send.
type SetCallerLimits struct{ Limits CallerLimits }

func (DirectRequestArrived) event() {}
func (DirectAttemptStarted) event() {}
func (DirectAttemptEnded) event()   {}
func (RunCounted) event()           {}
func (CacheRead) event()            {}
func (DirectRequestEnded) event()   {}
func (FirstTokenReceived) event()   {}

func (StartDirectAttempt) effect() {}
func (ForwardFailure) effect()     {}
func (FreeHandle) effect()         {}
func (SetReady) effect()           {}
func (SetCallerLimits) effect()    {}
func (ReadCache) effect()          {}
