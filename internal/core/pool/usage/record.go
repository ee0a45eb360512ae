package usage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// bucketLength is the time that one bucket of flushed objects covers. The
	// bucket is part of their names.
	bucketLength = time.Minute
	// confirmTimeout bounds the time from the end of a bucket to the
	// confirmation of a write into it. Records confirmed later are flushed
	// again into a newer bucket.
	confirmTimeout = time.Minute
	// bucketLookback is how far before a window's start buckets are read.
	bucketLookback = 4 * bucketLength
	// dedupRetention is how long frozen windows are kept, and with them the
	// hashes of the attempts that they count. Older records are not flushed,
	// since an attempt could then be counted twice.
	dedupRetention = 6 * time.Hour

	attemptHashBytes = 8
)

// source is the kind of daemon that recorded an attempt.
type source string

const (
	sourceEntry source = "entry"
	sourceSide  source = "side"
)

// record is the usage of one attempt as one of its daemons counted it.
type record struct {
	Attempt msg.AttemptID `json:"attempt"`
	Account msg.AccountID `json:"account"`
	// At is the time at which the usage was recorded, in Unix milliseconds.
	At        int64          `json:"at"`
	Usage     msg.TokenUsage `json:"usage"`
	Continued bool           `json:"continued,omitempty"`
}

// flushed is the value of one object with flushed records.
type flushed struct {
	Source  source   `json:"source"`
	Records []record `json:"records"`
}

// accountUsage is the usage of one client account in a window.
type accountUsage struct {
	Account  msg.AccountID  `json:"account"`
	Requests int64          `json:"requests"`
	Usage    msg.TokenUsage `json:"usage"`
	Late     msg.TokenUsage `json:"late,omitzero"`
}

// frozenWindow is the value of the object of one shard's frozen window. The
// object is created once and never changed.
type frozenWindow struct {
	// Window is the start of the window, and At the time of the freeze.
	Window   time.Time      `json:"window"`
	Length   time.Duration  `json:"length"`
	At       time.Time      `json:"at"`
	Accounts []accountUsage `json:"figures"`
	// Attempts holds the hashes of the counted attempts, sorted and encoded in
	// big endian.
	Attempts []byte `json:"attempts"`
}

// end returns the end of the window.
func (f frozenWindow) end() time.Time { return f.Window.Add(f.Length) }

// progress is the value of a shard's progress object.
type progress struct {
	// NextReport is the start of the first window that is not fully reported.
	NextReport time.Time `json:"nextReport"`
}

// layout is the value of the object that stores the number of shards.
type layout struct {
	Shards int `json:"shards"`
}

// attemptHash identifies an attempt for dedupRetention.
type attemptHash uint64

func hashAttempt(a msg.AttemptID) attemptHash {
	h := fnv.New64a()
	h.Write([]byte(a))
	return attemptHash(h.Sum64())
}

func encodeHashes(hashes []attemptHash) []byte {
	slices.Sort(hashes)
	out := make([]byte, 0, len(hashes)*attemptHashBytes)
	for _, h := range hashes {
		out = binary.BigEndian.AppendUint64(out, uint64(h))
	}
	return out
}

func decodeHashes(b []byte) []attemptHash {
	out := make([]attemptHash, 0, len(b)/attemptHashBytes)
	for ; len(b) >= attemptHashBytes; b = b[attemptHashBytes:] {
		out = append(out, attemptHash(binary.BigEndian.Uint64(b)))
	}
	return out
}

// ShardOf returns the shard of a client account, given the number of shards.
func ShardOf(a msg.AccountID, shards int) int {
	h := fnv.New64a()
	h.Write([]byte(a))
	return int(h.Sum64() % uint64(shards))
}

const (
	layoutName       = "layout"
	flushPrefix      = "flush/"
	frozenPrefix     = "frozen/"
	progressPrefix   = "progress/"
	bucketTimeFormat = "20060102T1504"
)

func bucketOf(t time.Time) time.Time { return t.UTC().Truncate(bucketLength) }

func bucketPrefix(bucket time.Time) string {
	return flushPrefix + bucket.UTC().Format(bucketTimeFormat) + "/"
}

func frozenShardPrefix(shard int) string { return fmt.Sprintf("%s%03d/", frozenPrefix, shard) }

func frozenName(shard int, window time.Time) string {
	return frozenShardPrefix(shard) + window.UTC().Format(time.RFC3339)
}

func progressName(shard int) string { return fmt.Sprintf("%s%03d", progressPrefix, shard) }

func decode[T any](o msg.Object) (T, bool) {
	var v T
	return v, json.Unmarshal(o.Value, &v) == nil
}
