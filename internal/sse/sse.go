// Package sse splits an event stream into whole events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds an event in bytes.
const maxEvent = 1 << 20

// ErrPartial means that the stream ended inside an event.
var ErrPartial = errors.New("sse: stream ends inside an event")

// Event is a whole event, as received, with its closing empty line.
type Event struct {
	Raw []byte
	// ID is the event's id and HasID says that it has one.
	ID    int64
	HasID bool
}

// Reader reads events. An event's bytes are valid until the next one is read.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 2048)} }

// Buffered reports whether more of the stream is at hand.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// Next reads an event. At the end of the stream it returns [io.EOF], or
// [ErrPartial] inside an event; other errors are those of the stream.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var ev Event
	for {
		line, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.buf) > maxEvent {
				return Event{}, errors.New("sse: event is too large")
			}
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return Event{}, ErrPartial
		case err != nil:
			return Event{}, err
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 {
			ev.field(text)
			continue
		}
		ev.Raw = r.buf
		return ev, nil
	}
}

// field takes a line of an event.
func (e *Event) field(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID = id
		e.HasID = true
	}
}
