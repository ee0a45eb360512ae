package response

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/sse"
)

func newTestWriter(lastEvent int64) (*Writer, *httptest.ResponseRecorder) {
	rec := httptest.NewRecorder()
	copyHeader := func(dst, src http.Header) {
		for name, values := range src {
			dst[name] = values
		}
	}
	return NewWriter(rec, copyHeader, lastEvent), rec
}

var ok = Head{Status: http.StatusOK, Length: -1}

func event(id int64, text string) sse.Event {
	return sse.Event{ID: id, HasID: id > 0, HasData: true, Raw: []byte(text)}
}

// Two answers were joined in one response: an attempt wrote behind the part that an earlier
// one had brought.
func TestNothingIsWrittenBehindAnotherResponse(t *testing.T) {
	begin := map[string]func(a *Attempt) error{
		"body":   func(a *Attempt) error { return a.BeginBody(ok) },
		"whole":  func(a *Attempt) error { return a.Whole(ok, []byte("w")) },
		"stream": func(a *Attempt) error { return a.Event(ok, event(1, "e"), true) },
	}
	follow := map[string]func(w *Writer) error{
		"refusal":      func(w *Writer) error { return w.Whole(func(w http.ResponseWriter) { w.WriteHeader(503) }) },
		"whole":        func(w *Writer) error { return w.Attempt(&Permit{}).Whole(ok, []byte("second")) },
		"body":         func(w *Writer) error { return w.Attempt(&Permit{}).BeginBody(ok) },
		"rest":         func(w *Writer) error { _, err := w.Attempt(&Permit{}).Write([]byte("second")); return err },
		"event":        func(w *Writer) error { return w.Attempt(&Permit{}).Event(ok, event(2, "second"), true) },
		"empty stream": func(w *Writer) error { return w.Attempt(&Permit{}).EndStream(ok) },
	}
	for first, b := range begin {
		for second, f := range follow {
			is := is.New(t)
			w, rec := newTestWriter(0)
			is.NoErr(b(w.Attempt(&Permit{})))
			before := rec.Body.String()
			err := f(w)
			if first == "stream" && (second == "event" || second == "empty stream") {
				is.NoErr(err) // it continues the stream
				continue
			}
			is.Equal(err, ErrBegun) // first, second
			is.Equal(rec.Body.String(), before)
		}
	}
}

// A withdrawn attempt writes nothing, and one that has begun can't be withdrawn.
func TestPermitIsUsedOrWithdrawn(t *testing.T) {
	is := is.New(t)
	w, rec := newTestWriter(0)
	var p Permit
	is.True(p.Withdraw())
	is.Equal(w.Attempt(&p).Whole(ok, []byte("late")), ErrWithdrawn)
	is.Equal(w.State(), msg.ResponseNone)
	var q Permit
	a := w.Attempt(&q)
	is.NoErr(a.BeginStream())
	is.True(!q.Withdraw())
	is.NoErr(a.Event(ok, event(1, "a"), false))
	is.NoErr(a.EndStream(ok))
	is.Equal(rec.Body.String(), "a")
	is.True(w.Ended())
}

// Events that the caller has received, in an earlier request or from an earlier attempt, are
// not written again.
func TestReceivedEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	w, rec := newTestWriter(2)
	for _, id := range []int64{1, 2, 3} {
		is.NoErr(w.Attempt(&Permit{}).Event(ok, event(id, "x"), false))
	}
	is.Equal(rec.Body.String(), "x")
	is.Equal(w.LastEvent(), int64(3))
}

// Whatever attempts do in whatever order, the caller holds the beginning of what one of them
// brings, or events of several in order.
func TestCallerHoldsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, rec := newTestWriter(0)
		var attempts []*Attempt
		var permits []*Permit
		pick := func() int { return rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt") }
		name := func(i int) string { return string(rune('a' + i)) }
		last := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(attempts) == 0 {
					return
				}
				body := rec.Body.String()
				if w.State() == msg.ResponseBody && strings.Trim(body, body[:min(1, len(body))]) != "" {
					t.Fatalf("joined: %q", body)
				}
				if w.State() == msg.ResponseStream && int64(strings.Count(body, "e")) != last {
					t.Fatalf("events up to %d: %q", last, body)
				}
			},
			"start": func(*rapid.T) {
				p := new(Permit)
				attempts, permits = append(attempts, w.Attempt(p)), append(permits, p)
			},
			"withdraw": func(*rapid.T) {
				if len(attempts) > 0 {
					permits[pick()].Withdraw()
				}
			},
			"begin": func(*rapid.T) {
				if len(attempts) > 0 {
					_ = attempts[pick()].BeginBody(ok)
				}
			},
			"write": func(*rapid.T) {
				if len(attempts) > 0 {
					i := pick()
					_, _ = attempts[i].Write([]byte(name(i)))
				}
			},
			"event": func(*rapid.T) {
				if len(attempts) > 0 && attempts[pick()].Event(ok, event(last+1, "e"), true) == nil {
					last++
				}
			},
			"refuse": func(*rapid.T) {
				_ = w.Whole(func(w http.ResponseWriter) { _, _ = w.Write([]byte("r")) })
			},
		})
	})
}

// Responses without a body by their status had a length of 0, which of a 304 says that the
// resource is empty.
func TestStatusWithoutBodyHasNoLength(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]string{http.StatusOK: "0", http.StatusNoContent: "", http.StatusNotModified: ""} {
		w, rec := newTestWriter(0)
		is.NoErr(w.Attempt(&Permit{}).Whole(Head{Status: status}, nil))
		is.Equal(rec.Header().Get("Content-Length"), want) // status
	}
}
