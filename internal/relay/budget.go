package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// defaultStallTimeout is how long a caller may take nothing before it is given up.
	defaultStallTimeout = 30 * time.Second
	// defaultTightTimeout is the same while the budget is nearly used up. Targets cut off
	// what stays unread for some seconds too.
	defaultTightTimeout = 5 * time.Second
	// callerShare is the fraction 1/callerShare of what is free that one caller may hold.
	callerShare = 8
	// reserveShare is the fraction 1/reserveShare of the budget that is left for the first
	// block of each caller, which is all that one needs who is behind for a moment.
	reserveShare = 8
	// tightShare is the fraction 1/tightShare of the budget: with less than that left,
	// callers that take nothing are given up sooner.
	tightShare = 4
	// bodyShare is the fraction 1/bodyShare of the budget that bodies of requests may
	// hold. The rest is left for responses, which free memory as they are sent.
	bodyShare = 2
	// defaultLingerTimeout is how long a closed connection is read on at most, and
	// maxLingering is the number of such connections.
	defaultLingerTimeout = 5 * time.Second
	maxLingering         = 256
)

// Reason states why a caller was given up.
type Reason string

// Reasons for which callers are given up.
const (
	// ReasonStalled means that the caller took nothing for the whole time limit.
	ReasonStalled Reason = "stalled"
	// ReasonMemory means that it took nothing for the shorter time limit that applies
	// while memory is nearly used up.
	ReasonMemory Reason = "memory"
)

// Budget bounds the bytes that a process holds for its callers. It is safe for
// concurrent use.
type Budget struct {
	// StallTimeout is how long a caller may take nothing before it is given up, and
	// TightTimeout the same while the budget is nearly used up. They must be set before
	// the first use.
	StallTimeout, TightTimeout time.Duration
	// LingerTimeout is how long a closed connection is read on whose caller is still
	// sending. It must be set before the first use.
	LingerTimeout time.Duration

	limit int64
	log   *slog.Logger

	mu sync.Mutex
	// responses and bodies are the bytes held of responses and of requests.
	responses, bodies int64
	// behind is the number of callers that have not yet taken all that was written.
	behind int
	// lingering is the number of closed connections that are read on.
	lingering int
	// idle is closed when no caller is behind and no connection lingers. It is nil unless
	// somebody waits.
	idle  chan struct{}
	stats Stats
}

// Stats is a snapshot of a budget. The counts are those since the start.
type Stats struct {
	// ResponseBytes and BodyBytes are held at the moment, and PeakBytes were held at most.
	ResponseBytes, BodyBytes, PeakBytes int64
	// Behind is the number of callers that have not yet taken all that was written.
	Behind int
	// Lingering is the number of closed connections that are read until their callers
	// have received the response.
	Lingering int
	// HeldBack counts the times at which a writer had to wait for a caller, Refused the
	// bodies that were refused, and GivenUp the callers that were given up.
	HeldBack, Refused int64
	GivenUp           map[Reason]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64, log *slog.Logger) *Budget {
	return &Budget{
		StallTimeout: defaultStallTimeout, TightTimeout: defaultTightTimeout,
		LingerTimeout: defaultLingerTimeout,
		limit:         bytes, log: log, stats: Stats{GivenUp: make(map[Reason]int64)},
	}
}

// Stats returns the present figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.ResponseBytes, s.BodyBytes, s.Behind, s.Lingering = b.responses, b.bodies, b.behind, b.lingering
	s.GivenUp = make(map[Reason]int64, len(b.stats.GivenUp))
	for reason, n := range b.stats.GivenUp {
		s.GivenUp[reason] = n
	}
	return s
}

// ReserveBody reserves room for n bytes of a request's body. It returns false if there
// is none. The room is freed by ReleaseBody.
func (b *Budget) ReserveBody(n int64) bool {
	b.mu.Lock()
	ok := b.bodies+n <= b.limit/bodyShare && n <= b.free()-b.limit/reserveShare
	if ok {
		b.bodies += n
		b.notePeak()
	} else {
		b.stats.Refused++
	}
	bodies, responses := b.bodies, b.responses
	b.mu.Unlock()
	// Every write to a caller that is behind needs the lock. It must not wait for the log.
	if !ok {
		b.log.Info("relay: no room for the body of a request", "bytes", n, "held_bodies", bodies, "held_responses", responses, "limit", b.limit)
	}
	return ok
}

// ReleaseBody frees n bytes that were reserved by ReserveBody.
func (b *Budget) ReleaseBody(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= n
}

// Wait returns when no caller is behind and no connection lingers, or when ctx ends.
func (b *Budget) Wait(ctx context.Context) error {
	b.mu.Lock()
	if b.behind+b.lingering == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *Budget) free() int64 { return b.limit - b.responses - b.bodies }

func (b *Budget) notePeak() {
	b.stats.PeakBytes = max(b.stats.PeakBytes, b.responses+b.bodies)
}

// tight reports whether the budget is nearly used up.
func (b *Budget) tight() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free() < b.limit/tightShare
}

func (b *Budget) countHeldBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.HeldBack++
}

func (b *Budget) countGivenUp(reason Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.GivenUp[reason]++
}

// enter and leave count the callers that are behind.
func (b *Budget) enter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behind++
}

func (b *Budget) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behind--
	b.wakeIfIdle()
}

// enterLinger counts a connection that lingers. It returns false if there are too many.
func (b *Budget) enterLinger() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lingering == maxLingering {
		return false
	}
	b.lingering++
	return true
}

func (b *Budget) leaveLinger() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lingering--
	b.wakeIfIdle()
}

// wakeIfIdle ends the calls of Wait if there is nothing to wait for. The caller holds mu.
func (b *Budget) wakeIfIdle() {
	if b.behind+b.lingering == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// Account is what is held of a budget for one response. Its zero value is unusable; it
// is not safe for concurrent use.
type Account struct {
	budget *Budget
	held   int64
}

// Account returns an account that holds nothing.
func (b *Budget) Account() Account { return Account{budget: b} }

// Grow takes n more bytes from the budget. It returns false if the account may not hold
// as much now: beyond its first block, because it would hold more than one caller's share
// of what is free.
func (a *Account) Grow(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	after := a.held + n
	if n > b.free() || after > blockBytes && after*callerShare > b.free()-b.limit/reserveShare {
		return false
	}
	a.held = after
	b.responses += n
	b.notePeak()
	return true
}

// Shrink returns n bytes to the budget.
func (a *Account) Shrink(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.held -= n
	b.responses -= n
}

// Held returns the bytes that are held.
func (a *Account) Held() int64 { return a.held }

// Close returns all that is held.
func (a *Account) Close() { a.Shrink(a.held) }
