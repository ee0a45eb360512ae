package jsonlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
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

// Write must not block while the output blocks. Lines that exceed the buffer are
// dropped and counted.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2 * maxBufferedBytes / 1024
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
