// Package jsonlog writes log lines as JSON without blocking the caller. Lines are
// kept in a bounded buffer until they are written; while the buffer is full, lines
// are dropped and counted.
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
	// maxBufferedBytes is the size of the buffer of lines to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is the time between two writes of the buffered lines.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them to its output in a goroutine of its own. It
// is safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu    sync.Mutex
	buf   []byte
	spare []byte // the buffer that was last written, for reuse
	stop  chan struct{}
	done  chan struct{}
}

// New returns a writer and starts its goroutine, which [Writer.Close] stops.
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

// Write buffers one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case <-ticker.C:
			reported = w.flush(reported)
		case <-w.stop:
			w.flush(reported)
			return
		}
	}
}

// flush writes the buffered lines. If more lines have been dropped in total than the
// number reported before, it also writes a line with the total. It returns the total.
func (w *Writer) flush(reported int64) int64 {
	w.mu.Lock()
	b := w.buf
	w.buf = w.spare[:0]
	w.mu.Unlock()
	dropped := w.dropped.Load()
	if dropped > reported {
		b = append(b, `{"level":"WARN","msg":"log: lines dropped","total":`...)
		b = strconv.AppendInt(b, dropped, 10)
		b = append(b, "}\n"...)
	}
	if len(b) > 0 {
		// An error is ignored: there is no other place to log it.
		_, _ = w.out.Write(b)
	}
	w.mu.Lock()
	w.spare = b
	w.mu.Unlock()
	return dropped
}

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
