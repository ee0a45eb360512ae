package msg

import "time"

// BodyHash is the SHA-256 of a request body.
type BodyHash [32]byte

// KeyDigest is the digest of an API key's secret, as stored in the manifest.
type KeyDigest [32]byte

// RequestArrived is a caller's request that has been read completely. The driver
// keeps the body.
type RequestArrived struct {
	Req RequestID
	// Model is the model name of a call of the OpenAI-style API. It is empty for
	// a call of a plain service.
	Model string
	// Service, Method and Path describe a call of a plain service.
	Service, Method, Path string
	// KeyID and KeyDigest are taken from the bearer token. They are empty if
	// there is none.
	KeyID     string
	KeyDigest KeyDigest
	// IdempotencyKey is the value of the caller's header, or empty.
	IdempotencyKey string
	BodyHash       BodyHash
	// PromptTokens is an estimate of the prompt's length. MaxTokens is the limit
	// set by the caller, or else by the route.
	PromptTokens, MaxTokens int
	// Prefix holds the hash of each complete cache block of the prompt, in
	// order.
	Prefix []BlockHash
	// Timeout is the timeout set by the caller, or zero.
	Timeout time.Duration
}

// CallerDisconnected reports that the caller of a request has disconnected.
type CallerDisconnected struct{ Req RequestID }

// RefuseRequest ends a request with an error before a response has begun.
type RefuseRequest struct {
	Req     RequestID
	Status  int // HTTP status
	Code    string
	Reason  string
	Outcome Outcome
	// RetryAfter is the time after which the caller should retry; zero for no
	// advice.
	RetryAfter time.Duration
}

// AbortRequest ends a request whose response has begun. The response is marked as
// incomplete.
type AbortRequest struct {
	Req     RequestID
	Code    string
	Reason  string
	Outcome Outcome
}

// ReplayResponse ends a request with the stored response of an earlier one.
type ReplayResponse struct {
	Req      RequestID
	Response StoredResponse `cbor:"Answer"`
}

// StoredResponse is the response to a non-idempotent request, stored so that
// resends of the request can be answered with it.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// StartAttempt runs a request, or the remainder of one, on a target.
type StartAttempt struct {
	Req     RequestID
	Attempt AttemptID
	Target  TargetID
	Host    HostID
	Spec    AttemptSpec
}

// AttemptSpec describes an attempt to the side daemon, in addition to the request
// itself.
type AttemptSpec struct {
	Attempt    AttemptID  `cbor:"1,keyasint"`
	Account    AccountID  `cbor:"2,keyasint"`
	Route      RouteID    `cbor:"3,keyasint"`
	Generation Generation `cbor:"4,keyasint"`
	Priority   int        `cbor:"5,keyasint"`
	// PromptTokens and MaxTokens are the sizes used for admission control.
	PromptTokens int `cbor:"6,keyasint"`
	MaxTokens    int `cbor:"7,keyasint"`
	// Idempotent reports whether the request may run more than once.
	Idempotent bool `cbor:"8,keyasint"`
	// PrefillOnly requests the prompt's KV cache without a response.
	PrefillOnly bool `cbor:"9,keyasint"`
	// KVFrom names the target that holds the prompt's KV cache, under the ID of
	// the attempt KVAttempt. It is empty if there is none.
	KVFrom    string    `cbor:"10,keyasint,omitempty"`
	KVAttempt AttemptID `cbor:"11,keyasint,omitempty"`
	// Timeout limits the duration of the attempt from its start on the side
	// daemon.
	Timeout time.Duration `cbor:"12,keyasint"`
	// Fingerprint identifies the request in crash records.
	Fingerprint uint64 `cbor:"13,keyasint"`
	// Suspect reports that the request was running on a target that went down.
	// A target runs one suspect request at a time.
	Suspect bool `cbor:"14,keyasint,omitempty"`
	// Continued reports that the attempt continues the response of an earlier
	// attempt. The request and its prompt are charged with the earlier attempt
	// and not with this one.
	Continued bool `cbor:"15,keyasint,omitempty"`
}

// CancelAttempt stops an attempt.
type CancelAttempt struct {
	Attempt AttemptID
	Reason  string
	// UnlessBegun leaves an attempt alone of whose response a part is being passed on to
	// the caller. The direct path uses it.
	UnlessBegun bool
}

