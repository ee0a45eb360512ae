package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errStalled means that a target sent no whole event of a stream for too long.
var errStalled = errors.New("no whole event within the time limit")

// stallRecheck is the time from the first check that finds a stream stalled to the one
// that ends it. After a pause of this process, events that have arrived are read first.
const stallRecheck = 250 * time.Millisecond

// stallWatch ends an attempt whose target sends no whole event for too long, however
// many bytes it sends. It wakes up once in each time limit. A nil watch does nothing.
type stallWatch struct {
	limit  time.Duration
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// since is when the last event arrived, put off by the pauses since then. pausedAt is
	// zero unless the watch is paused.
	since, pausedAt time.Time
	stopped         bool
	// suspected reports that the last check found the stream stalled.
	suspected bool
}

// watchStalls returns a context that ends with errStalled when the watch finds a stall.
// A limit of zero means no watch.
func watchStalls(ctx context.Context, limit time.Duration) (context.Context, *stallWatch) {
	if limit <= 0 {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{limit: limit, cancel: cancel, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return ctx, w
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.limit
	if w.pausedAt.IsZero() {
		left -= time.Since(w.since)
	}
	if left > 0 {
		w.suspected = false
		w.timer.Reset(left)
		return
	}
	if w.suspected {
		w.cancel(errStalled)
		return
	}
	w.suspected = true
	w.timer.Reset(stallRecheck)
}

// pause reports that nothing is awaited from the target until the watch proceeds.
func (w *stallWatch) pause() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedAt = time.Now()
}

// proceed reports that something is awaited again, and whether an event arrived before.
func (w *stallWatch) proceed(arrived bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.since = w.since.Add(now.Sub(w.pausedAt))
	w.pausedAt = time.Time{}
	if arrived {
		w.since = now
		w.suspected = false
	}
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
