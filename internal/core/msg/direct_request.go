package msg

import "time"

// PromptSegment is one of the parts into which a prompt of the direct path is
// divided. Its length varies, unlike that of the cache blocks of a
// [BlockHash]. Other requests may have the same segments in their prompts.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// DirectRequestArrived is a caller's request that has been read completely. The
// driver keeps the body.
type DirectRequestArrived struct {
	Req RequestID
	// CallerID is the caller's own ID of the request, for logs.
	CallerID     string
	Host, Method string
	Path         string
	Key          string
	// BodyHash is a hash that identifies the body.
	BodyHash uint64
	// Timeout is how long the caller waits for the response. It is zero if the
	// caller did not state a timeout.
	Timeout time.Duration
	// LastEvent is the number of the last event that the caller has already
	// received, if the request resumes a stream.
	LastEvent int64
	// Resumes is the caller's ID of the request that brought the first event of the
	// stream that this one resumes. It is empty if the caller does not state it.
	Resumes string
	// PromptTokens is the length of the prompt, and MaxTokens the largest
	// number of tokens to generate.
	PromptTokens, MaxTokens int
	Segments                []PromptSegment `cbor:"Parts"`
}

// DirectStep is the part of a request's work that an attempt asks its target to
// do.
type DirectStep uint8

// Steps of a request.
const (
	// StepWhole runs the whole request.
	StepWhole DirectStep = iota
	// StepPrefill processes the prompt only. It does not count as a run.
	StepPrefill
	// StepDecode runs the request from a prompt that another target has
	// prefilled.
	StepDecode
)

// String returns the step's name in logs.
func (s DirectStep) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// DirectAttemptSpec describes an attempt of the direct path.
type DirectAttemptSpec struct {
	Step    DirectStep
	Target  TargetID
	Addr    string
	Service ServiceID
	Retry   RetryMode `cbor:"Repeat"`
	Account AccountID
	// Deadline is the instant at which the target must stop.
	Deadline Time
	// Priority is the priority of the attempt at the engine: 0 is the highest.
	// A negative value means none.
	Priority int
	// CacheFrom is the address of a target that has a longer prefix of the prompt
	// in its cache than Target.
	CacheFrom string
	// Handle names the prefilled KV cache from which StepDecode continues.
	// HandleAddr is the address of the target that holds it.
	Handle, HandleAddr string
	// LastEvent is the number of the event after which a stream is resumed.
	LastEvent int64
	// StallTimeout is the time without a whole event after which a stream counts as
	// interrupted. Zero means no limit but the deadline.
	StallTimeout time.Duration
	// Process is the start time of the target's process that the attempt is meant for. Zero
	// means that any may serve it.
	Process int64
	// Patient reports that the request can't run elsewhere after this attempt, so that
	// silence of the target's host is no reason to end it before its deadline.
	Patient bool
}

// StartDirectAttempt runs an attempt. The result is [DirectAttemptEnded].
type StartDirectAttempt struct {
	Req     RequestID
	Attempt AttemptID
	Spec    DirectAttemptSpec
}

// DirectAttemptStarted reports that the first event of a stream has arrived, so that the
// target has certainly begun to run the attempt.
type DirectAttemptStarted struct {
	Attempt AttemptID
	// Notice is what the target stated in the head of its response, and Load the load
	// that it reported there, if any.
	Notice *TargetNotice
	Load   *TargetLoad
}

// DirectBodyStarted reports that a body is passed on to the caller before all of it has
// arrived. The fields are those of [DirectAttemptStarted].
type DirectBodyStarted struct {
	Attempt AttemptID
	Notice  *TargetNotice
	Load    *TargetLoad
}

// DirectResult is the result of an attempt of the direct path.
type DirectResult uint8

// Results of direct attempts.
const (
	// DirectDone means that the whole response was passed on to the caller.
	DirectDone DirectResult = iota
	// DirectPrefilled means that the prompt was prefilled. Handle names the
	// resulting KV cache.
	DirectPrefilled
	// DirectNotRun means that the target certainly did not run the attempt.
	DirectNotRun
	// DirectUnreachable means that no connection to the target could be opened,
	// so that it did not run the attempt.
	DirectUnreachable
	// DirectFailed means that the target ran the attempt and reported an error.
	// The driver keeps the error response for [ForwardFailure].
	DirectFailed
	// DirectInterrupted means that the response was cut short. The target may
	// have run the attempt.
	DirectInterrupted
	// DirectCancelled means that the attempt was stopped on request.
	DirectCancelled
	// DirectNotSent means that the attempt was not sent: another process of the target
	// than the one that it was meant for is at its address, or the target did not say
	// which.
	DirectNotSent
)

// String returns the result's name in logs.
func (r DirectResult) String() string {
	return [...]string{"done", "prefilled", "not-run", "unreached", "failed", "broken", "cancelled", "not-sent"}[r]
}

// TargetLoad is the load that a target reports with its response.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Pace is the factor by which work takes longer on the target's host at this moment
	// than it usually does there. Zero means that the target reported none.
	Pace float64
}

// ResponseState states what of the response to a request has been passed on to its
// caller.
type ResponseState uint8