// AttemptAccepted reports that the side daemon has accepted an attempt. From then
// on the attempt may have run.
type AttemptAccepted struct {
	Attempt AttemptID
	// CachedTokens is the length of the prompt prefix that was in the target's
	// cache.
	CachedTokens int
}

// AttemptProgress reports the total number of an attempt's tokens that the
// entry daemon has received for the caller.
type AttemptProgress struct {
	Attempt AttemptID
	Tokens  int
}

// AttemptResult is the result of an attempt.
type AttemptResult uint8

// Results of attempts.
const (
	// AttemptDone means that the whole response arrived, with the number of
	// frames and the checksum that the side daemon sent.
	AttemptDone AttemptResult = iota
	// AttemptNotRun means that the target certainly did not run the attempt.
	AttemptNotRun
	// AttemptFailed means that the target ran the attempt and reported an error.
	AttemptFailed
	// AttemptCrashed means that the target went down while it ran the attempt.
	AttemptCrashed
	// AttemptLost means that the side daemon can't be reached. The attempt may
	// have run.
	AttemptLost
	// AttemptCancelled means that the attempt was stopped on request.
	AttemptCancelled
	// AttemptMoved means that the target is draining and another target is to run
	// the remainder. All tokens that the target generated until then have
	// arrived.
	AttemptMoved
)

// TokenUsage counts the tokens of one attempt.
type TokenUsage struct {
	Prompt    int64 `cbor:"1,keyasint"`
	Cached    int64 `cbor:"2,keyasint"`
	Generated int64 `cbor:"3,keyasint"`
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Result  AttemptResult
	Reason  string
	Usage   TokenUsage
	// Response is set if a non-idempotent request is done.
	Response *StoredResponse `cbor:"Answer"`
	// RetryAfter is the side daemon's advice with AttemptNotRun.
	RetryAfter time.Duration
}

// FinishRequest ends a request. The caller has received the whole response.
type FinishRequest struct{ Req RequestID }

// ClaimRequested is raised to claim a non-idempotent request before its
// attempt starts. A claim is a stored record that the request may run, so that
// a resend of the request does not run again.
type ClaimRequested struct {
	Req     RequestID
	Account AccountID
	Route   RouteID
	Key     string
	Body    BodyHash
}

// ClaimStatus is the result of a claim.
type ClaimStatus uint8

// Results of claims.
const (
	// ClaimGranted means that the claim is stored and this request may run.
	ClaimGranted ClaimStatus = iota
	// ClaimDone means that an earlier request ran and its response is stored.
	ClaimDone
	// ClaimRunning means that an earlier request is still running.
	ClaimRunning
	// ClaimMismatch means that the idempotency key was used with another body.
	ClaimMismatch
	// ClaimUnknown means that an earlier request may have run.
	ClaimUnknown
	// ClaimUnavailable means that no claim could be made. Nothing ran.
	ClaimUnavailable
	// ClaimExpired means that the idempotency key is too old. This request did
	// not run. An earlier request with the key may have run, but its response is
	// no longer stored.
	ClaimExpired
)

// ClaimSettled is raised when the status of a claim has been determined.
type ClaimSettled struct {
	Req    RequestID
	Status ClaimStatus
	// Response is set with ClaimDone, unless it was too large to be stored.
	Response *StoredResponse `cbor:"Answer"`
}

// RequestEnded is raised when a request has ended, so that its claim and usage
// can be completed.
type RequestEnded struct {
	Req     RequestID
	Account AccountID
	Outcome Outcome
	// Response is set for a non-idempotent request that ran.
	Response *StoredResponse `cbor:"Answer"`
}

// UsageCounted is raised when an attempt's tokens must be charged to a client
// account.
type UsageCounted struct {
	Account AccountID
	Attempt AttemptID
	Usage   TokenUsage
	// Continued is the value in the attempt's [AttemptSpec].
	Continued bool
}

func (RequestArrived) event()     {}
func (CallerDisconnected) event() {}
func (AttemptAccepted) event()    {}
func (AttemptProgress) event()    {}
func (AttemptEnded) event()       {}
func (ClaimRequested) event()     {}
func (ClaimSettled) event()       {}
func (RequestEnded) event()       {}
func (UsageCounted) event()       {}

func (RefuseRequest) effect()  {}
func (AbortRequest) effect()   {}
func (ReplayResponse) effect() {}
func (StartAttempt) effect()   {}
func (CancelAttempt) effect()  {}
func (FinishRequest) effect()  {}
