package relay

import (
	"container/list"
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
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
	// requestShare is the fraction 1/requestShare of the budget that requests may hold. The
	// rest is left for responses, which free memory as they are sent.
	requestShare = 2
	// requestReserve is the fraction 1/requestReserve of the budget that responses leave to
	// requests.
	requestReserve = 4
	// defaultLingerTimeout is how long a closed connection is read on at most, and
	// maxLingering is the number of such connections.
	defaultLingerTimeout = 5 * time.Second
	maxLingering         = 256
	// logInterval is the time between two log lines about the same that any number of
	// callers may cause.
	logInterval = time.Second
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
	// refusals limits the log lines about requests without room.
	refusals rate.Sometimes

	mu sync.Mutex
	// responses and requests are the bytes held of responses and of requests.
	responses, requests int64
	ports               []*Port
	// arriving holds the receipts of requests that hold something and have not arrived
	// whole, in the order in which they began to hold.
	arriving list.List
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
	// ResponseBytes and RequestBytes are held at the moment, and PeakBytes were held at
	// most.
	ResponseBytes, RequestBytes, PeakBytes int64
	// Behind is the number of callers that have not yet taken all that was written.
	Behind int
	// Lingering is the number of closed connections that are read until their callers
	// have received the response.
	Lingering int
	// HeldBack counts the times at which a writer had to wait for a caller, Refused the
	// requests for which there was no room, and GivenUp the callers that were given up.
	HeldBack, Refused int64
	GivenUp           map[Reason]int64
	Ports             []PortStats
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64, log *slog.Logger) *Budget {
	return &Budget{
		StallTimeout: defaultStallTimeout, TightTimeout: defaultTightTimeout,
		LingerTimeout: defaultLingerTimeout,
		limit:         bytes, log: log, refusals: rate.Sometimes{Interval: logInterval},
		stats: Stats{GivenUp: make(map[Reason]int64)},
	}
}

// Stats returns the present figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.ResponseBytes, s.RequestBytes, s.Behind, s.Lingering = b.responses, b.requests, b.behind, b.lingering
	s.GivenUp = make(map[Reason]int64, len(b.stats.GivenUp))
	for reason, n := range b.stats.GivenUp {
		s.GivenUp[reason] = n
	}
	for _, p := range b.ports {
		s.Ports = append(s.Ports, p.stats())
	}
	return s
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

func (b *Budget) free() int64 { return b.limit - b.responses - b.requests }

func (b *Budget) notePeak() {
	b.stats.PeakBytes = max(b.stats.PeakBytes, b.responses+b.requests)
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
	free := b.limit - b.responses - max(b.requests, b.limit/requestReserve)
	if n > free || after > blockBytes && after*callerShare > free-b.limit/reserveShare {
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
