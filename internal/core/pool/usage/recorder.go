package usage

import (
	"fmt"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	flushInterval = 5 * time.Second
	// stopFlushInterval is the time between two writes during a graceful shutdown.
	stopFlushInterval = 250 * time.Millisecond
	// maxSegmentRecords bounds the records of one flushed object; 2,000 records
	// take about 400 KB.
	maxSegmentRecords = 2000
	// maxWaiting bounds the records whose write is not yet confirmed.
	maxWaiting = 100_000
	// offerGrace is how long after its timeout an offered attempt is kept if its
	// end is not reported.
	offerGrace   = time.Minute
	logComponent = "usage"
)

// RecorderMutation disables a safeguard. Only the mutation tests set it; they
// check that each disabled safeguard is detected.
type RecorderMutation uint8

// Values of [RecorderMutation].
const (
	// MutateRecorderNothing keeps all safeguards.
	MutateRecorderNothing RecorderMutation = iota
	// MutateNoRecord keeps no records, as if only the other daemon of each attempt
	// recorded its usage.
	MutateNoRecord
	// MutateForgetUnconfirmed drops records whose write is not confirmed.
	MutateForgetUnconfirmed
)

// RecorderConfig configures a [Recorder].
type RecorderConfig struct {
	// FlushInterval is the time between two writes; zero for the default.
	FlushInterval time.Duration
	Mutation      RecorderMutation
}

// Recorder is the reducer component of entry and side daemons that records the
// usage of attempts and flushes the records to the platform.
type Recorder struct {
	cfg     RecorderConfig
	source  source
	writer  string
	clock   clock
	store   *store.Client
	offered map[msg.AttemptID]offer
	// waiting holds the records that are in no confirmed write, oldest first.
	waiting []record
	segment *segment
	// seq is the number of segments so far, and the tag of their writes.
	seq     uint64
	flushAt msg.Time
	// stopping is set during a graceful shutdown, which waits until all records
	// are flushed.
	stopping bool
	dropped  uint64
}

// offer is an offered attempt that has not ended on a side daemon.
type offer struct {
	spec      msg.AttemptSpec
	expiresAt msg.Time
}

// segment is the flushed object that the recorder writes. Each write replaces its
// value and adds records to it.
type segment struct {
	bucket  time.Time
	name    string
	version msg.Version
	// records holds the records of confirmed writes. writing is the number of
	// waiting records in the write in flight; zero if there is none.
	records []record
	writing int
}

// RecorderStatus describes a recorder to operators.
type RecorderStatus struct {
	Waiting int    `json:"waiting"`
	Dropped uint64 `json:"givenUp"`
}

// NewRecorder returns a recorder. It acts after [msg.Started].
func NewRecorder(cfg RecorderConfig) *Recorder {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = flushInterval
	}
	return &Recorder{cfg: cfg, offered: make(map[msg.AttemptID]offer)}
}

// Idle reports whether all records are stored at the platform.
func (r *Recorder) Idle() bool { return len(r.waiting) == 0 }

// Status returns the recorder's state for operators.
func (r *Recorder) Status(msg.Time) RecorderStatus {
	return RecorderStatus{Waiting: len(r.waiting), Dropped: r.dropped}
}

// Step processes one event and returns the effects to carry out.
func (r *Recorder) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		r.start(now, started)
		return nil
	}
	if r.store == nil {
		return nil
	}
	r.clock.observe(now, ev)
	results, effs := r.store.Step(now, ev)
	for _, res := range results {
		effs = append(effs, r.onWritten(now, res)...)
	}
	switch ev := ev.(type) {
	case msg.Tick:
		r.expireOffers(now)
		effs = append(effs, r.flush(now)...)
	case msg.UsageCounted:
		effs = append(effs, r.add(now, newRecord(ev.Attempt, ev.Account, ev.Usage, ev.Continued))...)
	case msg.AttemptOffered:
		r.offered[ev.Spec.Attempt] = offer{ev.Spec, now + ev.Spec.Timeout + offerGrace}
	case msg.SideAttemptEnded:
		effs = append(effs, r.onAttemptEnded(now, ev)...)
	case msg.StopRequested:
		r.stopping = true
		r.flushAt = now
		effs = append(effs, r.flush(now)...)
	}
	return effs
}

func (r *Recorder) start(now msg.Time, ev msg.Started) {
	r.source = sourceEntry
	if ev.Self.Kind == msg.HostTarget {
		r.source = sourceSide
	}
	r.writer = string(ev.Self.Host) + "." + string(ev.Incarnation)
	r.store = store.New(store.ComponentUsage, r.writer)
	r.clock = clock{wall: ev.Wall, at: now}
	// The seed distributes the writes of many processes over the interval.
	r.flushAt = now + time.Duration(ev.Seed%uint64(r.cfg.FlushInterval))
}

func (r *Recorder) onAttemptEnded(now msg.Time, ev msg.SideAttemptEnded) []msg.Effect {
	o, ok := r.offered[ev.Attempt]
	delete(r.offered, ev.Attempt)
	if !ok || ev.Result == msg.AttemptNotRun || o.spec.PrefillOnly {
		return nil
	}
	return r.add(now, newRecord(ev.Attempt, o.spec.Account, ev.Usage, o.spec.Continued))
}

