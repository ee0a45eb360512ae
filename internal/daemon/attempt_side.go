package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// attemptGrace is how long an idempotent attempt may run without a stream to its
	// entry daemon, and how long the frames of an ended attempt are kept for a
	// resumption.
	attemptGrace = 10 * time.Second
	// maxUnackedFrames is the number of unacknowledged frames beyond which the
	// side daemon stops reading the target's response.
	maxUnackedFrames = 4 * link.Credit
	// attemptIDRetention is how long the side daemon keeps the IDs of ended attempts
	// whose frames were removed, and of unknown attempts that an entry daemon tried
	// to resume.
	attemptIDRetention = 10 * time.Minute
)

var errStreamEnded = errors.New("stream ended")

// attemptRun is one attempt on a side daemon. Its frames are kept until it is
// removed, so that a new stream can continue where a failed one ended.
type attemptRun struct {
	spec    msg.AttemptSpec
	payload link.Payload
	kvURL   string
	// decided is closed when the reducer has accepted or refused the attempt.
	decided chan struct{}
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu sync.Mutex
	// changed is closed and replaced when the decision, the frames, the end or the
	// acknowledged frames change.
	changed  chan struct{}
	refused  *link.Refused
	accepted bool
	frames   []*link.Frame
	checksum *xxhash.Digest
	end      *link.End
	// readers is the number of streams that read the attempt.
	readers int
	// delivered reports whether the entry daemon has received the end or has given up.
	delivered bool
	// acked is the number of the first frame that has not been acknowledged.
	acked uint64
	// detachedAt is the time at which a stream last stopped reading the attempt, or at
	// which the attempt was created.
	detachedAt time.Time
}

func newAttemptRun(open *link.AttemptOpen) *attemptRun {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &attemptRun{
		spec: open.Spec, payload: open.Payload, kvURL: open.KVURL,
		decided: make(chan struct{}), changed: make(chan struct{}),
		ctx: ctx, cancel: cancel, checksum: xxhash.New(), detachedAt: time.Now(),
	}
}

// notifyChange wakes the goroutines that wait for a change. The caller holds mu.
func (a *attemptRun) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// decide records the reducer's decision. The attempt is accepted if r is nil. Only
// the first decision counts.
func (a *attemptRun) decide(r *link.Refused) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.decided:
		return
	default:
	}
	a.refused, a.accepted = r, r == nil
	close(a.decided)
	a.notifyChange()
}

// appendFrame appends a head or chunk. It blocks while more than maxUnackedFrames
// frames are unacknowledged, and fails if the attempt is cancelled meanwhile.
func (a *attemptRun) appendFrame(f *link.Frame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	seq := uint64(len(a.frames))
	if f.Head != nil {
		f.Head.Seq = seq
	} else {
		f.Chunk.Seq = seq
		addChecksum(a.checksum, f.Chunk)
	}
	a.frames = append(a.frames, f)
	a.notifyChange()
	for uint64(len(a.frames)) > a.acked+maxUnackedFrames {
		wait := a.changed
		a.mu.Unlock()
		select {
		case <-wait:
		case <-a.ctx.Done():
		}
		a.mu.Lock()
		if err := context.Cause(a.ctx); err != nil {
			return err
		}
	}
	return nil
}

// addChecksum adds a chunk to the running checksum of a response.
func addChecksum(sum *xxhash.Digest, c *link.Chunk) {
	_, _ = sum.WriteString(c.Text)
	_, _ = sum.Write(c.Data)
}

// finish records the end of the attempt. Only the first end counts.
func (a *attemptRun) finish(result msg.AttemptResult, reason string, usage msg.TokenUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &link.End{
		Result: result, Reason: reason, Usage: usage,
		Frames: uint64(len(a.frames)), Checksum: a.checksum.Sum64(),
	}
	a.notifyChange()
}

// attach records that a stream has started to read the attempt.
func (a *attemptRun) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// detach records that a stream has stopped reading the attempt.
func (a *attemptRun) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.detachedAt = time.Now()
}

// markDelivered records that the entry daemon needs nothing more of the attempt.
func (a *attemptRun) markDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delivered = true
}

// awaited reports whether a stream reads the attempt, or one that failed may still be
// replaced.
func (a *attemptRun) awaited(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0 || !a.delivered && now.Sub(a.detachedAt) < resumeTimeout
}

// detachedFor returns how long the attempt has been without a stream that reads
// it, and whether it has ended.
func (a *attemptRun) detachedFor(now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers > 0 {
		return 0, a.end != nil
	}
	return now.Sub(a.detachedAt), a.end != nil
}

