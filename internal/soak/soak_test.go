package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

var (
	seedFlag  = flag.Uint64("soak.seed", 1, "first seed")
	seedsFlag = flag.Int("soak.seeds", 1, "number of seeds")
	timeFlag  = flag.Duration("soak.time", 6*time.Second, "time of faults for each seed")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{}

// TestSoak plays seeds. The choice of faults is the same for a seed; when they
// meet a request is up to the processes.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "verbenaspurd")
	if out, err := exec.Command("go", "build", "-o", bin, "github.com/verbenaspur/verbenaspur/cmd/verbenaspurd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := append([]uint64(nil), regressions...)
	for i := range *seedsFlag {
		seeds = append(seeds, *seedFlag+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newWorld(t, bin, seed).play() })
	}
}

// world is a small deployment of real processes.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	store   *platformtest.Store
	stores  []*proxy // one for each entry
	runners []*platformtest.Runner
	links   []*proxy // one for each runner
	entries []*entry

	mu    sync.Mutex
	told  map[string]told // by request id
	wrong []string
}

// told is what a caller was told about a non-idempotent request.
type told struct {
	status int
	body   string
	whole  bool
}

// entry is an entry daemon and where it listens.
type entry struct {
	bin, settings  string
	callers, ready string
	log            *os.File
	cmd            *exec.Cmd
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const settingsText = `node: entry-%d
ip: 127.0.0.1
zone: d%d
region: r
listen: {front: %q, ready: %q}
internal_ports: [%s]
limits: {memory_mb: 200}
bounds: {config_ms: 2000, revoke_ms: 5000, drain_ms: 2000, grace_s: 8, retry_ratio: 0.2, budget_window_s: 10, budget_slack: 50, lease_ms: 3000, window_s: 2, usage_late_s: 4}
provider: {addr: %q}
cloud: {addr: %q, duties: [metering]}
`

func newWorld(t *testing.T, bin string, seed uint64) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 0)), store: platformtest.NewStore(t), told: make(map[string]told)}
	route := func(name, mode, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "path_prefix": "/" + name + "/", "mode": mode, "service": service,
			"attempts": attempts, "timeout_ms": 3000, "slo_ms": 800,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version": 1, "tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"key"}}},
		"routes":   []any{route("order", "unsafe", "app", 1), route("lookup", "safe", "app", 2), route("chat", "streaming", "llm", 1)},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}, map[string]any{"name": "llm", "max_conns": 100, "engine": map[string]any{"slots": 8, "kv_capacity": 100000}}},
	})
	for i, kind := range []string{"", "", "", "decode", "decode", "prefill"} {
		w.addRunner(fmt.Sprintf("r-%d", i), kind)
	}
	for i := range 2 {
		w.addEntry(bin, i)
	}
	return w
}

func (w *world) addRunner(id, stage string) {
	r := platformtest.NewRunner(w.t, id, stage)
	r.EventInterval = 15 * time.Millisecond
	p := newProxy(w.t, r.Addr)
	service := "app"
	if stage != "" {
		service = "llm"
	}
	e := r.Registration(service, "d0", "ready")
	e["addr"] = p.addr
	w.store.Put("servers", id, e)
	w.runners = append(w.runners, r)
	w.links = append(w.links, p)
}

func (w *world) addEntry(bin string, i int) {
	p := newProxy(w.t, w.store.Addr)
	w.stores = append(w.stores, p)
	e := &entry{bin: bin, callers: freeAddr(w.t), ready: freeAddr(w.t)}
	_, port, _ := net.SplitHostPort(freeAddr(w.t))
	dir := w.t.TempDir()
	e.settings = filepath.Join(dir, "node.yaml")
	text := fmt.Sprintf(settingsText, i, i, e.callers, e.ready, port, p.addr, p.addr)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	var err error
	if e.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		w.t.Fatal(err)
	}
	w.entries = append(w.entries, e)
	w.start(e)
	w.t.Cleanup(func() { e.kill() })
}

func (w *world) start(e *entry) {
	e.cmd = exec.Command(e.bin, "direct", "--settings", e.settings)
	e.cmd.Stdout = e.log
	e.cmd.Stderr = e.log
	if err := e.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
}

