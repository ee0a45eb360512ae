package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/platform"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

// directWorld is an entry daemon of the direct path between stand-ins.
type directWorld struct {
	t     *testing.T
	is    *is.I
	store *platformtest.Store
	dec   []*platformtest.Runner
	pre   *platformtest.Runner
	app   []*platformtest.Runner
	path  string
	d     *directProcess
	seq   int
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const directSettings = `node: entry-1
ip: 127.0.0.1
zone: d1
region: r
listen: {front: %q, ready: %q}
internal_ports: [%s, 1]
limits: {memory_mb: 1024}
bounds: {config_ms: 2000, revoke_ms: 5000, drain_ms: 400, grace_s: 8, retry_ratio: 0.2, budget_window_s: 10, budget_slack: 50, lease_ms: 300, window_s: 1, usage_late_s: 4}
provider: {addr: %q}
cloud: {addr: %q, duties: [metering]}
unknown: {field: 1}
`

func directConfigSpec(keys ...string) map[string]any {
	route := func(name, prefix, mode, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "h.example", "path_prefix": prefix, "mode": mode, "service": service,
			"attempts": attempts, "timeout_ms": 3000, "slo_ms": 800, "priority": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": len(keys) + 5,
		"routes": []any{
			route("chat", "/chat/", "streaming", "llm", 1, nil),
			route("resume", "/resume/", "streaming", "llm", 2, map[string]any{"resumable": true}),
			route("order", "/order/", "unsafe", "app", 1, nil),
			route("lookup", "/lookup/", "safe", "app", 2, nil),
			route("short", "/short/", "safe", "app", 1, map[string]any{"timeout_ms": 300}),
		},
		"services": []any{
			map[string]any{"name": "llm", "max_conns": 50, "engine": map[string]any{"slots": 8, "kv_capacity": 100000, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_ttl_s": 5}},
			map[string]any{"name": "app", "max_conns": 50},
		},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": keys}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 1000},
	}
}

func newDirectWorld(t *testing.T) *directWorld {
	t.Helper()
	w := &directWorld{t: t, is: is.New(t), store: platformtest.NewStore(t)}
	w.dec = []*platformtest.Runner{platformtest.NewRunner(t, "dec-1", "decode"), platformtest.NewRunner(t, "dec-2", "decode")}
	w.pre = platformtest.NewRunner(t, "pre-1", "prefill")
	w.app = []*platformtest.Runner{platformtest.NewRunner(t, "app-1", ""), platformtest.NewRunner(t, "app-2", "")}
	w.store.Put("config", "main", directConfigSpec("key-1"))
	for _, r := range append([]*platformtest.Runner{w.pre}, w.dec...) {
		w.store.Put("servers", r.ID, r.Registration("llm", "d1", "ready"))
	}
	for _, r := range w.app {
		w.store.Put("servers", r.ID, r.Registration("app", "d1", "ready"))
	}
	w.store.Put("servers", "odd", map[string]any{"service": "llm", "addr": 7})
	_, port, _ := net.SplitHostPort(freeAddr(t))
	w.path = filepath.Join(t.TempDir(), "node.yaml")
	text := fmt.Sprintf(directSettings, freeAddr(t), freeAddr(t), port, w.store.Addr, w.store.Addr)
	w.is.NoErr(os.WriteFile(w.path, []byte(text), 0o600))
	w.start()
	return w
}

func (w *directWorld) start() {
	w.t.Helper()
	s, err := platform.LoadSettings(w.path)
	w.is.NoErr(err)
	w.d, err = newDirect(s, slog.New(slog.DiscardHandler))
	w.is.NoErr(err)
	w.is.NoErr(w.d.listen(""))
	w.d.start(w.path)
	w.t.Cleanup(w.d.close)
	w.await(func() bool { return w.readyStatus() == http.StatusOK })
}

func (w *directWorld) readyStatus() int {
	resp, err := http.Get("http://" + w.d.settings.ReadyAddr + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// await waits until something holds.
func (w *directWorld) await(f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("it did not come to hold")
}

// send sends a request as a caller does.
func (w *directWorld) send(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	w.seq++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.d.settings.CallersAddr+path, strings.NewReader(body))
	w.is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", fmt.Sprint("id-", w.seq))
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("X-Deadline-Ms", "4000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// head is the head of an answer.
type head struct {
	StatusCode int
	Header     http.Header
}

// call sends a request and reads its answer. The body of an answer that breaks
// off begins with "broken: ".
func (w *directWorld) call(method, path, body string, header ...string) (head, string) {
	w.t.Helper()
	resp, err := w.send(context.Background(), method, path, body, header...)
	w.is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return head{resp.StatusCode, resp.Header}, "broken: " + string(b)
	}
	return head{resp.StatusCode, resp.Header}, string(b)
}

func (w *directWorld) ran(runners ...*platformtest.Runner) int {
	n := 0
	for _, r := range runners {
		for _, s := range r.Requests() {
			if s.Ran {
				n++
			}
		}
	}
	return n
}

var short = []string{"X-Token-Usage", "90,20", "X-Prefix-Hash", "5c1e07a2:80,91bd3f06:10"}

func TestDirectPlainRequest(t *testing.T) {
	w := newDirectWorld(t)
	resp, body := w.call("POST", "/order/1?q=%20a", "{}", "X-Tenant", "rival", "X-Target-Instance", "other", "X-Kv-Hold", "h", "X-Custom", "kept", "Connection", "X-Gone", "X-Gone", "1")
	w.is.Equal(resp.StatusCode, 200)
	w.is.True(strings.HasPrefix(body, "answer of app-"))
	w.is.True(resp.Header.Get("X-Response-Signature") != "")
	seen := append(w.app[0].Requests(), w.app[1].Requests()...)
	w.is.Equal(len(seen), 1)
	h := seen[0].Header
	w.is.Equal(seen[0].URI, "/order/1?q=%20a")
	w.is.Equal(seen[0].Body, "{}")
	w.is.Equal(h.Get("X-Tenant"), "acme")
	w.is.Equal(h.Get("X-Custom"), "kept")
	w.is.Equal(h.Get("X-Request-Id"), "id-1")
	for _, name := range []string{"X-Api-Key", "X-Kv-Hold", "X-Gone"} {
		w.is.Equal(h.Get(name), "")
	}
	left, err := strconv.Atoi(h.Get("X-Deadline-Ms"))
	w.is.NoErr(err)
	w.is.True(left <= 3000) // the route's timeout is shorter than the caller's
}

func TestDirectStreamAndSplit(t *testing.T) {
	w := newDirectWorld(t)
	resp, body := w.call("POST", "/chat/1", "{}", short...)
	w.is.Equal(resp.StatusCode, 200)
	w.is.Equal(strings.Count(body, "data:"), 4)
	before := len(w.pre.Requests())
	resp, body = w.call("POST", "/chat/1", "{}", "X-Token-Usage", "30000,20", "X-Prefix-Hash", "aa:20000,bb:10000")
	w.is.Equal(resp.StatusCode, 200)
	w.is.Equal(strings.Count(body, "data:"), 4)
	w.is.Equal(len(w.pre.Requests()), before+1)
	var source string
	for _, s := range append(w.dec[0].Requests(), w.dec[1].Requests()...) {
		if s.Header.Get("X-Request-Id") == "id-2" {
			source += s.Header.Get("X-Kv-Source")
		}
	}
	w.is.Equal(source, fmt.Sprintf("%s/pre-1-%d", w.pre.Addr, before))
}

func TestDirectRefusals(t *testing.T) {
	w := newDirectWorld(t)
	resp, _ := w.call("POST", "/nowhere/1", "")
	w.is.Equal(resp.StatusCode, 404)
	resp, _ = w.call("POST", "/order/1", "", "X-Api-Key", "wrong")
	w.is.Equal(resp.StatusCode, 401)
	resp, _ = w.call("POST", "/order/1", strings.Repeat("x", 1001))
	w.is.Equal(resp.StatusCode, 413)
	w.is.Equal(w.ran(w.app...), 0)
}

func TestDirectFaultsOfTargets(t *testing.T) {
	w := newDirectWorld(t)
	fail := func(f platformtest.Fault) {
		for _, r := range w.app {
			r.ClearFaults()
			r.InjectFaults(f)
		}
	}
	fail(platformtest.FaultReset)
	resp, _ := w.call("POST", "/order/1", "{}")
	w.is.Equal(resp.StatusCode, 502) // it ran once and is not sent again
	w.is.Equal(w.ran(w.app...), 1)
	before := w.ran(w.app...)
	fail(platformtest.FaultError)
	resp, body := w.call("GET", "/lookup/1", "")
	w.is.Equal(resp.StatusCode, 500) // both targets failed it: the failure is theirs
	w.is.True(strings.HasPrefix(body, "failed by app-"))
	w.is.Equal(w.ran(w.app...), before+2)
	fail(platformtest.FaultUnavailable)
	resp, _ = w.call("POST", "/order/1", "{}")
	w.is.Equal(resp.StatusCode, 502) // a 503 that does not say 'not run' is no promise
	w.is.Equal(resp.Header.Get("X-Response-Signature"), "")
	fail(platformtest.FaultUnsigned)
	resp, _ = w.call("POST", "/order/1", "{}")
	w.is.Equal(resp.StatusCode, 502)
	before = w.ran(w.app...)
	fail(platformtest.FaultRefuse)
	resp, _ = w.call("POST", "/order/1", "{}")
	w.is.Equal(resp.StatusCode, 503)
	w.is.True(resp.Header.Get("Retry-After") != "")
	w.is.Equal(w.ran(w.app...), before) // it told the truth
}

func TestDirectTornStream(t *testing.T) {
	w := newDirectWorld(t)
	w.store.Remove("servers", "pre-1")
	w.await(func() bool {
		before := len(w.pre.Requests())
		resp, _ := w.call("POST", "/chat/1", "{}", short...)
		return resp.StatusCode == 200 && len(w.pre.Requests()) == before
	})
	for _, r := range w.dec {
		r.Events = 6
		r.InjectFaults(platformtest.FaultTruncate)
	}
	_, body := w.call("POST", "/resume/1", "{}", short...)
	w.is.True(strings.HasPrefix(body, "broken: ")) // both targets tore it
	w.is.Equal(strings.Count(body, "data:"), 4)    // two whole events of each, none twice
	w.dec[0].InjectFaults(platformtest.FaultTruncate)
	w.dec[1].InjectFaults(platformtest.FaultTruncate)
	_, body = w.call("POST", "/chat/1", "{}", short...)
	w.is.True(strings.HasPrefix(body, "broken: ")) // it must not look whole
	w.is.Equal(strings.Count(body, "data:"), 2)
}

func TestDirectTimeoutAndLeaving(t *testing.T) {
	w := newDirectWorld(t)
	for _, r := range w.app {
		r.InjectFaults(platformtest.FaultHang)
	}
	began := time.Now()
	resp, _ := w.call("GET", "/short/1", "")
	w.is.Equal(resp.StatusCode, 504)
	w.is.True(time.Since(began) < 2*time.Second)
	w.await(func() bool { return w.app[0].Disconnects()+w.app[1].Disconnects() == 1 })
	for _, r := range w.app {
		r.InjectFaults(platformtest.FaultHang)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		resp, err := w.send(ctx, "GET", "/lookup/1", "")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	w.await(func() bool { return w.ran(w.app...) == 2 })
	cancel()
	w.await(func() bool { return w.app[0].Disconnects()+w.app[1].Disconnects() == 2 })
}

// A key that is withdrawn stops working, also while the store is down.
func TestDirectKeyIsWithdrawn(t *testing.T) {
	w := newDirectWorld(t)
	w.store.Put("config", "main", directConfigSpec("key-2", "key-3"))
	w.await(func() bool {
		resp, _ := w.call("POST", "/order/1", "{}")
		return resp.StatusCode == 401
	})
	w.store.SetDown(true)
	w.await(func() bool { return w.readyStatus() == http.StatusServiceUnavailable })
	resp, _ := w.call("POST", "/order/1", "{}", "X-Api-Key", "key-2")
	w.is.Equal(resp.StatusCode, 503)
	w.store.SetDown(false)
	w.await(func() bool { return w.readyStatus() == http.StatusOK })
}

func TestDirectDrainingTarget(t *testing.T) {
	w := newDirectWorld(t)
	w.store.Put("servers", "app-1", w.app[0].Registration("app", "d1", "draining"))
	time.Sleep(400 * time.Millisecond) // as long as the settings allow
	before := len(w.app[0].Requests())
	for range 10 {
		w.call("GET", "/lookup/1", "")
	}
	w.is.Equal(len(w.app[0].Requests()), before)
}

// Every run is reported, once and with the same figures.
func TestDirectUsage(t *testing.T) {
	w := newDirectWorld(t)
	const runs = 20
	for range runs {
		w.call("POST", "/order/1", "{}")
	}
	total := func() int64 {
		var n int64
		for _, r := range w.store.Reports() {
			n += r.Counts["acme"]
		}
		return n
	}
	w.await(func() bool { return total() == runs })
	seen := map[int64]bool{}
	for _, r := range w.store.Reports() {
		w.is.True(!seen[r.Window])
		seen[r.Window] = true
		w.is.True(r.Fence > 0 && r.Holder == "entry-1")
	}
}

// A planned stop: not ready at once, open requests end, then the process.
func TestDirectGracefulShutdown(t *testing.T) {
	w := newDirectWorld(t)
	for _, r := range w.dec {
		r.Events = 8
		r.Gap = 100 * time.Millisecond
	}
	resp, err := w.send(context.Background(), "POST", "/chat/1", "{}", short...)
	w.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	done := make(chan struct{})
	go func() { w.d.shutdown(); close(done) }()
	w.await(func() bool { return w.readyStatus() == http.StatusServiceUnavailable })
	r, _ := w.call("POST", "/order/1", "{}")
	w.is.Equal(r.StatusCode, 200) // the balancer may not know yet
	b, err := io.ReadAll(resp.Body)
	w.is.NoErr(err)
	w.is.Equal(strings.Count(string(b), "data:"), 8)
	<-done
}

// A foreign protocol on the callers' port harms nobody.
func TestDirectForeignProtocol(t *testing.T) {
	w := newDirectWorld(t)
	c, err := net.Dial("tcp", w.d.settings.CallersAddr)
	w.is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "\x16\x03\x01 no request\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	w.is.True(strings.Contains(line, "400"))
	resp, _ := w.call("POST", "/order/1", "{}")
	w.is.Equal(resp.StatusCode, 200)
}

// SIGHUP reloads the settings and ends nothing.
func TestDirectHangupReloads(t *testing.T) {
	w := newDirectWorld(t)
	b, err := os.ReadFile(w.path)
	w.is.NoErr(err)
	other := platformtest.NewStore(t)
	other.Put("config", "main", directConfigSpec("key-1", "key-2", "key-3"))
	for _, r := range w.app {
		other.Put("servers", r.ID, r.Registration("app", "d1", "ready"))
	}
	text := strings.ReplaceAll(string(b), w.store.Addr, other.Addr)
	w.is.NoErr(os.WriteFile(w.path, []byte(text), 0o600))
	w.is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	w.await(func() bool {
		resp, _ := w.call("POST", "/order/1", "{}", "X-Api-Key", "key-3")
		return resp.StatusCode == 200
	})
}
