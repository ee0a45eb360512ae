package relay

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstReadBytes is how much room is made for a body of unknown length at first.
const firstReadBytes = 4 << 10

// ErrNoRoom means that a body exceeds what may be held at the moment.
var ErrNoRoom = errors.New("no room for the body")

// ReadAll reads a response's body of the given size, or of unknown size if that is
// negative, up to limit bytes. The account grows with the memory that is used. If it may
// not, or the body is longer, the result is the part that was read and [ErrNoRoom].
func (a *Account) ReadAll(r io.Reader, size, limit int64) ([]byte, error) {
	room := min(size, limit)
	if size < 0 {
		room = min(firstReadBytes, limit)
	}
	if !a.Grow(room) {
		return nil, ErrNoRoom
	}
	body := make([]byte, 0, room)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == size {
				return body, nil
			}
			more := min(int64(cap(body)), limit-int64(len(body)))
			if more <= 0 || !a.Grow(more) {
				return body, ErrNoRoom
			}
			body = append(make([]byte, 0, int64(cap(body))+more), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// Body is the body of a caller's request, which reserves room before it is read.
type Body struct {
	io.ReadCloser
	budget *Budget
	// sized reports that the size is known, so that no more room is needed.
	sized bool
	// reserved is the room that is reserved, and unused the part that is left.
	reserved, unused int64
}

// Body returns a request's body of the given size, or of unknown size if that is
// negative. It reserves room at once if the size is known, and otherwise as the body is
// read. It returns false if there is no room. The reader must not return more than a
// known size.
func (b *Budget) Body(body io.ReadCloser, size int64) (*Body, bool) {
	held := &Body{ReadCloser: body, budget: b, sized: size >= 0}
	return held, held.reserve(max(size, 0))
}

func (b *Body) reserve(n int64) bool {
	if !b.budget.ReserveBody(n) {
		return false
	}
	b.reserved += n
	b.unused += n
	return true
}

// Read implements [io.Reader]. It fails with [ErrNoRoom] if no room is left.
func (b *Body) Read(p []byte) (int, error) {
	if b.sized {
		return b.ReadCloser.Read(p)
	}
	if b.unused == 0 && !b.reserve(max(b.reserved, firstReadBytes)) {
		return 0, ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.unused)])
	b.unused -= int64(n)
	return n, err
}

// Release frees the room when the request is over.
func (b *Body) Release() { b.budget.ReleaseBody(b.reserved) }
