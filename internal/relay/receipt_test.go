package relay

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// receive reads a body of n bytes into a receipt, of known size or not.
func receive(r *Receipt, n int, sized bool) ([]byte, error) {
	size := int64(-1)
	if sized {
		size = int64(n)
	}
	return r.ReadAll(bytes.NewReader(response(n)), size, 1<<20)
}

// newReceipt returns a receipt, and the number of times at which its request was
// interrupted.
func newReceipt(b *Budget) (*Receipt, *int) {
	interrupted := 0
	return b.Receipt(func() { interrupted++ }), &interrupted
}

// Requests that have arrived keep their room, which is half of the budget at most. Copies of
// a body of unknown size count while it grows.
func TestRequestsDrawOnTheBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(120<<10, slog.New(slog.DiscardHandler))
	first, _ := newReceipt(b)
	_, err := receive(first, 20<<10, true)
	is.NoErr(err)
	is.True(first.Arrived())
	second, _ := newReceipt(b)
	_, err = receive(second, 44<<10, true)
	is.True(errors.Is(err, ErrNoRoom))
	_, err = receive(second, 20<<10, false)
	is.True(errors.Is(err, ErrNoRoom)) // with the copy
	second.Release()
	first.Release()
	got, err := receive(second, 20<<10, false)
	is.NoErr(err)
	is.True(bytes.Equal(got, response(20<<10)))
	is.Equal(b.Stats().RequestBytes, int64(32<<10))
	second.Release()
	is.Equal(b.Stats().RequestBytes, int64(0))
	is.True(b.Stats().PeakBytes <= 60<<10)
	_, err = second.ReadAll(bytes.NewReader(response(101)), -1, 100)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = second.ReadAll(bytes.NewReader(response(99)), 100, 100)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// The request that has waited the longest for its end loses its room to one that needs it.
// One that has arrived does not, and none takes the room of later ones.
func TestStalledRequestLosesItsRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(128<<10, slog.New(slog.DiscardHandler))
	whole, _ := newReceipt(b)
	is.True(whole.Reserve(16 << 10))
	is.True(whole.Arrived())
	stalled, interrupted := newReceipt(b)
	is.True(stalled.Reserve(24 << 10))
	later, untouched := newReceipt(b)
	is.True(later.Reserve(16 << 10))
	is.True(!stalled.Reserve(24 << 10)) // it would need the room of a later one
	newest, _ := newReceipt(b)
	is.True(newest.Reserve(32 << 10))
	is.Equal(*interrupted, 1)
	is.True(stalled.Lost())
	is.True(!stalled.Arrived())
	is.True(!stalled.Reserve(1))
	is.True(!later.Lost())
	is.Equal(*untouched, 0)
	is.True(!newest.Reserve(64 << 10)) // more than requests may hold takes nobody's room
	is.True(!later.Lost())
	is.Equal(b.Stats().RequestBytes, int64(64<<10))
	for _, r := range []*Receipt{whole, stalled, later, newest} {
		r.Release()
	}
	is.Equal(b.Stats().RequestBytes, int64(0))
	is.True(stalled.Reserve(1)) // for the next request
}

// However many callers are behind, a part of the budget is left for requests.
func TestCallersBehindLeaveRoomForRequests(t *testing.T) {
	is := is.New(t)
	const limit = 4 << 20
	b := NewBudget(limit, slog.New(slog.DiscardHandler))
	for range 1000 {
		a := b.Account()
		for a.Grow(blockBytes) {
		}
	}
	var requests int64
	for {
		r, _ := newReceipt(b)
		if !r.Reserve(16<<10) || !r.Arrived() {
			break
		}
		requests += 16 << 10
	}
	is.Equal(requests, int64(limit/4))
	is.True(b.Stats().ResponseBytes > limit/2)
	is.True(b.Stats().PeakBytes <= limit)
}

// A body of known size needs no room beyond it, and a large one little more while it grows.
func TestBodyOfKnownSizeNeedsNoMoreRoom(t *testing.T) {
	for size, peak := range map[int64]int64{24 << 10: 24 << 10, 1 << 20: 5 << 18} {
		is := is.New(t)
		b := NewBudget(2*peak, slog.New(slog.DiscardHandler))
		r, _ := newReceipt(b)
		got, err := r.ReadAll(bytes.NewReader(response(int(size))), size, size)
		is.NoErr(err)
		is.True(bytes.Equal(got, response(int(size))))
		is.Equal(b.Stats().RequestBytes, size)
		is.True(b.Stats().PeakBytes <= peak)
		r.Release()
		is.Equal(b.Stats().RequestBytes, int64(0))
	}
}
