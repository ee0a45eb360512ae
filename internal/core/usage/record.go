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
	// bucketLength is the time that one group of flushed objects covers.
	bucketLength = time.Minute
	// confirmWithin bounds the time from the end of a bucket to the
	// confirmation of a write into it. Records confirmed later are flushed
	// again into a newer bucket.
	confirmWithin = time.Minute
	// scanBack is how far before a window's start buckets are read.
	scanBack = 4 * bucketLength
	// horizon is how long frozen windows are kept, and with them the memory of
	// which attempts were counted. No record is flushed that is older.
	horizon = 6 * time.Hour

	attemptMarkBytes = 8
)

// source is the end of an attempt that counted it.
type source string

const (
	sourceEntry source = "entry"
	sourceSide  source = "side"
)

// record is one attempt as one end counted it.
type record struct {
	Attempt msg.AttemptID `json:"attempt"`
	Account msg.AccountID `json:"account"`
	// At is the time of the count in Unix milliseconds.
	At        int64          `json:"at"`
	Usage     msg.TokenUsage `json:"usage"`
	Continued bool           `json:"continued,omitempty"`
}

// flushed is the value of one flushed object.
type flushed struct {
	Source  source   `json:"source"`
	Records []record `json:"records"`
}

// figure is the usage of one client account in a window.
type figure struct {
	Account  msg.AccountID  `json:"account"`
	Requests int64          `json:"requests"`
	Usage    msg.TokenUsage `json:"usage"`
	Late     msg.TokenUsage `json:"late,omitzero"`
}

// frozen is the value of a frozen window of one shard. It is created once and
// never changed.
type frozen struct {
	Window  time.Time     `json:"window"`
	Length  time.Duration `json:"length"`
	At      time.Time     `json:"at"`
	Figures []figure      `json:"figures"`
	// Attempts holds the marks of the attempts that the figures count.
	Attempts []byte `json:"attempts"`
}

// end returns the end of the window.
func (f frozen) end() time.Time { return f.Window.Add(f.Length) }

// progress is the value of a shard's progress object.
type progress struct {
	// NextReport is the start of the first window that is not fully reported.
	NextReport time.Time `json:"nextReport"`
}

// layout is the value of the object that fixes the number of shards.
type layout struct {
	Shards int `json:"shards"`
}

// mark identifies an attempt within the horizon.
type mark uint64

func markOf(a msg.AttemptID) mark {
	h := fnv.New64a()
	h.Write([]byte(a))
	return mark(h.Sum64())
}

func packMarks(marks []mark) []byte {
	slices.Sort(marks)
	out := make([]byte, 0, len(marks)*attemptMarkBytes)
	for _, m := range marks {
		out = binary.BigEndian.AppendUint64(out, uint64(m))
	}
	return out
}

func unpackMarks(b []byte) []mark {
	out := make([]mark, 0, len(b)/attemptMarkBytes)
	for ; len(b) >= attemptMarkBytes; b = b[attemptMarkBytes:] {
		out = append(out, mark(binary.BigEndian.Uint64(b)))
	}
	return out
}

// ShardOf returns the shard of a client account.
func ShardOf(a msg.AccountID, shards int) int {
	h := fnv.New64a()
	h.Write([]byte(a))
	return int(h.Sum64() % uint64(shards))
}

const (
	layoutName    = "layout"
	flushPrefix   = "flush/"
	frozenPrefix  = "frozen/"
	progressRoot  = "progress/"
	bucketPattern = "20060102T1504"
)

func bucketOf(t time.Time) time.Time { return t.UTC().Truncate(bucketLength) }

func bucketPrefix(bucket time.Time) string {
	return flushPrefix + bucket.UTC().Format(bucketPattern) + "/"
}

func frozenShardPrefix(shard int) string { return fmt.Sprintf("%s%03d/", frozenPrefix, shard) }

func frozenName(shard int, window time.Time) string {
	return frozenShardPrefix(shard) + window.UTC().Format(time.RFC3339)
}

func progressName(shard int) string { return fmt.Sprintf("%s%03d", progressRoot, shard) }

func decode[T any](o msg.Object) (T, bool) {
	var v T
	return v, json.Unmarshal(o.Value, &v) == nil
}