// writeFrames writes the attempt's frames, starting with number next, to a stream
// until the attempt ends or the stream fails.
func (a *attemptRun) writeFrames(s *link.Stream, next uint64) error {
	select {
	case <-a.decided:
	case <-s.Done():
		return errStreamEnded
	}
	if a.refused != nil {
		return s.Write(&link.Frame{Refused: a.refused}, 0)
	}
	if err := s.Write(&link.Frame{Accepted: &link.Accepted{}}, 0); err != nil {
		return err
	}
	for {
		frames, end, changed := a.framesFrom(next)
		for _, f := range frames {
			if err := s.Write(f, 0); err != nil {
				return err
			}
		}
		next += uint64(len(frames))
		if end != nil {
			return s.Write(&link.Frame{End: end}, 0)
		}
		if len(frames) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-s.Done():
			return errStreamEnded
		}
	}
}

// framesFrom returns the frames from number next on that may be sent, which are at
// most [link.Credit] frames beyond the acknowledged ones. If there are none, it
// returns a channel that is closed at the next change. If next is past the last
// frame, it also returns the end of the attempt, which is nil until the attempt ends.
func (a *attemptRun) framesFrom(next uint64) ([]*link.Frame, *link.End, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := min(uint64(len(a.frames)), a.acked+link.Credit)
	if next < last {
		return a.frames[next:last:last], nil, nil
	}
	if next < uint64(len(a.frames)) {
		return nil, nil, a.changed
	}
	return nil, a.end, a.changed
}

// ack records that the entry daemon has received the frames before next.
func (a *attemptRun) ack(next uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next > a.acked && next <= uint64(len(a.frames)) {
		a.acked = next
		a.notifyChange()
	}
}

// attemptTable holds a side daemon's attempts.
type attemptTable struct {
	mu   sync.Mutex
	runs map[msg.AttemptID]*attemptRun
	// neverRun holds the IDs of attempts that must never run, and evicted those of
	// attempts that ran and whose frames were removed.
	neverRun, evicted map[msg.AttemptID]time.Time
}

func newAttemptTable() *attemptTable {
	return &attemptTable{
		runs:     make(map[msg.AttemptID]*attemptRun),
		neverRun: make(map[msg.AttemptID]time.Time),
		evicted:  make(map[msg.AttemptID]time.Time),
	}
}

// open adds an attempt. If the ID is known, it returns the existing attempt, and if
// the ID must never run, it returns nil.
func (t *attemptTable) open(o *link.AttemptOpen) (run *attemptRun, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.neverRun[o.Spec.Attempt]; ok {
		return nil, false
	}
	if run := t.runs[o.Spec.Attempt]; run != nil {
		return run, false
	}
	run = newAttemptRun(o)
	t.runs[o.Spec.Attempt] = run
	return run, true
}

// resume returns a known attempt. If the frames of the attempt were removed, it
// returns nil and reports that the attempt ran. Any other ID is unknown and must
// never run from then on.
func (t *attemptTable) resume(id msg.AttemptID) (run *attemptRun, ran bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.runs[id]; run != nil {
		return run, true
	}
	if _, ok := t.evicted[id]; ok {
		return nil, true
	}
	t.neverRun[id] = time.Now()
	return nil, false
}

func (t *attemptTable) get(id msg.AttemptID) *attemptRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// anyAwaited reports whether an entry daemon reads any attempt or may resume it.
func (t *attemptTable) anyAwaited(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range t.runs {
		if run.awaited(now) {
			return true
		}
	}
	return false
}

// sweep removes the ended attempts and the recorded IDs whose time is over. It
// returns the running idempotent attempts whose entry daemon has been disconnected
// for too long.
func (t *attemptTable) sweep(now time.Time) []*attemptRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orphans []*attemptRun
	for id, run := range t.runs {
		detached, ended := run.detachedFor(now)
		switch {
		case detached < attemptGrace:
		case ended:
			delete(t.runs, id)
			t.evicted[id] = now
		case run.spec.Idempotent:
			orphans = append(orphans, run)
		}
	}
	expire(t.neverRun, now)
	expire(t.evicted, now)
	return orphans
}

// expire removes the IDs that were recorded more than attemptIDRetention ago.
func expire(ids map[msg.AttemptID]time.Time, now time.Time) {
	for id, at := range ids {
		if now.Sub(at) > attemptIDRetention {
			delete(ids, id)
		}
	}
}
