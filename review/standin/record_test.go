package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	f     *os.File
	w     *bufio.Writer
}

func newRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &Record{start: time.Now(), f: f, w: bufio.NewWriter(f)}
}

// Logf writes a line with the time since the start in seconds.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// exit codes of a case
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// atExit is called before the process ends.
var atExit []func()

func finish(code int) {
	for i := len(atExit) - 1; i >= 0; i-- {
		atExit[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	finish(exitNotRun)
}
