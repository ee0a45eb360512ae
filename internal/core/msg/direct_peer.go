package msg

// LoadDigest tells the other entry daemons what this one has open.
type LoadDigest struct {
	// WallMS is the sender's wall clock in Unix milliseconds, as its start set
	// it.
	WallMS  int64          `cbor:"4,keyasint"`
	Targets []TargetDigest `cbor:"1,keyasint,omitempty"`
	// Cached lists the prompt parts that targets came to hold.
	Cached []CachedSegment `cbor:"2,keyasint,omitempty"`
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

// PrefillSent tells the other entry daemons of prompt reading that was just sent
// to a target. The next [LoadDigest] counts it too.
type PrefillSent struct {
	Target TargetID `cbor:"1,keyasint"`
	// PrefillMS is the expected time of reading in milliseconds.
	PrefillMS float32 `cbor:"2,keyasint"`
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

// CachedSegment tells that a target holds a part of prompts.
type CachedSegment struct {
	Target  TargetID `cbor:"1,keyasint"`
	Segment uint64   `cbor:"2,keyasint"`
	Tokens  int      `cbor:"3,keyasint"`
}

func (LoadDigest) peerMessage()  {}
func (PrefillSent) peerMessage() {}
func (RunCounts) peerMessage()   {}
