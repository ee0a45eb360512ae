package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/loopback"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

// buildDaemon builds the daemon and returns the path of its binary.
func buildDaemon(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "verbenaspurd")
	if out, err := exec.Command("go", "build", "-o", bin, "github.com/verbenaspur/verbenaspur/cmd/verbenaspurd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// deployment is a small deployment of real entry daemons with stand-ins of the
// targets and the platform.
type deployment struct {
	t     *testing.T
	rand  *rand.Rand
	store *platformtest.Store
	usage usageBounds
	// storeProxies are the proxies between each entry and the platform.
	storeProxies []*proxy
	runners      []*platformtest.Runner
	// runnerProxies are the proxies between the entries and each target.
	runnerProxies []*proxy
	entries       []*entry

	mu sync.Mutex
	// responses are the responses by request kind and ID.
	responses  map[string]response
	violations []string
}

// usageBounds are the length of a usage window and the time after its end by which it has to
// be reported, in seconds.
type usageBounds struct{ window, deadline int }

// Short windows bring many reports. Ordinary ones let a holder wait for a report that has been
// held up for as long as a partition lasts here.
var (
	shortWindows    = usageBounds{window: 2, deadline: 4}
	ordinaryWindows = usageBounds{window: 5, deadline: 10}
)

// entry is an entry daemon with its settings file, listening addresses and log.
type entry struct {
	bin, settings         string
	callerAddr, readyAddr string
	log                   *os.File
	// link is a slow link to the entry.
	link *callerLink
	// busy is locked while the process is being stopped, started or paused.
	busy sync.Mutex

	mu sync.Mutex
	// current is the present or last process. None is started once closed is set.
	current *process
	closed  bool
	// interruptions are the times in which the process was killed or paused.
	interruptions []timeSpan
	// stopRequests are the times at which the process was asked to stop.
	stopRequests []time.Time
}

type timeSpan struct{ from, to time.Time }

const (
	// Ports of an entry daemon. They lie below the ephemeral ports, so that no
	// other socket is given them.
	callersPort = 8368
	readyPort   = 8369
	peerPort    = 7780
)

const (
	// Events and answers are long enough for callers that read slowly to be behind.
	// Some answers are forwarded before they are complete.
	eventPadding  = 20_000
	answerPadding = 150_000
	// runnerMemoryTokens is room for a few prompts at a runner.
	runnerMemoryTokens = 14_000
)

const settingsText = `node: entry-%d
ip: %s
zone: d%d
region: r
listen: {front: %q, ready: %q}
internal_ports: [%d]
limits: {memory_mb: 80}
bounds: {config_ms: 2000, revoke_ms: 5000, drain_ms: 2000, grace_s: 8, retry_ratio: 0.2, budget_window_s: 10, budget_slack: 50, lease_ms: 3000, window_s: %d, usage_late_s: %d}
provider: {addr: %q}
cloud: {addr: %q, duties: [metering]}
`

// newDeployment starts three instances of the plain service, two decode targets,
// one prefill target and two entry daemons.
func newDeployment(t *testing.T, bin string, seed uint64, usage usageBounds) *deployment {
	d := &deployment{t: t, usage: usage, rand: newRand(seed, 0), store: platformtest.NewStore(t), responses: make(map[string]response)}
	route := func(name, mode, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "path_prefix": "/" + name + "/", "mode": mode, "service": service,
			"attempts": attempts, "timeout_ms": 3000, "slo_ms": 800,
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version": 1, "tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"key"}}},
		"routes":   []any{route("order", "unsafe", "app", 1), route("lookup", "safe", "app", 2), route("chat", "streaming", "llm", 1)},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}, map[string]any{"name": "llm", "max_conns": 100, "engine": map[string]any{"slots": 8, "kv_capacity": 100000}}},
	})
	for i, kind := range []string{"", "", "", "decode", "decode", "prefill"} {
		d.addRunner(fmt.Sprintf("r-%d", i), kind)
	}
	for i := range 2 {
		d.addEntry(bin, i)
	}
	return d
}

// addRunner starts a target behind a proxy, of the model engine if it has a stage
// and otherwise of the plain service.
func (d *deployment) addRunner(id, stage string) {
	r := platformtest.NewRunner(d.t, id, stage)
	r.EventInterval = 15 * time.Millisecond
	r.EventPadding = eventPadding
	r.AnswerPadding = len(d.runners) * answerPadding
	r.MemoryTokens = runnerMemoryTokens
	p := newProxy(d.t, r.Addr)
	service := "app"
	if stage != "" {
		service = "llm"
	}
	e := r.Registration(service, "d0", "ready")
	e["addr"] = p.addr
	d.store.Put("servers", id, e)
	d.runners = append(d.runners, r)
	d.runnerProxies = append(d.runnerProxies, p)
}

// addEntry starts an entry daemon that reaches the platform through a proxy.
func (d *deployment) addEntry(bin string, i int) {
	p := newProxy(d.t, d.store.Addr)
	d.storeProxies = append(d.storeProxies, p)
	ip := loopback.IP(i)
	e := &entry{bin: bin, callerAddr: fmt.Sprint(ip, ":", callersPort), readyAddr: fmt.Sprint(ip, ":", readyPort)}
	e.link = newCallerLink(d.t, e.callerAddr, newRand(d.rand.Uint64(), 0))
	dir := d.t.TempDir()
	e.settings = filepath.Join(dir, "node.yaml")
	text := fmt.Sprintf(settingsText, i, ip, i, e.callerAddr, e.readyAddr, peerPort, d.usage.window, d.usage.deadline, p.addr, p.addr)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	var err error
	if e.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		d.t.Fatal(err)
	}
	d.entries = append(d.entries, e)
	d.start(e)
	d.t.Cleanup(e.close)
}

func (e *entry) kill() {
	defer e.interrupt(time.Now())
	p := e.process()
	p.expectEnd()
	p.signal(syscall.SIGKILL)
	_ = p.wait()
}

func (e *entry) pause(duration time.Duration) {
	defer e.interrupt(time.Now())
	p := e.process()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// interrupt records that the process was killed or paused from the given time until now.
func (e *entry) interrupt(from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interruptions = append(e.interruptions, timeSpan{from, time.Now()})
}

// requestStop asks the process to stop gracefully, and returns it.
func (e *entry) requestStop() *process {
	e.mu.Lock()
	e.stopRequests = append(e.stopRequests, time.Now())
	e.mu.Unlock()
	p := e.process()
	p.expectEnd()
	p.signal(syscall.SIGTERM)
	return p
}

// newRand returns a source of random numbers for one of several uses of a seed.
func newRand(seed, use uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, use)) }

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady() {
	d.t.Helper()
	if !awaitReady(d.entries...) {
		d.printLogs()
		d.t.Fatal("not all entries are ready after 15 s")
	}
}

// awaitReady waits up to 15 s until all given entries are ready at once.
func awaitReady(entries ...*entry) bool {
	unready := func(e *entry) bool { return !e.ready() }
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if !slices.ContainsFunc(entries, unready) {
			return true
		}
	}
	return false
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.readyAddr + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
