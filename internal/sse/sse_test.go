package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestReaderSplitsEvents(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader("id: 3\ndata: a\n\nx-versions: 2\r\nid:4\r\ndata: b\r\n\r\n: note\n\n"))
	ev, err := r.Next()
	is.NoErr(err)
	is.Equal(string(ev.Raw), "id: 3\ndata: a\n\n")
	is.Equal(ev.ID, int64(3))
	ev, err = r.Next()
	is.NoErr(err)
	is.Equal(ev.ID, int64(4))
	ev, err = r.Next()
	is.NoErr(err)
	is.True(!ev.HasID)
	_, err = r.Next()
	is.Equal(err, io.EOF)
}

// A target may close the stream in the middle of an event.
func TestPartialEventIsAnError(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata:"))
	_, err := r.Next()
	is.NoErr(err)
	_, err = r.Next()
	is.True(errors.Is(err, ErrPartial))
}

func TestLongLineIsOneEvent(t *testing.T) {
	is := is.New(t)
	text := "data: " + strings.Repeat("x", 10_000) + "\n\n"
	ev, err := NewReader(strings.NewReader(text)).Next()
	is.NoErr(err)
	is.Equal(string(ev.Raw), text)
}

func TestOversizedEventIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes))).Next()
	is.True(err != nil)
}

// A line that fills the read buffer up to its line feed does not end the event.
func TestLineOfBufferSizeDoesNotEndEvent(t *testing.T) {
	is := is.New(t)
	line := "data: " + strings.Repeat("x", bufferBytes-len("data: "))
	text := line + "\nid: 9\n\n"
	ev, err := NewReader(strings.NewReader(text)).Next()
	is.NoErr(err)
	is.Equal(string(ev.Raw), text)
	is.Equal(ev.ID, int64(9))
}

func TestOversizedEventOfShortLinesIsRejected(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("data: x\n", maxEventBytes/4) + "\n"
	_, err := NewReader(strings.NewReader(text)).Next()
	is.True(err != nil)
}
