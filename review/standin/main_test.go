// Package standin runs one case of the review: stand-ins for the platform, the runners and
// the clients, and the project's own daemons as separate processes. It is test code, built by
// "go test -c" (review/build.sh). The program exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
//
//	review-standin CASE RECORD
//
// TROUBLE=0 in the environment leaves the disruption out.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// World is what each case starts with.
type World struct {
	rec     *Record
	store   *Store
	cloud   string
	dir     string
	daemons []*Daemon
	trouble bool
}

var cases = map[string]func(*World) []string{
	"endless-answer":   endlessAnswer,
	"cut-long-answer":  cutLongAnswer,
	"slow-answer":      slowAnswer,
	"restarted-answer": restartedAnswer,
	"mixed-versions":   mixedVersions,
	"lost-board":       lostBoard,
}

// TestMain takes the place of a main function.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE RECORD")
	}
	if _, err := os.Stat("target/verbenaspurd"); err != nil {
		cannotRun("target/verbenaspurd is missing: run the build of the deploy file first")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	w := &World{rec: newRecord(os.Args[2]), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	atExit = append(atExit, func() {
		w.rec.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	}, w.stopDaemons)
	time.AfterFunc(110*time.Second, func() { cannotRun("it took too long") })
	w.store = newStore(w.rec)
	w.cloud = w.store.Listen()
	broken := cases[os.Args[1]](w)
	for _, b := range broken {
		w.rec.Logf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		finish(exitBroken)
	}
	fmt.Println("held")
	finish(exitHeld)
}

// startDaemons starts daemons in the zones of the site, and waits until they are ready.
func (w *World) startDaemons(n int) {
	zones := []string{"tc-north", "tc-east", "tc-south"}
	for i := range n {
		d := newDaemon(w.dir, fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], w.store.Listen(), w.cloud)
		w.daemons = append(w.daemons, d)
		d.Start()
	}
	for _, d := range w.daemons {
		d.AwaitReady()
	}
	time.Sleep(2 * time.Second) // they find each other
}

func (w *World) stopDaemons() {
	for _, d := range w.daemons {
		select {
		case <-d.done:
		default:
			d.Kill()
		}
	}
	if os.Getenv("KEEP") != "" {
		logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
		fmt.Println(logs)
	}
}

const (
	host = "desk.example"
	key  = "3fexd9dnn2ctnfzs989a"
)

// config returns a configuration like that of the site tc-saltroute.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-order", "hostname": host, "path_prefix": "/order/", "mode": "unsafe", "timeout_ms": 2000, "slo_ms": 300, "priority": 2, "service": "yard-app", "attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-stock", "hostname": host, "path_prefix": "/stock/", "mode": "safe", "timeout_ms": 2000, "slo_ms": 300, "priority": 2, "service": "yard-app", "attempts": 2, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-depot", "hostname": host, "path_prefix": "/depot/", "mode": "streaming", "timeout_ms": 3000, "slo_ms": 600, "priority": 1, "service": "brief-llm", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 400},
		},
		"services": []any{
			map[string]any{"name": "yard-app", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "brief-llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity": 502284, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_ttl_s": 5.0, "swap_s": 3.0}},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}
