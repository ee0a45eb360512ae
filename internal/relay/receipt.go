package relay

import (
	"container/list"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// wholeBytes is the size up to which the room for a body of known size is taken at
	// once. That for a larger one is taken as it arrives: what is held grows by the factor
	// knownGrowth, which keeps the copy at the end small beside the size, or, if the size
	// is not known, unknownGrowth.
	wholeBytes    = 64 << 10
	knownGrowth   = 4
	unknownGrowth = 2
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("relay: body is too large")

// Receipt is the room that one request holds: its head, its body and what is made of them.
//
// While the request arrives, it may lose its room to another one that needs it. The one that
// began to hold first is the first to lose: of callers that stop half-way, or send very
// slowly, it has waited the longest, and a caller that sends what it has is soon done.
type Receipt struct {
	budget *Budget
	// interrupt makes the request's reader fail once the room is lost.
	interrupt func()
	lost      atomic.Bool

	// heavy reports that the head took more room than an ordinary one.
	heavy atomic.Bool

	// The following are guarded by the budget's mutex. Body is what of held is for the body.
	held, body int64
	// whole reports that the request has arrived, so that it keeps its room.
	whole bool
	// element is the place in the list of arriving requests, or nil.
	element *list.Element
}

// Receipt returns a receipt that holds nothing. If its room is lost, interrupt is called,
// which must make the reading of the request fail and must not block.
func (b *Budget) Receipt(interrupt func()) *Receipt {
	return &Receipt{budget: b, interrupt: interrupt}
}

// Reserve takes room for n more bytes, if need be from requests that have waited longer to
// arrive. It returns false if there is none, or the request itself is the one to lose.
func (r *Receipt) Reserve(n int64) bool {
	b := r.budget
	b.mu.Lock()
	if r.element == nil && !r.whole && !r.lost.Load() {
		r.element = b.arriving.PushBack(r)
	}
	var losers []*Receipt
	if !r.lost.Load() {
		losers = b.makeRoom(r, n)
	}
	ok := !r.lost.Load() && b.fitsRequest(n, 0)
	if ok {
		r.held += n
		b.requests += n
		b.notePeak()
	} else {
		b.stats.Refused++
	}
	requests, responses := b.requests, b.responses
	b.mu.Unlock()
	for _, loser := range losers {
		loser.interrupt()
	}
	if !ok || len(losers) > 0 {
		// Every write to a caller that is behind needs the lock. It must not wait for the log.
		b.refusals.Do(func() {
			b.log.Info("relay: no room for a request", "bytes", n, "held_requests", requests, "held_responses", responses, "limit", b.limit, "gave_way", len(losers))
		})
	}
	return ok
}

// fitsRequest reports whether requests may hold n more bytes once freed bytes of them are
// free.
func (b *Budget) fitsRequest(n, freed int64) bool {
	after := b.requests - freed + n
	return after <= b.limit/requestReserve || after <= b.limit/requestShare && n <= b.free()+freed-b.limit/reserveShare
}

// makeRoom takes the room of requests that began to arrive before r until n bytes fit, and
// returns those that have lost it. If that is not enough, none loses it.
func (b *Budget) makeRoom(r *Receipt, n int64) []*Receipt {
	var losers []*Receipt
	var freed int64
	for e := b.arriving.Front(); !b.fitsRequest(n, freed); e = e.Next() {
		if e == nil || e == r.element {
			return nil
		}
		loser := e.Value.(*Receipt)
		losers = append(losers, loser)
		freed += loser.held
	}
	for _, loser := range losers {
		loser.lost.Store(true)
		loser.free()
		b.stats.Refused++
	}
	return losers
}

// free returns all room and takes the request off the list. The caller holds the budget's
// mutex.
func (r *Receipt) free() {
	b := r.budget
	b.requests -= r.held
	r.held, r.body = 0, 0
	r.leave()
}

// leave takes the request off the list. The caller holds the budget's mutex.
func (r *Receipt) leave() {
	if r.element != nil {
		r.budget.arriving.Remove(r.element)
		r.element = nil
	}
}

// Lost reports whether the room was lost, or refused, to another request.
func (r *Receipt) Lost() bool { return r.lost.Load() }

// Arrived keeps the room for a request that has arrived whole. It returns false if the room
// was lost before.
func (r *Receipt) Arrived() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.lost.Load() {
		return false
	}
	r.whole = true
	r.leave()
	return true
}

// Heavy reports whether the head of the request took more room than an ordinary one. The
// server holds that until it has closed the connection or begins to read the next request.
func (r *Receipt) Heavy() bool { return r.heavy.Load() }

// ReleaseBody returns the room of the body when the handler of the request ends. That of the
// head is held for as long as the server holds the head.
func (r *Receipt) ReleaseBody() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.give(r.body)
	r.body = 0
	r.whole = true
	r.leave()
}

// Release returns all room when the server holds nothing of the request any more. The receipt
// can then be used for the next one.
func (r *Receipt) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.free()
	r.whole = false
	r.lost.Store(false)
	r.heavy.Store(false)
}

// shrink returns n bytes, unless the room was lost.
func (r *Receipt) shrink(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.give(n)
}

// give is like shrink. The caller holds the budget's mutex.
func (r *Receipt) give(n int64) {
	n = min(n, r.held)
	r.held -= n
	r.budget.requests -= n
}

// ReadAll reads a request's body of the given size, or of unknown size if that is negative.
// It takes room as the body arrives, also for the copies by which it grows. It fails with
// [ErrTooLarge] if the body is longer than limit, and with [ErrNoRoom] if there is no room
// or it was lost.
func (r *Receipt) ReadAll(body io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	var p []byte
	for {
		var err error
		if p, err = r.grow(p, size, limit); err != nil {
			return nil, err
		}
		n, err := body.Read(p[len(p):cap(p)])
		p = p[:len(p)+n]
		switch {
		case int64(len(p)) > limit:
			return nil, ErrTooLarge
		case int64(len(p)) == size || size < 0 && errors.Is(err, io.EOF):
			return p, nil
		case r.Lost():
			return nil, ErrNoRoom
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// grow returns p with room for more bytes of a body, if it has none left.
func (r *Receipt) grow(p []byte, size, limit int64) ([]byte, error) {
	if p != nil && len(p) < cap(p) {
		return p, nil
	}
	// A byte beyond the limit shows that a body of unknown size is too large.
	next, end := max(unknownGrowth*int64(cap(p)), firstReadBytes), limit+1
	if size >= 0 {
		next, end = max(knownGrowth*int64(cap(p)), wholeBytes), size
	}
	next = min(next, end)
	if !r.Reserve(next) {
		return nil, ErrNoRoom
	}
	grown := append(make([]byte, 0, next), p...)
	r.shrink(int64(cap(p)))
	r.setBody(next)
	return grown, nil
}

// setBody records how much of the room is for the body.
func (r *Receipt) setBody(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.body = n
}
