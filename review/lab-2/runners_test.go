package lab2

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// Beat is how often a runner's entry is renewed, and Silence how long one lasts that is not.
const (
	Beat    = 1200 * time.Millisecond
	Silence = 3 * Beat
)

// Runner is a runner: a process that is started again at the same address under a new id.
type Runner struct {
	Service, Zone, Addr string
	Engine              bool
	Args                []string

	lab    *Lab
	mu     sync.Mutex
	starts int
	id     string
	cmd    *exec.Cmd
	up     bool
	born   string
	lines  func(runner, line string)
}

// StartRunner starts a runner. Each line that it prints is passed to lines.
func (l *Lab) StartRunner(r *Runner, lines func(runner, line string)) {
	r.lab, r.lines = l, lines
	r.Addr = fmt.Sprintf("127.0.0.1:%d", FreePort())
	r.Restart()
	go func() {
		for {
			r.beat()
			time.Sleep(Beat)
		}
	}()
}

// Restart starts the runner's next process.
func (r *Runner) Restart() {
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(r.Addr, "127.0.0.1:", ""), r.starts)
	id := r.id
	listening := make(chan string, 1)
	args := append([]string{"--addr", r.Addr, "--id", id, fmt.Sprintf("--engine=%t", r.Engine)}, r.Args...)
	r.cmd = r.lab.Run(nil, func(line string) {
		if born, ok := strings.CutPrefix(line, "listening "); ok {
			listening <- born
			return
		}
		r.lines(id, line)
	}, "target/review-2-standin", append([]string{"runner"}, args...)...)
	r.mu.Unlock()
	select {
	case born := <-listening:
		r.mu.Lock()
		r.up, r.born = true, born
		r.mu.Unlock()
	case <-time.After(5 * time.Second):
		r.lab.Notef("runner %s does not start", id)
		r.lab.Exit(2)
	}
	r.lab.Notef("runner %s of %s serves at %s", id, r.Service, r.Addr)
	r.beat()
}

// Crash kills the runner's process.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	_ = r.cmd.Process.Kill()
	r.lab.Notef("runner %s is killed", r.id)
}

// Lose sets the share of the streams of which the answer is lost, in thousandths.
func (r *Runner) Lose(thousandths int) {
	resp, err := http.Get(fmt.Sprintf("http://%s/control?lost=%d", r.Addr, thousandths))
	if err != nil {
		r.lab.Notef("runner at %s can't be told: %v", r.Addr, err)
		r.lab.Exit(2)
	}
	_ = resp.Body.Close()
	r.lab.Notef("the runner at %s loses the answers of %d streams in a thousand", r.Addr, thousandths)
}

// beat writes the entry of a runner that is up, and has the store drop the others.
func (r *Runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lab.Store.Expire(Silence)
	if !r.up {
		return
	}
	spec := map[string]any{
		"service": r.Service, "addr": r.Addr, "zone": r.Zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_left_ms": 0, "seq": 0, "born": jsonNumber(r.born),
	}
	if r.Engine {
		spec["stage"] = "decode"
		spec["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.lab.Store.Put("servers", r.id, spec)
}
