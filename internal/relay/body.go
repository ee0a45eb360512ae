package relay

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstReadBytes is how much room is made for a body of unknown length at first.
const firstReadBytes = 4 << 10

// ErrNoRoom means that more would be held than there is room for at the moment.
var ErrNoRoom = errors.New("relay: no room")

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
