// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of an event. It is checked only when a line does not
// fit into the read buffer, so an event of many short lines may be larger.
const maxEventBytes = 1 << 20

// ErrPartial means that the stream ended inside an event.
var ErrPartial = errors.New("sse: stream ends inside an event")

// Event is a complete event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the id of the event. It is valid if HasID is set.
	ID    int64
	HasID bool
}

// Reader reads events. The bytes of an event are valid until the next call of
// [Reader.Next].
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 2048)} }

// Buffered reports whether data that Next has not yet consumed is buffered.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// Next returns the next event. At the end of the stream it returns [io.EOF], or
// [ErrPartial] if the stream ends inside an event. Other errors are read errors of
// the stream, or report an event that is too large.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var ev Event
	for {
		line, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.buf) > maxEventBytes {
				return Event{}, errors.New("sse: event is too large")
			}
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return Event{}, ErrPartial
		case err != nil:
			return Event{}, err
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 {
			ev.parseField(text)
			continue
		}
		ev.Raw = r.buf
		return ev, nil
	}
}

// parseField parses a line of an event. Only a numeric id is evaluated.
func (e *Event) parseField(line []byte) {
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
