package msg

import "time"

// LoadDigest is a summary, for the other entry daemons, of the work that the
// sender has open at each target. Elsewhere in this package, a digest is a
// hash.
type LoadDigest struct {
	// WallMS is the sender's wall clock in Unix milliseconds, based on the wall
	// clock at the start of its process.
	WallMS  int64          `cbor:"4,keyasint"`
	Targets []TargetDigest `cbor:"1,keyasint,omitempty"`
	// Cached lists prompt segments that targets have cached.
	Cached []CachedSegment `cbor:"2,keyasint,omitempty"`
	// Changing lists the targets that are changing their role.
	Changing []ChangingTarget `cbor:"3,keyasint,omitempty"`
	// Limits lists the limits that targets have named to the sender.
	Limits []TargetLimit `cbor:"5,keyasint,omitempty"`
	// Leaving lists the targets that have told the sender that they are leaving.
	Leaving []LeavingTarget `cbor:"6,keyasint,omitempty"`
	// Speeds lists what the sender has observed of the speeds of targets and not told
	// yet. To a daemon that has just started it lists all that the sender knows.
	Speeds []TargetSpeed `cbor:"7,keyasint,omitempty"`
	// Refused lists requests that the sender has refused and not told yet.
	Refused []RefusedRequest `cbor:"8,keyasint,omitempty"`
}

// RefusedRequest is a request that has been refused. Its caller first asked AskedMS
// milliseconds ago and may come back within LeftMS milliseconds.
type RefusedRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	AskedMS     int64  `cbor:"2,keyasint"`
	LeftMS      int64  `cbor:"3,keyasint"`
}

// TargetSpeed is what a daemon has observed of the speed of a target.
type TargetSpeed struct {
	Target TargetID `cbor:"1,keyasint"`
	// Factor is the geometric mean of the observed times, each divided by the time that
	// is usual in the service, and Weight the sum of the weights of the observations.
	Factor float32 `cbor:"2,keyasint,omitempty"`
	Weight float32 `cbor:"3,keyasint,omitempty"`
	// PacePercent is the pace that the target reported PaceAgeMS milliseconds ago, where
	// 100 is the usual one. Zero means that it reported none.
	PacePercent uint16 `cbor:"4,keyasint,omitempty"`
	PaceAgeMS   int64  `cbor:"5,keyasint,omitempty"`
}

// LeavingTarget is a target whose process, which started at StartedMS, is leaving.
type LeavingTarget struct {
	Target    TargetID `cbor:"1,keyasint"`
	StartedMS int64    `cbor:"2,keyasint"`
}

// TargetLimit is the number of requests per second that a target takes from all daemons
// together, as it named it AgeMS milliseconds ago. Zero means that it named none.
type TargetLimit struct {
	Target    TargetID `cbor:"1,keyasint"`
	PerSecond float64  `cbor:"2,keyasint"`
	AgeMS     int64    `cbor:"3,keyasint"`
}

// ChangingTarget is a target that is changing to Role. It is sent no requests
// until it has changed or MS milliseconds have passed.
type ChangingTarget struct {
	Target TargetID `cbor:"1,keyasint"`
	MS     int64    `cbor:"2,keyasint"`
	Role   Role     `cbor:"3,keyasint"`
}

// PrefillSent reports to the other entry daemons prefill work that the sender
// has just sent to a target. The next [LoadDigest] includes it as well.
type PrefillSent struct {
	Target TargetID `cbor:"1,keyasint"`
	// PrefillMS is the expected duration of the prefill in milliseconds.
	PrefillMS float32 `cbor:"2,keyasint"`
	// Background reports whether the prefill gives way to others.
	Background bool `cbor:"3,keyasint,omitempty"`
}

// RunCounts reports, by usage window, how many of the sender's requests were
// begun by targets. The receivers may have to report the counts to the
// platform if the sender can't reach it.
type RunCounts struct {
	Windows []WindowRuns `cbor:"1,keyasint"`
	// Through is the last window whose counts are complete.
	Through int64 `cbor:"2,keyasint"`
}

// WindowsFrozen reports the usage windows whose counts no longer change to the daemons
// that may have to report them next. Last is the last such window. Windows is empty if only
// UnconfirmedMS has changed.
type WindowsFrozen struct {
	Windows map[int64]map[AccountID]int64 `cbor:"1,keyasint"`
	Last    int64                         `cbor:"2,keyasint"`
	// UnconfirmedMS is when the last report was begun that may have got no answer, in Unix
	// milliseconds. It is zero if there is none, or if the sender's build does not tell.
	UnconfirmedMS int64 `cbor:"3,keyasint,omitempty"`
}