// States of a response.
const (
	// ResponseNone means that nothing has been passed on.
	ResponseNone ResponseState = iota
	// ResponseStream means that the head and possibly some events of a stream have been
	// passed on. Another attempt may continue with the next event.
	ResponseStream
	// ResponseBody means that the head and possibly a part of a body have been passed on.
	// Only the attempt that began it has the rest.
	ResponseBody
)

// String returns the state's name in logs.
func (s ResponseState) String() string { return [...]string{"none", "stream", "body"}[s] }

// DirectAttemptEnded reports the end of an attempt of the direct path.
type DirectAttemptEnded struct {
	Attempt AttemptID
	Result  DirectResult
	Reason  string
	// Status is the HTTP status of the target's response; zero without one.
	Status int
	// Handle is set with DirectPrefilled.
	Handle string
	// Process is set with DirectNotSent: the start time of the process that was found, or
	// zero if the target did not say it.
	Process int64
	// Misdirected reports that the attempt reached a target other than the
	// intended one, which did not run it.
	Misdirected bool
	// LastEvent is the number of the last complete event that the caller has
	// received.
	LastEvent int64
	// Response states what of the response the caller has received, from this attempt
	// or an earlier one, and ForwardedBytes how many bytes of bodies.
	Response       ResponseState
	ForwardedBytes int64
	// Unframed reports that the response had neither a length nor chunks, so that its
	// end can't be told from that of the target's process.
	Unframed bool
	// Answers reports that the target answers, though the response has stalled. It may
	// still be working on the request.
	Answers bool
	Load    *TargetLoad
	// Notice is what the target stated in the head of its response; nil without one.
	Notice *TargetNotice
}

// ForwardFailure ends a request by forwarding the error response of its target
// to the caller.
type ForwardFailure struct{ Req RequestID }

// ReadCache reads which prompt segments an engine has in its cache. The result
// is [CacheRead].
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

// FreeHandle frees a prefilled prompt that no decode step will fetch.
type FreeHandle struct{ Addr, Handle string }

// RunCounted is raised when a target has begun to run a request of a client
// account.
type RunCounted struct {
	Account AccountID
	Wall    time.Time
}

// DirectRequestResult is the result of a request of the direct path.
type DirectRequestResult uint8

// Results of requests of the direct path.
const (
	// EndAnswered means that the caller received the whole response.
	EndAnswered DirectRequestResult = iota
	// EndFailure means that the caller received a target's error response.
	EndFailure
	// EndRefused means that the daemon refused the request with an error.
	EndRefused
	// EndAborted means that the response was cut short.
	EndAborted
	// EndCallerDisconnected means that the caller disconnected.
	EndCallerDisconnected
)

// String returns the result's name in metrics.
func (e DirectRequestResult) String() string {
	return [...]string{"answered", "failure", "refused", "aborted", "left"}[e]
}

// DirectRequestEnded is raised when a request has ended.
type DirectRequestEnded struct {
	Req RequestID
	End DirectRequestResult
	// Code is the reason for which the request was not served. It is empty if
	// it was served.
	Code string
	// Waited is the time since the request's arrival.
	Waited time.Duration
}

// FirstTokenReceived is raised when the first token of a streamed response has
// arrived.
type FirstTokenReceived struct {
	Route RouteID
	// Step is that of the attempt.
	Step DirectStep
	// Waited is the time since the request's arrival.
	Waited time.Duration
	Cause  LatenessCause
}

// LatenessCause states why a first token did not meet its route's objective.
type LatenessCause uint8

// Causes of lateness.
const (
	// LatenessNone means that the first token met the objective.
	LatenessNone LatenessCause = iota
	// LatenessExpected means that the request could only be late when it was placed: it had
	// waited, or all engines were too busy.
	LatenessExpected
	// LatenessUnexpected means that an engine took longer than was expected.
	LatenessUnexpected
)

// String returns the cause's name in metrics.
func (c LatenessCause) String() string { return [...]string{"none", "expected", "unexpected"}[c] }

// PrefillTimed is raised when the first token or the handle of an attempt that
// prefills has arrived.
type PrefillTimed struct {
	Step DirectStep
	// Expected is the time that was expected when the attempt was sent, and Took the
	// time that it took.
	Expected, Took time.Duration
}

// SetReady sets whether the platform's load balancer sends requests to this
// daemon.
type SetReady struct{ Ready bool }

// AcceptLonger makes a stopping daemon go on accepting connections for as long as callers
// open them, within a part of the grace period.
type AcceptLonger struct{}

// SetCallerLimits sets the limits that the driver enforces on the requests of
// callers.
type SetCallerLimits struct{ Limits CallerLimits }

func (DirectRequestArrived) event() {}
func (DirectAttemptStarted) event() {}
func (DirectBodyStarted) event()    {}
func (DirectAttemptEnded) event()   {}
func (RunCounted) event()           {}
func (CacheRead) event()            {}
func (DirectRequestEnded) event()   {}
func (FirstTokenReceived) event()   {}
func (PrefillTimed) event()         {}

func (StartDirectAttempt) effect() {}
func (ForwardFailure) effect()     {}
func (FreeHandle) effect()         {}
func (SetReady) effect()           {}
func (AcceptLonger) effect()       {}
func (SetCallerLimits) effect()    {}
func (ReadCache) effect()          {}
