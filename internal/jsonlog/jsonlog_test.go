package jsonlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stuck is an output that does not take anything until it is released.
type stuck struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.buf.Write(b)
}

func TestLinesAreJSON(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Logger(slog.LevelInfo).Info("part: done", "request", "r1")
	w.Close()
	var line struct{ Msg, Request string }
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Msg, "part: done")
	is.Equal(line.Request, "r1")
}

// An output that blocks holds up nobody; lines beyond the buffer are counted.
func TestBlockedOutputDropsAndCounts(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2 * maxBuffered / 1024
	for range lines {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	is.True(strings.Contains(out.buf.String(), "lines dropped"))
	is.True(int(w.Dropped())+strings.Count(out.buf.String(), "x\n") >= lines)
}
