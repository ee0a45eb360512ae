package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/platform"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

// directEnv is an entry daemon of the direct path with stand-ins for the platform
// and the targets.
type directEnv struct {
	t             *testing.T
	is            *is.I
	store         *platformtest.Store
	decodeEngines []*platformtest.Runner
	prefillEngine *platformtest.Runner
	appTargets    []*platformtest.Runner
	settingsPath  string
	process       *directProcess
	requestCount  int
	// unlistedProcess names a raw target whose process is not the listed one.
	unlistedProcess string
}

// openTestSockets opens sockets at addresses that the system chooses.
func openTestSockets(t *testing.T) *directSockets {
	t.Helper()
	sockets, err := openDirectSockets(&platform.Settings{CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", IP: "127.0.0.1"}, "")
	if err != nil {
		t.Fatal(err)
	}
	return sockets
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

func directConfigObject(keys ...string) map[string]any {
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

// newDirectEnv returns an environment whose process is ready.
func newDirectEnv(t *testing.T) *directEnv {
	t.Helper()
	env := newStoppedDirectEnv(t)
	env.start()
	return env
}

// newStoppedDirectEnv returns an environment whose process has read its settings
// but has not been started.
func newStoppedDirectEnv(t *testing.T) *directEnv {
	t.Helper()
	env := &directEnv{t: t, is: is.New(t), store: platformtest.NewStore(t)}
	env.decodeEngines = []*platformtest.Runner{platformtest.NewRunner(t, "dec-1", "decode"), platformtest.NewRunner(t, "dec-2", "decode")}
	env.prefillEngine = platformtest.NewRunner(t, "pre-1", "prefill")
	env.appTargets = []*platformtest.Runner{platformtest.NewRunner(t, "app-1", ""), platformtest.NewRunner(t, "app-2", "")}
	env.store.Put("config", "main", directConfigObject("key-1"))
	for _, r := range append([]*platformtest.Runner{env.prefillEngine}, env.decodeEngines...) {
		env.store.Put("servers", r.ID, r.Registration("llm", "d1", "ready"))
	}
	for _, r := range env.appTargets {
		env.store.Put("servers", r.ID, r.Registration("app", "d1", "ready"))
	}
	// The deployment has run before, so that the versions of its targets are recorded.
	env.store.Put("verbenaspur-stream-versions", "services@2", map[string]any{"body": map[string]any{"llm": map[string]any{"versions": []string{"v1"}, "complete": true}}})
	env.store.Put("servers", "odd", map[string]any{"service": "llm", "addr": 7})
	sockets := openTestSockets(t)
	_, port, _ := net.SplitHostPort(sockets.peers.LocalAddr().String())
	env.settingsPath = filepath.Join(t.TempDir(), "node.yaml")
	text := fmt.Sprintf(directSettings, sockets.callers.Addr(), sockets.ready.Addr(), port, env.store.Addr, env.store.Addr)
	env.is.NoErr(os.WriteFile(env.settingsPath, []byte(text), 0o600))
	file, s, err := openSettingsFile(env.settingsPath)
	env.is.NoErr(err)
	env.process = newDirectProcess(s, file, sockets, slog.New(slog.DiscardHandler))
	t.Cleanup(env.process.close)
	return env
}

// start starts the process and waits until it is ready.
func (env *directEnv) start() {
	env.t.Helper()
	env.process.start()
	env.eventually(func() bool { return env.readyStatus() == http.StatusOK })
}

func (env *directEnv) readyStatus() int {
	resp, err := http.Get("http://" + env.process.settings.ReadyAddr + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits until f returns true, for at most 10 seconds.
func (env *directEnv) eventually(f func() bool) {
	env.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatal("condition did not hold within 10 seconds")
}

// send sends a request as a caller does. Header lists names and values in turn.
func (env *directEnv) send(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	env.requestCount++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+env.process.settings.CallersAddr+path, strings.NewReader(body))
	env.is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", fmt.Sprint("id-", env.requestCount))
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("X-Deadline-Ms", "4000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// responseHead is the head of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
}

// call sends a request and reads the response. If the response is cut off, the
// returned body begins with "broken: ".
func (env *directEnv) call(method, path, body string, header ...string) (responseHead, string) {
	env.t.Helper()
	resp, err := env.send(context.Background(), method, path, body, header...)
	env.is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return responseHead{resp.StatusCode, resp.Header}, "broken: " + string(b)
	}
	return responseHead{resp.StatusCode, resp.Header}, string(b)
}

// runCount returns the number of requests that targets have run.
func (env *directEnv) runCount(runners ...*platformtest.Runner) int {
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

var shortPromptHeaders = []string{"X-Token-Usage", "90,20", "X-Prefix-Hash", "5c1e07a2:80,91bd3f06:10"}
