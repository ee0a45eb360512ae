package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// restartDelay is the time after which the supervisor starts a process that has ended
	// by itself, as the platform does.
	restartDelay = 200 * time.Millisecond
	// uncaughtTime is the time after its start within which SIGHUP may end a process: the
	// kernel does so until the process has begun to catch the signal.
	uncaughtTime = time.Second
)

// process is a process of an entry daemon.
type process struct {
	cmd       *exec.Cmd
	startedAt time.Time
	// exited is closed when the process has ended, with err.
	exited chan struct{}
	err    error

	mu          sync.Mutex
	endExpected bool
}

// start starts a process of an entry and supervises it.
func (d *deployment) start(e *entry) { d.startAfter(e, e.process()) }

// startAfter starts a process of an entry in place of its last one, unless another has
// been started since.
func (d *deployment) startAfter(e *entry, last *process) {
	p := &process{
		cmd:       exec.Command(e.bin, "direct", "--settings", e.settings),
		startedAt: time.Now(), exited: make(chan struct{}),
	}
	p.cmd.Stdout = e.log
	p.cmd.Stderr = e.log
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.current != last {
		return
	}
	if err := p.cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	e.current = p
	go d.supervise(e, p)
}

// supervise waits for the end of a process. One that ends by SIGHUP before it can catch
// the signal is started again. No process may end by itself otherwise.
func (d *deployment) supervise(e *entry, p *process) {
	p.err = p.cmd.Wait()
	close(p.exited)
	p.mu.Lock()
	expected := p.endExpected
	p.mu.Unlock()
	switch {
	case expected:
	case p.hungUp() && time.Since(p.startedAt) < uncaughtTime:
		time.Sleep(restartDelay)
		d.startAfter(e, p)
	default:
		d.violation("entry at %s ended by itself: %v", e.callerAddr, p.err)
	}
}

// hungUp reports whether SIGHUP has ended the process.
func (p *process) hungUp() bool {
	var exit *exec.ExitError
	if !errors.As(p.err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// expectEnd records that the process is about to be ended.
func (p *process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpected = true
}

// signal sends a signal to the process, if it is still running.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// wait waits for the end of the process and returns the error with which it ended.
func (p *process) wait() error {
	<-p.exited
	return p.err
}

// process returns the present or last process of an entry.
func (e *entry) process() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// close ends the entry's process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.kill()
}

// An entry stayed down for the rest of a run, since SIGHUP had ended it right after its
// start and nobody started it again.
func TestEntryIsBackAfterHangupAtStart(t *testing.T) {
	d := newDeployment(t, buildDaemon(t), 1, shortWindows)
	d.awaitReady()
	for _, e := range d.entries {
		e.kill()
		d.start(e)
		p := e.process()
		p.signal(syscall.SIGHUP)
		if err := p.wait(); err == nil || !p.hungUp() {
			t.Logf("SIGHUP did not end the process: %v", err)
		}
	}
	d.awaitReady()
	if len(d.violations) > 0 {
		t.Fatal(d.violations)
	}
}
