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
	// stopInterval is the time between two writes during a graceful shutdown.
	stopInterval = 250 * time.Millisecond
	// maxSegment bounds the records of one flushed object; 2,000 records take
	// about 400 KB.
	maxSegment = 2000
	// maxHeld bounds the records that wait for the platform.
	maxHeld = 100_000
	// offerSlack is how long after its timeout an offered attempt is remembered.
	offerSlack = time.Minute
	logPart    = "usage"
)

// RecorderMutation switches a safeguard off. Only the proof of the safeguards
// uses it.
type RecorderMutation uint8

// Mutations of the recorder.
const (
	// MutateNoRecorderFault keeps all safeguards.
	MutateNoRecorderFault RecorderMutation = iota
	// MutateNoRecord keeps no records, as if only the other end counted.
	MutateNoRecord
	// MutateForgetUnconfirmed drops records whose write failed.
	MutateForgetUnconfirmed
)

// RecorderConfig configures a [Recorder].
type RecorderConfig struct {
	// FlushInterval is the time between two writes; zero for the default.
	FlushInterval time.Duration
	Mutation      RecorderMutation
}

// Recorder is the part of an entry's and a side's reducer that keeps what
// attempts used and flushes it to the platform.
type Recorder struct {
	cfg     RecorderConfig
	source  source
	writer  string
	clock   clock
	store   *store.Client
	offered map[msg.AttemptID]offer
	// waiting holds records that no confirmed write has, oldest first.
	waiting []record
	segment *segment
	seq     uint64
	flushAt msg.Time
	// stopping is set during a graceful shutdown, which waits for the records.
	stopping bool
	lost     uint64
}

// offer is what a side keeps of an attempt until it ends.
type offer struct {
	spec  msg.AttemptSpec
	until msg.Time
}

// segment is one flushed object.
type segment struct {
	bucket  time.Time
	name    string
	version msg.Version
	// records are confirmed; writing is the number of waiting records in the
	// write in flight, zero for none.
	records []record
	writing int
}

// RecorderStatus is what operators see of a recorder.
type RecorderStatus struct {
	Waiting int    `json:"waiting"`
	GivenUp uint64 `json:"givenUp"`
}

// NewRecorder returns a recorder.
func NewRecorder(cfg RecorderConfig) *Recorder {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = flushInterval
	}
	return &Recorder{cfg: cfg, offered: make(map[msg.AttemptID]offer)}
}

// Idle reports whether all records are at the platform.
func (r *Recorder) Idle() bool { return len(r.waiting) == 0 }

// Status returns the recorder's state for operators.
func (r *Recorder) Status(msg.Time) RecorderStatus {
	return RecorderStatus{Waiting: len(r.waiting), GivenUp: r.lost}
}

// Step takes one event.
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
		r.forgetOffers(now)
		effs = append(effs, r.flush(now)...)
	case msg.UsageCounted:
		effs = append(effs, r.add(now, record{Attempt: ev.Attempt, Account: ev.Account, Usage: ev.Usage, Continued: ev.Continued})...)
	case msg.AttemptOffered:
		r.offered[ev.Spec.Attempt] = offer{ev.Spec, now + ev.Spec.Timeout + offerSlack}
	case msg.SideAttemptEnded:
		effs = append(effs, r.onClosed(now, ev)...)
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
	// The seed spreads the writes of many processes over the interval.
	r.flushAt = now + time.Duration(ev.Seed%uint64(r.cfg.FlushInterval))
}

func (r *Recorder) onClosed(now msg.Time, ev msg.SideAttemptEnded) []msg.Effect {
	o, ok := r.offered[ev.Attempt]
	delete(r.offered, ev.Attempt)
	if !ok || ev.Result == msg.AttemptNotRun || o.spec.PrefillOnly {
		return nil
	}
	usage := ev.Usage
	if o.spec.Continued {
		usage.Prompt, usage.Cached = 0, 0
	}
	return r.add(now, record{Attempt: ev.Attempt, Account: o.spec.Account, Usage: usage, Continued: o.spec.Continued})
}