// newRecord returns the record of an attempt. Both the entry daemon and the side
// daemon record an attempt, so their records must be equal. The prompt of a
// continued attempt is charged with the earlier attempt.
func newRecord(attempt msg.AttemptID, account msg.AccountID, usage msg.TokenUsage, continued bool) record {
	if continued {
		usage.Prompt, usage.Cached = 0, 0
	}
	return record{Attempt: attempt, Account: account, Usage: usage, Continued: continued}
}

func (r *Recorder) expireOffers(now msg.Time) {
	for id, o := range r.offered {
		if now > o.expiresAt {
			delete(r.offered, id)
		}
	}
}

func (r *Recorder) add(now msg.Time, rec record) []msg.Effect {
	if rec.Account == "" || r.cfg.Mutation == MutateNoRecord {
		return nil // requests on public routes have no client account to charge
	}
	rec.At = r.clock.now(now).UnixMilli()
	r.waiting = append(r.waiting, rec)
	if len(r.waiting) <= maxWaiting {
		return nil
	}
	return r.dropOldest(len(r.waiting)-maxWaiting, "usage records dropped: too many are not yet written")
}

// dropOldest drops the n oldest waiting records, unless a write is in flight: that
// write holds the oldest ones.
func (r *Recorder) dropOldest(n int, reason string) []msg.Effect {
	if r.segment != nil && r.segment.writing > 0 {
		return nil
	}
	r.dropped += uint64(n)
	r.waiting = append([]record(nil), r.waiting[n:]...)
	return []msg.Effect{msg.LogLine{Component: logComponent, Level: msg.LogError, Text: reason, Attrs: []msg.Attr{
		{Key: "records", Value: strconv.Itoa(n)},
	}}}
}

// flush writes waiting records if the flush is due and no write is in flight.
func (r *Recorder) flush(now msg.Time) []msg.Effect {
	busy := r.segment != nil && r.segment.writing > 0
	if busy || now < r.flushAt {
		return nil
	}
	effs := r.dropExpired(now)
	if len(r.waiting) == 0 {
		return effs
	}
	r.scheduleFlush(now)
	s := r.openSegment(now)
	s.writing = min(len(r.waiting), maxSegmentRecords-len(s.records))
	body := flushed{Source: r.source, Records: append(s.records[:len(s.records):len(s.records)], r.waiting[:s.writing]...)}
	return append(effs, r.store.Put(now, r.seq, msg.KindUsage, s.name, body, s.version, 0))
}

func (r *Recorder) scheduleFlush(now msg.Time) {
	if r.stopping {
		r.flushAt = now + stopFlushInterval
		return
	}
	for r.flushAt <= now {
		r.flushAt += r.cfg.FlushInterval
	}
}

// dropExpired drops records older than dedupRetention, because their attempts
// may have been counted in a window whose hashes are already deleted.
func (r *Recorder) dropExpired(now msg.Time) []msg.Effect {
	limit := r.clock.now(now).Add(-dedupRetention).UnixMilli()
	n := 0
	for n < len(r.waiting) && r.waiting[n].At < limit {
		n++
	}
	if n == 0 {
		return nil
	}
	return r.dropOldest(n, "usage records dropped: not written within the retention period")
}

// openSegment returns the segment for the next write.
func (r *Recorder) openSegment(now msg.Time) *segment {
	bucket := bucketOf(r.clock.now(now))
	s := r.segment
	if s != nil && s.bucket.Equal(bucket) && len(s.records) < maxSegmentRecords {
		return s
	}
	r.seq++
	r.segment = &segment{bucket: bucket, name: fmt.Sprintf("%s%s.%d", bucketPrefix(bucket), r.writer, r.seq)}
	return r.segment
}

func (r *Recorder) onWritten(now msg.Time, res store.Result) []msg.Effect {
	s := r.segment
	if s == nil || res.Tag != r.seq {
		return nil
	}
	n := s.writing
	s.writing = 0
	inTime := !r.clock.now(now).After(s.bucket.Add(bucketLength + confirmTimeout))
	switch {
	case res.Status == msg.CallOK && inTime:
		s.version = res.Object.Version
		s.records = append(s.records, r.waiting[:n]...)
		r.waiting = append([]record(nil), r.waiting[n:]...)
	case res.Status == msg.CallUnavailable, res.Status == msg.CallRejected:
		r.dropIfMutated(n)
	default:
		// The object was changed, the result is unknown, or the object's bucket
		// may no longer be read. The records are written to another object; an
		// attempt that is found in both is counted once.
		r.segment = nil
		r.dropIfMutated(n)
	}
	return r.flush(now)
}

func (r *Recorder) dropIfMutated(n int) {
	if r.cfg.Mutation == MutateForgetUnconfirmed {
		r.waiting = r.waiting[n:]
	}
}

// clock computes the wall time between ticks from the monotonic time.
type clock struct {
	wall time.Time
	at   msg.Time
}

func (c *clock) observe(now msg.Time, ev msg.Event) {
	if tick, ok := ev.(msg.Tick); ok {
		c.wall, c.at = tick.Wall, now
	}
}

func (c *clock) now(now msg.Time) time.Time { return c.wall.Add(now - c.at) }
