// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of an event.
const maxEventBytes = 1 << 20

// bufferBytes is the size of the read buffer.
const bufferBytes = 2048

// ErrPartial means that the stream ended inside an event.
var ErrPartial = errors.New("sse: stream ends inside an event")

// Event is a complete event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the id of the event. It is valid if HasID is set.
	ID    int64
	HasID bool
	// HasData reports whether the event has a data field. Targets and proxies send events
	// without one, such as comments, to keep a connection open.
	HasData bool
	// Comment reports that the event has no field: it consists of comments, or is empty.
	Comment bool
	// Malformed reports a line that is neither a comment nor a field, or an id that is no
	// number or stands twice. Fields are those that the format defines, and extensions,
	// whose names begin with "x-".
	Malformed bool
}

// Reader reads events. The bytes of an event are valid until the next call of
// [Reader.Next].
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferBytes)} }

// Buffered reports whether the next event is buffered to its end, so that Next will return
// it without waiting.
func (r *Reader) Buffered() bool {
	// Peek does not read, and can't fail for as many bytes as are buffered.
	b, _ := r.r.Peek(r.r.Buffered())
	return bytes.HasPrefix(b, []byte("\n")) || bytes.HasPrefix(b, []byte("\r\n")) ||
		bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// Next returns the next event. At the end of the stream it returns [io.EOF], or
// [ErrPartial] if the stream ends inside an event. Other errors are read errors of
// the stream, or report an event that is too large.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	ev := Event{Comment: true}
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && len(r.buf) > 0 {
			return Event{}, ErrPartial
		}
		if err != nil {
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

// readLine appends the next line to the buffered event and returns it with its end.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.buf)
	for {
		part, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return nil, errors.New("sse: event is too large")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.buf[start:], err
		}
	}
}

// extensionPrefix begins the names of fields that the format does not define.
const extensionPrefix = "x-"

// parseField parses a line of an event.
func (e *Event) parseField(line []byte) {
	name, value, colon := bytes.Cut(line, []byte(":"))
	if colon && len(name) == 0 {
		return
	}
	e.Comment = false
	switch string(name) {
	case "data":
		e.HasData = true
	case "id":
		e.parseID(value)
	case "event", "retry":
	default:
		e.Malformed = e.Malformed || !colon || !bytes.HasPrefix(name, []byte(extensionPrefix))
	}
}

// parseID parses the value of an id field.
func (e *Event) parseID(value []byte) {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || e.HasID {
		e.Malformed = true
		return
	}
	e.ID, e.HasID = id, true
}
