// Package response owns the HTTP response to one caller.
//
// The attempts of a request follow each other at different targets, and each may bring a
// part of a response. A [Writer] keeps what of the response has reached the caller, and
// writes only what continues that: anything if it is nothing, the next events if it is a
// stream, and the rest of a body from the attempt that began it. Whatever else an attempt
// brings is not written. The response then has to be cut, so that its caller sees that it
// is not whole.
//
// An attempt may be withdrawn from another goroutine, by its [Permit], up to the instant at
// which it begins to write.
package response

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/sse"
)

// ErrBegun means that what was to be written does not continue the response that has begun.
var ErrBegun = errors.New("response: another response has begun")

// ErrWithdrawn means that the attempt was withdrawn before it began to write.
var ErrWithdrawn = errors.New("response: attempt was withdrawn")

// Permit is an attempt's permission to write. It is used up by the first write and can be
// withdrawn before. Its zero value is valid. It is safe for concurrent use.
type Permit struct {
	mu              sync.Mutex
	used, withdrawn bool
}

// Withdraw withdraws the permission and reports whether it was not used before.
func (p *Permit) Withdraw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawn = p.withdrawn || !p.used
	return p.withdrawn
}

// use reports whether the attempt may write.
func (p *Permit) use() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = p.used || !p.withdrawn
	return p.used
}

// Writer is the response to one caller. It is not safe for concurrent use.
type Writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	copyHeader func(dst, src http.Header)
	state      msg.ResponseState
	ended      bool
	bytes      int64
	lastEvent  int64
}

// NewWriter returns a response of which nothing has been written. The function copyHeader
// copies the header fields of a target's response that are meant for the caller. The caller
// has received the events up to the number lastEvent from an earlier request; 0 means none.
func NewWriter(w http.ResponseWriter, copyHeader func(dst, src http.Header), lastEvent int64) *Writer {
	return &Writer{w: w, controller: http.NewResponseController(w), copyHeader: copyHeader, lastEvent: lastEvent}
}

// State returns what has been written.
func (w *Writer) State() msg.ResponseState { return w.state }

// Ended reports whether the whole response has been written.
func (w *Writer) Ended() bool { return w.ended }

// Bytes returns the number of bytes of the body that have been written.
func (w *Writer) Bytes() int64 { return w.bytes }

// LastEvent returns the number of the last event that the caller has received.
func (w *Writer) LastEvent() int64 { return w.lastEvent }

// Whole lets write write a whole response that no attempt brings, such as a refusal. It
// fails with [ErrBegun] if a part of another one has been written.
func (w *Writer) Whole(write func(http.ResponseWriter)) error {
	if w.state != msg.ResponseNone {
		return ErrBegun
	}
	w.state, w.ended = msg.ResponseBody, true
	write(w.w)
	return nil
}

// SetWriteDeadline sets the instant up to which writes wait for a caller that is behind. A
// zero value means that they wait for as long as the caller takes something.
func (w *Writer) SetWriteDeadline(t time.Time) { _ = w.controller.SetWriteDeadline(t) }

// Flush sends what is buffered.
func (w *Writer) Flush() error {
	if w.state == msg.ResponseNone {
		return nil
	}
	return w.controller.Flush()
}

// Head is the head of a target's response. A negative length means that it is not known.
type Head struct {
	Status int
	Header http.Header
	Length int64
}

func (w *Writer) writeHead(h Head, state msg.ResponseState) {
	w.copyHeader(w.w.Header(), h.Header)
	// A response of these statuses ends with its head; a length there says something else.
	bodyless := h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
	if h.Length >= 0 && !bodyless {
		w.w.Header().Set("Content-Length", strconv.FormatInt(h.Length, 10))
	}
	w.state = state
	w.w.WriteHeader(h.Status)
}

func (w *Writer) write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Attempt is what an attempt at a target brings of the response.
type Attempt struct {
	w      *Writer
	permit *Permit
	// ownsBody reports that this attempt has begun the body.
	ownsBody bool
}

// Attempt returns an attempt that writes with the given permission.
func (w *Writer) Attempt(p *Permit) *Attempt { return &Attempt{w: w, permit: p} }

// Whole writes a whole response. All of it is sent or held on return.
func (a *Attempt) Whole(h Head, body []byte) error {
	a.w.SetWriteDeadline(time.Time{})
	h.Length = int64(len(body))
	if err := a.BeginBody(h); err != nil {
		return err
	}
	_, _ = a.Write(body)
	a.EndBody()
	return nil
}

// BeginBody writes the head of a response whose body follows by Write.
func (a *Attempt) BeginBody(h Head) error {
	if a.w.state != msg.ResponseNone {
		return ErrBegun
	}
	if err := a.usePermit(); err != nil {
		return err
	}
	a.ownsBody = true
	a.w.writeHead(h, msg.ResponseBody)
	return nil
}

// Write writes a part of the body that this attempt has begun. It implements [io.Writer].
func (a *Attempt) Write(p []byte) (int, error) {
	if !a.ownsBody {
		return 0, ErrBegun
	}
	return a.w.write(p)
}

// EndBody ends the body that this attempt has begun.
func (a *Attempt) EndBody() {
	if a.ownsBody {
		a.w.ended = true
		_ = a.w.Flush()
	}
}

// BeginStream begins a stream, or continues the one that has begun. It writes nothing, but
// the attempt can't be withdrawn any more.
func (a *Attempt) BeginStream() error {
	if a.w.state == msg.ResponseBody {
		return ErrBegun
	}
	return a.usePermit()
}

func (a *Attempt) usePermit() error {
	if !a.permit.use() {
		return ErrWithdrawn
	}
	return nil
}

// writeStreamHead writes the head of a stream if nothing has been written yet.
func (a *Attempt) writeStreamHead(h Head) error {
	if err := a.BeginStream(); err != nil {
		return err
	}
	if a.w.state == msg.ResponseNone {
		h.Length = -1
		a.w.writeHead(h, msg.ResponseStream)
	}
	return nil
}

// Event writes an event of a stream, after the head if nothing has been written yet, and
// sends what is buffered if flush is set. It skips an event that the caller has received.
func (a *Attempt) Event(h Head, ev sse.Event, flush bool) error {
	if ev.HasID && ev.ID <= a.w.lastEvent && a.w.lastEvent > 0 {
		return nil
	}
	if err := a.writeStreamHead(h); err != nil {
		return err
	}
	if _, err := a.w.write(ev.Raw); err != nil {
		return err
	}
	if ev.HasID {
		a.w.lastEvent = ev.ID
	}
	if !flush {
		return nil
	}
	return a.w.Flush()
}

// EndStream ends a stream. It writes the head if the stream had no events.
func (a *Attempt) EndStream(h Head) error {
	if err := a.writeStreamHead(h); err != nil {
		return err
	}
	a.w.ended = true
	return nil
}
