package msg

import "time"

// BodyHash is the SHA-256 of a request body.
type BodyHash [32]byte

// KeyDigest is the digest of an API key's secret, as the manifest keeps it.
type KeyDigest [32]byte

// RequestArrived is a caller's request, read whole. The body stays with the
// driver.
type RequestArrived struct {
	Req RequestID
	// Model is the model name of an OpenAI-style call; empty for a service.
	Model string
	// Service, Method and Path describe a call of a plain service.
	Service, Method, Path string
	// KeyID and KeyDigest come from the bearer token; empty without one.
	KeyID     string
	KeyDigest KeyDigest
	// IdempotencyKey is the caller's header, or empty.
	IdempotencyKey string
	BodyHash       BodyHash
	// PromptTokens is an estimate; MaxTokens is the caller's limit or the
	// route's.
	PromptTokens, MaxTokens int
	// Prefix holds the hash of each whole cache piece of the prompt, in order.
	Prefix []BlockHash
	// Timeout is the caller's own, or zero.
	Timeout time.Duration
}

// CallerDisconnected tells that the caller of a request has left.
type CallerDisconnected struct{ Req RequestID }

// RefuseRequest ends a request with an error before an answer began.
type RefuseRequest struct {
	Req     RequestID
	Status  int // HTTP status
	Code    string
	Reason  string
	Outcome Outcome
	// RetryAfter tells the caller when to come back; zero for no advice.
	RetryAfter time.Duration
}

// AbortRequest ends a request whose answer has begun. The answer is marked as
// incomplete.
type AbortRequest struct {
	Req     RequestID
	Code    string
	Reason  string
	Outcome Outcome
}

// ReplayResponse ends a request with the kept answer of an earlier one.
type ReplayResponse struct {
	Req      RequestID
	Response StoredResponse `cbor:"Answer"`
}

// StoredResponse is an answer kept for resends of a non-idempotent request.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// StartAttempt runs a request, or the rest of it, on a target.
type StartAttempt struct {
	Req     RequestID
	Attempt AttemptID
	Target  TargetID
	Host    HostID
	Spec    AttemptSpec
}

// AttemptSpec is what the side daemon has to know of an attempt beside the
// request itself.
type AttemptSpec struct {
	Attempt    AttemptID  `cbor:"1,keyasint"`
	Account    AccountID  `cbor:"2,keyasint"`
	Route      RouteID    `cbor:"3,keyasint"`
	Generation Generation `cbor:"4,keyasint"`
	Priority   int        `cbor:"5,keyasint"`
	// PromptTokens and MaxTokens are the sizes used for admission.
	PromptTokens int `cbor:"6,keyasint"`
	MaxTokens    int `cbor:"7,keyasint"`
	// Idempotent says that the request may run more than once.
	Idempotent bool `cbor:"8,keyasint"`
	// PrefillOnly asks for the prompt's KV cache and no answer.
	PrefillOnly bool `cbor:"9,keyasint"`
	// KVFrom names the target that holds the prompt's KV cache under the
	// attempt KVAttempt; empty for none.
	KVFrom    string    `cbor:"10,keyasint,omitempty"`
	KVAttempt AttemptID `cbor:"11,keyasint,omitempty"`
	// Timeout bounds the attempt from its start on the side.
	Timeout time.Duration `cbor:"12,keyasint"`
	// Fingerprint identifies the request for crash strikes.
	Fingerprint uint64 `cbor:"13,keyasint"`
	// Suspect says that the request ran on a target that went down. A target
	// runs one suspect at a time.
	Suspect bool `cbor:"14,keyasint,omitempty"`
	// Continued says that the attempt carries on the answer of an earlier one,
	// to which the request and its prompt are charged.
	Continued bool `cbor:"14,keyasint,omitempty"`
}

// CancelAttempt stops an attempt.
type CancelAttempt struct {
	Attempt AttemptID
	Reason  string
}

// AttemptAccepted tells that the side daemon has taken an attempt on. From
// here on it may have run.
type AttemptAccepted struct {
	Attempt AttemptID
	// CachedTokens is the length of the prompt prefix that was in the cache.
	CachedTokens int
}

// AttemptProgress tells how many tokens have reached the caller's side of the
// entry in all.
type AttemptProgress struct {
	Attempt AttemptID
	Tokens  int
}

// AttemptResult says how an attempt ended.
type AttemptResult uint8

// Results of attempts.
const (
	// AttemptDone means that the whole answer arrived and its check held.
	AttemptDone AttemptResult = iota
	// AttemptNotRun means that the target certainly did not run it.
	AttemptNotRun
	// AttemptFailed means that the target ran it and reported an error.
	AttemptFailed
	// AttemptCrashed means that the target went down while it ran.
	AttemptCrashed
	// AttemptLost means that the side daemon can't be reached; it may have run.
	AttemptLost
	// AttemptCancelled means that it was stopped on request.
	AttemptCancelled
	// AttemptMoved means that the target is draining and hands the rest to
	// another one; the tokens so far are whole.
	AttemptMoved
)

// TokenUsage counts the tokens of one attempt.
type TokenUsage struct {
	Prompt    int64 `cbor:"1,keyasint"`
	Cached    int64 `cbor:"2,keyasint"`
	Generated int64 `cbor:"3,keyasint"`
}

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Result  AttemptResult
	Reason  string
	Usage   TokenUsage
	// Response is set where a non-idempotent request is done.
	Response *StoredResponse `cbor:"Answer"`
	// RetryAfter is the side's advice with AttemptNotRun.
	RetryAfter time.Duration
}

// FinishRequest tells the driver that the caller has the whole answer and the
// request is over.
type FinishRequest struct{ Req RequestID }

// ClaimRequested is raised to claim a non-idempotent request before its attempt.
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
	// ClaimGranted means that the claim is committed and this request may run.
	ClaimGranted ClaimStatus = iota
	// ClaimDone means that an earlier request ran; its answer is kept.
	ClaimDone
	// ClaimRunning means that an earlier request is still running.
	ClaimRunning
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch
	// ClaimUnknown means that an earlier request may have run.
	ClaimUnknown
	// ClaimUnavailable means that no claim could be made; nothing ran.
	ClaimUnavailable
	// ClaimExpired means that the key is too old. This request did not run; an
	// earlier one with the key may have, and its answer is no longer kept.
	ClaimExpired
)

// ClaimSettled is raised when a claim is settled.
type ClaimSettled struct {
	Req    RequestID
	Status ClaimStatus
	// Response is set with ClaimDone, unless it was too large to be kept.
	Response *StoredResponse `cbor:"Answer"`
}

// RequestEnded is raised when a request is over, so that claims and usage can
// be settled.
type RequestEnded struct {
	Req     RequestID
	Account AccountID
	Outcome Outcome
	// Response is set for a non-idempotent request that ran.
	Response *StoredResponse `cbor:"Answer"`
}

// UsageCounted is raised when an attempt's tokens are to be charged to a
// client account.
type UsageCounted struct {
	Account AccountID
	Attempt AttemptID
	Usage   TokenUsage
	// Continued is that of the attempt's spec.
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
