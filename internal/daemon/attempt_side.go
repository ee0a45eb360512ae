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
	// attemptGrace is how long an attempt runs on without a stream to its
	// entry daemon, and how long an ended one is kept for a resumption.
	attemptGrace = 10 * time.Second
	// maxUnread is the number of frames by which the target may be ahead of
	// what was acknowledged before it waits.
	maxUnackedFrames = 4 * link.Credit
	// rememberFor is how long the ids of ended attempts, and of those that were
	// asked for and not known, are remembered.
	attemptIDRetention = 10 * time.Minute
)

var errStreamEnded = errors.New("stream ended")

// attemptRun is one attempt on a side daemon. Its frames are kept until it is
// forgotten, so that a new stream can continue where a lost one ended.
type attemptRun struct {
	spec    msg.AttemptSpec
	payload link.Payload
	kvURL   string
	decided chan struct{} // closed when the reducer has taken or refused it
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced whenever a field below changes
	refused    *link.Refused
	accepted   bool
	frames     []*link.Frame
	checksum   *xxhash.Digest
	end        *link.End
	readers    int
	acked      uint64 // the frames before it have been taken
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

func (a *attemptRun) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// decide records the reducer's decision. A nil refusal takes the attempt on.
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

// add appends a head or chunk and waits while the reader is far behind.
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

// addChecksum adds a chunk to the running checksum of an answer.
func addChecksum(sum *xxhash.Digest, c *link.Chunk) {
	_, _ = sum.WriteString(c.Text)
	_, _ = sum.Write(c.Data)
}

// finish closes the answer.
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

// attach and release count the streams that read the attempt.
func (a *attemptRun) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

func (a *attemptRun) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.detachedAt = time.Now()
}

// idle reports how long the attempt has been without a reader, and whether it
// has ended.
func (a *attemptRun) detachedFor(now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers > 0 {
		return 0, a.end != nil
	}
	return now.Sub(a.detachedAt), a.end != nil
}

// send writes the attempt's frames from next on to a stream until the end or
// until the stream fails.
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

// after returns the frames from next on for which there is credit. With none
// left it returns the end, or the channel that tells of a change.
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

// ack records that the frames before next were taken.
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
	// void holds the ids that will never run, and past those that ran and
	// whose frames are gone.
	neverRun, evicted map[msg.AttemptID]time.Time
}

func newAttemptTable() *attemptTable {
	return &attemptTable{
		runs:     make(map[msg.AttemptID]*attemptRun),
		neverRun: make(map[msg.AttemptID]time.Time),
		evicted:  make(map[msg.AttemptID]time.Time),
	}
}

// open records a new attempt. It returns the known one where the id is known,
// and nil where the id is void.
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

// resume returns a known attempt. Of one whose frames are gone it reports that
// it ran; any other unknown id becomes void.
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

// attached reports whether any attempt is being read.
func (t *attemptTable) anyAttached() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range t.runs {
		run.mu.Lock()
		attached := run.readers > 0
		run.mu.Unlock()
		if attached {
			return true
		}
	}
	return false
}

// sweep forgets ended attempts and void ids after their time, and returns the
// running idempotent ones whose entry daemon has been away for too long.
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

func expire(ids map[msg.AttemptID]time.Time, now time.Time) {
	for id, at := range ids {
		if now.Sub(at) > attemptIDRetention {
			delete(ids, id)
		}
	}
}