func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// play lets callers run through faults, then calm, and checks what was seen.
func (w *world) play() {
	w.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 6 {
		r := rand.New(rand.NewPCG(w.rand.Uint64(), 1))
		callers.Go(func() { w.caller(i, r, stop) })
	}
	for end := time.Now().Add(*timeFlag); time.Now().Before(end); {
		w.fault()
		time.Sleep(time.Duration(w.rand.IntN(500)) * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	w.calm()
	w.awaitReady()
	w.check()
}

func (w *world) calm() {
	for _, p := range append(append([]*proxy(nil), w.stores...), w.links...) {
		p.delay.Store(0)
		p.down.Store(false)
	}
	w.store.SetDown(false)
	w.store.DropResponses(false)
	for _, r := range w.runners {
		r.ClearFaults()
	}
	for _, e := range w.entries {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// fault begins or ends a fault.
func (w *world) fault() {
	e := w.entries[w.rand.IntN(len(w.entries))]
	r := w.runners[w.rand.IntN(len(w.runners))]
	link := w.links[w.rand.IntN(len(w.links))]
	store := w.stores[w.rand.IntN(len(w.stores))]
	switch w.rand.IntN(14) {
	case 0:
		link.reset()
	case 1:
		link.silence()
	case 2:
		link.delay.Store(int64(w.rand.IntN(60)) * int64(time.Millisecond))
	case 3:
		link.down.Store(!link.down.Load())
	case 4:
		store.silence()
	case 5:
		store.down.Store(!store.down.Load())
	case 6:
		w.store.SetDown(w.rand.IntN(2) == 0)
	case 7:
		w.store.DropResponses(w.rand.IntN(2) == 0)
	case 8:
		e.kill()
		w.start(e)
	case 9:
		_ = e.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(w.rand.IntN(800)) * time.Millisecond)
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
	case 10:
		_ = e.cmd.Process.Signal(syscall.SIGHUP)
	case 11:
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		_ = e.cmd.Wait()
		w.start(e)
	default:
		r.InjectFaults(platformtest.Fault(1 + w.rand.IntN(int(platformtest.FaultUnavailable))))
	}
}

func (w *world) awaitReady() {
	w.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			resp, err := http.Get("http://" + e.ready + "/v1/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.entries) {
			return
		}
	}
	w.t.Fatal("the entries are not ready")
}

// caller sends requests, each with an id of its own.
func (w *world) caller(n int, r *rand.Rand, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%d-%d", n, i)
		kind := []string{"order", "lookup", "chat"}[r.IntN(3)]
		answer := w.send(client, w.entries[r.IntN(len(w.entries))], kind, id)
		w.mu.Lock()
		w.told[kind+"/"+id] = answer
		w.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

func (w *world) send(client *http.Client, e *entry, kind, id string) told {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	// A method that the client never sends again by itself.
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/"+kind+"/1", strings.NewReader(id))
	req.Host = "h"
	req.Header.Set("X-Request-Id", kind+"/"+id)
	req.Header.Set("X-Api-Key", "key")
	req.Header.Set("X-Deadline-Ms", "3500")
	if kind == "chat" {
		req.Header.Set("X-Token-Usage", "4000,20")
		req.Header.Set("X-Prefix-Hash", "aa:3000,bb:1000")
	}
	resp, err := client.Do(req)
	if err != nil {
		return told{}
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get("X-Request-Id"); got != kind+"/"+id {
		w.note("request %s/%s got the answer of %q", kind, id, got)
	}
	b, err := io.ReadAll(resp.Body)
	return told{resp.StatusCode, string(b), err == nil}
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// check compares what callers were told with what targets ran.
func (w *world) check() {
	ran := make(map[string]int)
	for _, r := range w.runners {
		for _, s := range r.Requests() {
			id := s.Header.Get("X-Request-Id")
			if s.Ran {
				ran[id]++
			}
			if s.Header.Get("X-Api-Key") != "" || s.Header.Get("X-Tenant") != "acme" {
				w.note("request %s reached a target with a key or as %q", id, s.Header.Get("X-Tenant"))
			}
			if _, body, _ := strings.Cut(id, "/"); s.Body != body {
				w.note("request %s reached a target with the body %q", id, s.Body)
			}
		}
	}
	whole, refused := 0, 0
	for id, a := range w.told {
		kind, _, _ := strings.Cut(id, "/")
		switch {
		case kind != "lookup" && ran[id] > 1:
			w.note("request %s ran %d times", id, ran[id])
		case kind != "lookup" && a.status == http.StatusServiceUnavailable && ran[id] > 0:
			w.note("request %s was refused as not run and ran", id)
		case kind == "chat" && a.status == http.StatusOK && a.whole && strings.Count(a.body, "data:") != 4:
			w.note("request %s got %d events that look whole", id, strings.Count(a.body, "data:"))
		case kind != "chat" && a.status == http.StatusOK && a.whole && !strings.HasPrefix(a.body, "answer of r-"):
			w.note("request %s got %q", id, a.body)
		}
		switch {
		case a.status == http.StatusOK && a.whole:
			whole++
		case a.status == http.StatusServiceUnavailable:
			refused++
		}
	}
	w.t.Logf("%d requests, %d whole answers, %d refused", len(w.told), whole, refused)
	if whole == 0 {
		w.note("nothing was served")
	}
	w.checkUsage()
	for _, s := range w.wrong {
		w.t.Error(s)
	}
	if len(w.wrong) > 0 {
		for _, e := range w.entries {
			b, _ := os.ReadFile(e.log.Name())
			w.t.Logf("%s:\n%s", e.settings, b)
		}
	}
}

// checkUsage checks that no window was reported with two figures, and no lower
// fence after a higher one.
func (w *world) checkUsage() {
	figures := make(map[int64]string)
	var fence int64
	for _, r := range w.store.Reports() {
		text := fmt.Sprint(r.Counts)
		if old, ok := figures[r.Window]; ok && old != text {
			w.note("window %d was reported with %s and %s", r.Window, old, text)
		}
		figures[r.Window] = text
		if r.Fence < fence {
			w.note("window %d was reported under fence %d after %d", r.Window, r.Fence, fence)
		}
		fence = max(fence, r.Fence)
	}
}
