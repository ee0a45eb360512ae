package msg

// CrashRecord records that an attempt was running on a target when the target
// went down. The fingerprint identifies the request across its attempts and
// resends.
type CrashRecord struct {
	Fingerprint uint64    `cbor:"1,keyasint" json:"fingerprint"`
	Attempt     AttemptID `cbor:"2,keyasint" json:"attempt"`
}

// CrashNotice reports crash records to entry daemons. Cleared are records that no
// longer count, because the request completed later.
type CrashNotice struct {
	Crashes []CrashRecord `cbor:"1,keyasint,omitempty" json:"strikes,omitempty"`
	Cleared []CrashRecord `cbor:"2,keyasint,omitempty" json:"cleared,omitempty"`
}

// AttemptStarting is raised on a side daemon when an attempt is about to run.
type AttemptStarting struct{ Spec AttemptSpec }

func (CrashNotice) peerMessage() {}

func (AttemptStarting) event() {}