func (r *Recorder) forgetOffers(now msg.Time) {
	for id, o := range r.offered {
		if now > o.until {
			delete(r.offered, id)
		}
	}
}

func (r *Recorder) add(now msg.Time, rec record) []msg.Effect {
	if rec.Account == "" || r.cfg.Mutation == MutateNoRecord {
		return nil // open routes are charged to nobody
	}
	rec.At = r.clock.now(now).UnixMilli()
	r.waiting = append(r.waiting, rec)
	if len(r.waiting) <= maxHeld {
		return nil
	}
	return r.giveUp(len(r.waiting)-maxHeld, "too many records wait for the platform")
}

// giveUp drops the oldest waiting records that no write holds.
func (r *Recorder) giveUp(n int, reason string) []msg.Effect {
	if r.segment != nil && r.segment.writing > 0 {
		return nil
	}
	r.lost += uint64(n)
	r.waiting = append([]record(nil), r.waiting[n:]...)
	return []msg.Effect{msg.LogLine{Component: logPart, Level: msg.LogError, Text: reason, Attrs: []msg.Attr{
		{Key: "records", Value: strconv.Itoa(n)},
	}}}
}

// flush writes the waiting records, if it is time.
func (r *Recorder) flush(now msg.Time) []msg.Effect {
	busy := r.segment != nil && r.segment.writing > 0
	if busy || now < r.flushAt {
		return nil
	}
	effs := r.dropOld(now)
	if len(r.waiting) == 0 {
		return effs
	}
	r.scheduleFlush(now)
	s := r.openSegment(now)
	s.writing = min(len(r.waiting), maxSegment-len(s.records))
	body := flushed{Source: r.source, Records: append(s.records[:len(s.records):len(s.records)], r.waiting[:s.writing]...)}
	return append(effs, r.store.Put(now, r.seq, msg.KindUsage, s.name, body, s.version, 0))
}

func (r *Recorder) scheduleFlush(now msg.Time) {
	if r.stopping {
		r.flushAt = now + stopInterval
		return
	}
	for r.flushAt <= now {
		r.flushAt += r.cfg.FlushInterval
	}
}

// dropOld gives up records that are older than the memory of counted attempts.
func (r *Recorder) dropOld(now msg.Time) []msg.Effect {
	limit := r.clock.now(now).Add(-horizon).UnixMilli()
	n := 0
	for n < len(r.waiting) && r.waiting[n].At < limit {
		n++
	}
	if n == 0 {
		return nil
	}
	return r.giveUp(n, "records could not be flushed in time")
}

// openSegment returns the segment for the next write.
func (r *Recorder) openSegment(now msg.Time) *segment {
	bucket := bucketOf(r.clock.now(now))
	s := r.segment
	if s != nil && s.bucket.Equal(bucket) && len(s.records) < maxSegment {
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
	inTime := !r.clock.now(now).After(s.bucket.Add(bucketLength + confirmWithin))
	switch {
	case res.Status == msg.CallOK && inTime:
		s.version = res.Object.Version
		s.records = append(s.records, r.waiting[:n]...)
		r.waiting = append([]record(nil), r.waiting[n:]...)
	case res.Status == msg.CallUnavailable, res.Status == msg.CallRejected:
		r.dropMutated(n)
	default:
		// The object is not as expected or too old to be read. The records go
		// into another one; an attempt that is found twice counts once.
		r.segment = nil
		r.dropMutated(n)
	}
	return r.flush(now)
}

func (r *Recorder) dropMutated(n int) {
	if r.cfg.Mutation == MutateForgetUnconfirmed {
		r.waiting = r.waiting[n:]
	}
}

// clock tells the wall clock between ticks from the monotonic one.
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
