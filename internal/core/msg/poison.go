package msg

// CrashID identifies a crash in the records of one fingerprint. It names the process that
// went down, which may have run several copies of the request, or several prompts with the
// segment. Where the process is not known, it is the ID of the attempt that was running.
type CrashID string

// CrashRecord records that an attempt was running on a target when the target
// went down. The fingerprint identifies the request across its attempts and
// resends, or a segment of its prompt.
type CrashRecord struct {
	Fingerprint uint64  `cbor:"1,keyasint" json:"fingerprint"`
	ID          CrashID `cbor:"2,keyasint" json:"attempt"`
	// LeftMS is how much longer the record counts, in milliseconds. Zero stands for
	// the whole retention.
	LeftMS int64 `cbor:"3,keyasint,omitempty" json:"left_ms,omitempty"`
	// RanMS is how long before the crash the attempt was sent, in milliseconds. Zero means
	// that it is not known.
	RanMS int64 `cbor:"4,keyasint,omitempty" json:"ran_ms,omitempty"`
	// Segment reports whether Fingerprint is the ID of a prompt segment.
	Segment bool `cbor:"5,keyasint,omitempty" json:"segment,omitempty"`
}

// CrashNotice reports crash records to entry daemons. Cleared are records that no
// longer count, because the request completed later.
type CrashNotice struct {
	Crashes []CrashRecord `cbor:"1,keyasint,omitempty" json:"strikes,omitempty"`
	Cleared []CrashRecord `cbor:"2,keyasint,omitempty" json:"cleared,omitempty"`
}

// AttemptStarting is raised on a side daemon when an attempt is about to run.
type AttemptStarting struct{ Spec AttemptSpec }

// CrashDigest summarizes the crash records that an entry daemon holds. A daemon that
// holds others sends back those in the buckets that differ.
type CrashDigest struct {
	// Buckets holds a hash of the records of each bucket. A bucket without records has
	// the hash zero.
	Buckets []uint64 `cbor:"1,keyasint"`
	// Reply is set if the digest answers another one. It is not answered by a digest.
	Reply bool `cbor:"2,keyasint,omitempty"`
}

// CrashSource states how a daemon learnt of a crash record.
type CrashSource uint8

// Sources of crash records.
const (
	// CrashObserved means that the daemon observed the crash itself.
	CrashObserved CrashSource = iota
	// CrashFromPeer means that another daemon reported it.
	CrashFromPeer
	// CrashFromStore means that it was read from the platform.
	CrashFromStore
)

// String returns the source's name in logs and metrics.
func (s CrashSource) String() string { return [...]string{"observed", "peer", "store"}[s] }

// CrashRecorded is raised when a daemon learns of a crash record that it did not
// know.
type CrashRecorded struct {
	Record CrashRecord
	Source CrashSource
	// Count is the number of crashes that now count against the request or segment.
	Count int
}

// SegmentBlocked is raised when a daemon begins to refuse prompts with a segment,
// because it crashes targets, and when it ends that.
type SegmentBlocked struct {
	Segment uint64
	// Crashes is the number of crashes that count against the segment.
	Crashes int
	Blocked bool
}

func (CrashNotice) peerMessage() {}
func (CrashDigest) peerMessage() {}
func (CrashRecorded) event()     {}
func (SegmentBlocked) event()    {}

func (AttemptStarting) event() {}
