package msg

import "time"

// AccountQuota is what a client account may use at all entry daemons together: PerSecond,
// and Burst at once.
type AccountQuota struct {
	PerSecond, Burst float64
	// ByTokens reports whether a request counts as its tokens, those of the prompt and
	// the largest number to generate. Otherwise it counts as one. A request that does
	// not state its tokens counts as PlainCost, which is at least one.
	ByTokens  bool
	PlainCost float64
}

// QuotaAsk asks a holder of an account's quota for the cost of a request. The reply is
// [QuotaReply].
type QuotaAsk struct {
	// Seq distinguishes the asks of a host, also those of its earlier processes.
	Seq     uint64    `cbor:"1,keyasint"`
	Account AccountID `cbor:"2,keyasint"`
	Cost    float64   `cbor:"3,keyasint"`
	// Last reports that no other holder is left to be asked: the others have denied the
	// request or are silent.
	Last bool `cbor:"4,keyasint,omitempty"`
	// Charge takes the cost in any case, for a run that was begun already.
	Charge bool `cbor:"5,keyasint,omitempty"`
	// Partial asks for as much of the cost as there is. The other holders are asked for
	// the rest.
	Partial bool `cbor:"6,keyasint,omitempty"`
}

// QuotaResult is the result of a [QuotaAsk].
type QuotaResult uint8

// Results of asks.
const (
	// QuotaGranted means that the cost was taken from the account's quota.
	QuotaGranted QuotaResult = iota
	// QuotaDenied means that the quota does not allow the request now.
	QuotaDenied
	// QuotaUnknown means that the receiver is not a holder of the quota, or has
	// started too recently.
	QuotaUnknown
	// QuotaSilent means that no reply came. It is not sent.
	QuotaSilent
)

// String returns the result's name in logs and metrics.
func (r QuotaResult) String() string {
	return [...]string{"granted", "denied", "unknown", "silent"}[r]
}

// QuotaReply is the reply to the ask with the same number.
type QuotaReply struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Account AccountID   `cbor:"2,keyasint"`
	Result  QuotaResult `cbor:"3,keyasint,omitempty"`
	// RoomMS is the time in milliseconds before which the holder would not grant the
	// request, and WaitMS the time after which its caller should come back: later, if
	// others were denied before.
	RoomMS int64 `cbor:"4,keyasint,omitempty"`
	WaitMS int64 `cbor:"5,keyasint,omitempty"`
	// Level is what was left of the holder's share of the quota before the decision.
	Level float64 `cbor:"6,keyasint,omitempty"`
	// Amount is what was granted to a partial ask.
	Amount float64 `cbor:"7,keyasint,omitempty"`
}

// QuotaReturn returns what was granted to the ask with the same number, because its
// request has not run.
type QuotaReturn struct {
	Seq     uint64    `cbor:"1,keyasint"`
	Account AccountID `cbor:"2,keyasint"`
}

// QuotaAsked is raised when an ask has been answered, or has failed.
type QuotaAsked struct{ Result QuotaResult }

// QuotaUse is what a holder has granted to an account, or to several, in a period.
type QuotaUse struct {
	Account AccountID
	// PerSecond is the average over the period, and Allowed the holder's share of the
	// quota's rate.
	PerSecond, Allowed float64
	// Denied counts the requests that the holder denied.
	Denied int
}

// QuotaUsed is raised periodically with the accounts that use most of their quotas at
// this holder, and the sum over the other accounts.
type QuotaUsed struct {
	Period  time.Duration
	Largest []QuotaUse
	Rest    QuotaUse
}

func (QuotaAsk) peerMessage()    {}
func (QuotaReply) peerMessage()  {}
func (QuotaReturn) peerMessage() {}

func (QuotaAsked) event() {}
func (QuotaUsed) event()  {}