// WindowRuns counts the runs of a usage window by client account.
type WindowRuns struct {
	Window int64               `cbor:"1,keyasint"`
	Counts map[AccountID]int64 `cbor:"2,keyasint"`
}

// TargetDigest is a summary of the work that one daemon has open at a target.
// Open counts its open attempts.
type TargetDigest struct {
	Target TargetID `cbor:"1,keyasint"`
	// BacklogMS is the expected duration of the open prefill work in
	// milliseconds, without that which gives way to other work. The latter is
	// BackgroundMS.
	BacklogMS    float32 `cbor:"2,keyasint"`
	BackgroundMS float32 `cbor:"7,keyasint,omitempty"`
	Open         int     `cbor:"3,keyasint"`
	// Running counts the attempts that are decoding, and Tokens the tokens of KV
	// cache that they occupy.
	Running int `cbor:"4,keyasint"`
	Tokens  int `cbor:"5,keyasint"`
	// LateMS is a time in milliseconds: the time by which an attempt's first
	// token is overdue, or the rest of the time for which the daemon sends
	// nothing to the target, whichever is longer.
	LateMS float32 `cbor:"6,keyasint,omitempty"`
}

// CachedSegment reports that a target has a prompt segment in its cache.
type CachedSegment struct {
	Target  TargetID `cbor:"1,keyasint"`
	Segment uint64   `cbor:"2,keyasint"`
	Tokens  int      `cbor:"3,keyasint"`
}

// CatalogQuery asks an entry daemon which configuration and targets it knows. The reply is
// [CatalogReply].
type CatalogQuery struct {
	// Seq is the number of the question.
	Seq uint64 `cbor:"1,keyasint"`
}

// CatalogReply states which configuration and which list of targets a daemon knows, and how
// long before the reply the reads left that show them to be the newest.
type CatalogReply struct {
	// Seq is the number of the question.
	Seq           uint64        `cbor:"1,keyasint"`
	ConfigVersion uint64        `cbor:"2,keyasint"`
	ConfigAge     time.Duration `cbor:"3,keyasint"`
	// TargetsDigest is a hash of the list of targets, or zero if the daemon has none, and
	// TargetsAge is the age of the read that shows it. TargetsEra is the store's era then.
	TargetsDigest uint64        `cbor:"4,keyasint,omitempty"`
	TargetsAge    time.Duration `cbor:"5,keyasint,omitempty"`
	TargetsEra    StoreEra      `cbor:"6,keyasint,omitempty"`
}

// StateQuery asks an entry daemon for the configuration, the list of targets and the live
// daemons that it knows. The reply is [StateReply].
type StateQuery struct {
	// Seq is the number of the question.
	Seq uint64 `cbor:"1,keyasint"`
	// Lost asks for the configuration at any age, since the store has lost it.
	Lost bool `cbor:"2,keyasint,omitempty"`
}

// StateReply is a part of what a daemon knows, as JSON. ConfigAge and TargetsAge are the
// times from the reads that show the configuration and the targets to the reply.
type StateReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Part       int           `cbor:"2,keyasint"`
	Parts      int           `cbor:"3,keyasint"`
	Data       []byte        `cbor:"4,keyasint"`
	ConfigAge  time.Duration `cbor:"5,keyasint"`
	TargetsAge time.Duration `cbor:"6,keyasint"`
}

// EntriesTold states the live entry daemons that another daemon knows. Complete reports
// whether these are all.
type EntriesTold struct {
	Entries  []Host
	Complete bool
}

// EntryLeaving reports that the sender's process is stopping. Its record at the platform
// says so too, but can't be written while the store is away.
type EntryLeaving struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
}

func (LoadDigest) peerMessage()    {}
func (EntryLeaving) peerMessage()  {}
func (StateQuery) peerMessage()    {}
func (StateReply) peerMessage()    {}
func (CatalogQuery) peerMessage()  {}
func (CatalogReply) peerMessage()  {}
func (PrefillSent) peerMessage()   {}
func (RunCounts) peerMessage()     {}
func (WindowsFrozen) peerMessage() {}

func (EntriesTold) event() {}
