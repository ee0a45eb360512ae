// Package jsonlog writes log lines as JSON without ever holding up their
// writer: lines wait in a bounded buffer, and those that find it full are
// counted and dropped.
package jsonlog

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 256 << 10
	// flushEvery is the time for which lines are gathered into one write.
	flushEvery = 100 * time.Millisecond
)

// Writer gathers lines and writes them from a goroutine of its own. It is
// safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu    sync.Mutex
	buf   []byte
	spare []byte
	stop  chan struct{}
	done  chan struct{}
}

// New returns a writer. Close must be called.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write takes one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBuffered {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	var told int64
	for {
		select {
		case <-ticker.C:
			told = w.flush(told)
		case <-w.stop:
			w.flush(told)
			return
		}
	}
}

// flush writes what waits, and how many lines were dropped if that has grown.
func (w *Writer) flush(told int64) int64 {
	w.mu.Lock()
	b := w.buf
	w.buf = w.spare[:0]
	w.mu.Unlock()
	dropped := w.dropped.Load()
	if dropped > told {
		b = append(b, `{"level":"WARN","msg":"log: lines dropped","total":`...)
		b = strconv.AppendInt(b, dropped, 10)
		b = append(b, "}\n"...)
	}
	if len(b) > 0 {
		// A log that can't be written has nowhere to say so.
		_, _ = w.out.Write(b)
	}
	w.mu.Lock()
	w.spare = b
	w.mu.Unlock()
	return dropped
}

// Close writes what waits and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
