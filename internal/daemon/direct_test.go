package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/response"
	"github.com/verbenaspur/verbenaspur/platform"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

// A request reaches one target once, with the client account of the API key, without
// internal and hop-by-hop header fields, and with the shorter of both timeouts.
func TestDirectPlainRequest(t *testing.T) {
	env := newDirectEnv(t)
	resp, body := env.call("POST", "/order/1?q=%20a", "{}", "X-Tenant", "rival", "X-Target-Instance", "other", "X-Kv-Hold", "h", "X-Custom", "kept", "Connection", "X-Gone", "X-Gone", "1")
	env.is.Equal(resp.StatusCode, 200)
	env.is.True(strings.HasPrefix(body, "answer of app-"))
	env.is.True(resp.Header.Get("X-Response-Signature") != "")
	seen := append(env.appTargets[0].Requests(), env.appTargets[1].Requests()...)
	env.is.Equal(len(seen), 1)
	h := seen[0].Header
	env.is.Equal(seen[0].URI, "/order/1?q=%20a")
	env.is.Equal(seen[0].Body, "{}")
	env.is.Equal(h.Get("X-Tenant"), "acme")
	env.is.Equal(h.Get("X-Custom"), "kept")
	env.is.Equal(h.Get("X-Request-Id"), "id-1")
	for _, name := range []string{"X-Api-Key", "X-Kv-Hold", "X-Gone"} {
		env.is.Equal(h.Get(name), "")
	}
	left, err := strconv.Atoi(h.Get("X-Deadline-Ms"))
	env.is.NoErr(err)
	env.is.True(left <= 3000) // The route's timeout is shorter than the caller's.
}

// A short prompt is served by one engine. A long prompt is prefilled on another
// engine, from which the decoding engine fetches the KV cache.
func TestDirectStreamAndSeparatePrefill(t *testing.T) {
	env := newDirectEnv(t)
	resp, body := env.call("POST", "/chat/1", "{}", shortPromptHeaders...)
	env.is.Equal(resp.StatusCode, 200)
	env.is.Equal(strings.Count(body, "data:"), 4)
	before := len(env.prefillEngine.Requests())
	resp, body = env.call("POST", "/chat/1", "{}", "X-Token-Usage", "30000,20", "X-Prefix-Hash", "aa:20000,bb:10000")
	env.is.Equal(resp.StatusCode, 200)
	env.is.Equal(strings.Count(body, "data:"), 4)
	env.is.Equal(len(env.prefillEngine.Requests()), before+1)
	var source string
	for _, s := range append(env.decodeEngines[0].Requests(), env.decodeEngines[1].Requests()...) {
		if s.Header.Get("X-Request-Id") == "id-2" {
			source += s.Header.Get("X-Kv-Source")
		}
	}
	env.is.Equal(source, fmt.Sprintf("%s/pre-1-%d", env.prefillEngine.Addr, before))
}

// A request without a route, with an unknown key or with too large a body is refused
// and does not run.
func TestDirectRefusals(t *testing.T) {
	env := newDirectEnv(t)
	resp, _ := env.call("POST", "/nowhere/1", "")
	env.is.Equal(resp.StatusCode, 404)
	resp, _ = env.call("POST", "/order/1", "", "X-Api-Key", "wrong")
	env.is.Equal(resp.StatusCode, 401)
	resp, _ = env.call("POST", "/order/1", strings.Repeat("x", 1001))
	env.is.Equal(resp.StatusCode, 413)
	env.is.Equal(env.runCount(env.appTargets...), 0)
}

// A request that may have run is not repeated unless its route is safe, and the
// response to the caller does not promise more than the targets have reported.
func TestDirectTargetFaults(t *testing.T) {
	env := newDirectEnv(t)
	fail := func(f platformtest.Fault) {
		for _, r := range env.appTargets {
			r.ClearFaults()
			r.InjectFaults(f)
		}
	}
	fail(platformtest.FaultReset)
	resp, _ := env.call("POST", "/order/1", "{}")
	env.is.Equal(resp.StatusCode, 502) // It ran once and is not sent again.
	env.is.Equal(env.runCount(env.appTargets...), 1)
	before := env.runCount(env.appTargets...)
	fail(platformtest.FaultError)
	resp, body := env.call("GET", "/lookup/1", "")
	env.is.Equal(resp.StatusCode, 500) // Both targets failed, so their error response is forwarded.
	env.is.True(strings.HasPrefix(body, "failed by app-"))
	env.is.Equal(env.runCount(env.appTargets...), before+2)
	fail(platformtest.FaultUnavailable)
	resp, _ = env.call("POST", "/order/1", "{}")
	env.is.Equal(resp.StatusCode, 502) // A 503 without X-Not-Executed does not prove that the request did not run.
	env.is.Equal(resp.Header.Get("X-Response-Signature"), "")
	fail(platformtest.FaultUnsigned)
	resp, _ = env.call("POST", "/order/1", "{}")
	env.is.Equal(resp.StatusCode, 502)
	before = env.runCount(env.appTargets...)
	fail(platformtest.FaultRefuse)
	resp, _ = env.call("POST", "/order/1", "{}")
	env.is.Equal(resp.StatusCode, 503)
	env.is.True(resp.Header.Get("Retry-After") != "")
	env.is.Equal(env.runCount(env.appTargets...), before) // The targets did not run it, as they reported.
}

// A stream that targets cut off is resumed without repeated events if its route is
// resumable. If it can't be completed, the caller must see that it is incomplete.
func TestDirectTornStream(t *testing.T) {
	env := newDirectEnv(t)
	env.store.Remove("servers", "pre-1")
	env.eventually(func() bool {
		before := len(env.prefillEngine.Requests())
		resp, _ := env.call("POST", "/chat/1", "{}", shortPromptHeaders...)
		return resp.StatusCode == 200 && len(env.prefillEngine.Requests()) == before
	})
	for _, r := range env.decodeEngines {
		r.StreamEvents = 6
		r.InjectFaults(platformtest.FaultTruncate)
	}
	_, body := env.call("POST", "/resume/1", "{}", shortPromptHeaders...)
	env.is.True(strings.HasPrefix(body, "broken: ")) // Both targets cut the stream off.
	env.is.Equal(strings.Count(body, "data:"), 4)    // Two complete events of each target, and none twice.
	env.decodeEngines[0].InjectFaults(platformtest.FaultTruncate)
	env.decodeEngines[1].InjectFaults(platformtest.FaultTruncate)
	_, body = env.call("POST", "/chat/1", "{}", shortPromptHeaders...)
	env.is.True(strings.HasPrefix(body, "broken: ")) // The response must not look complete.
	env.is.Equal(strings.Count(body, "data:"), 2)
}

// The connection to a target that hangs is closed when the request times out and
// when the caller disconnects.
func TestDirectTimeoutAndDisconnect(t *testing.T) {
	env := newDirectEnv(t)
	for _, r := range env.appTargets {
		r.InjectFaults(platformtest.FaultHang)
	}
	start := time.Now()
	resp, _ := env.call("GET", "/short/1", "")
	env.is.Equal(resp.StatusCode, 504)
	env.is.True(time.Since(start) < 2*time.Second)
	env.eventually(func() bool { return env.appTargets[0].Disconnects()+env.appTargets[1].Disconnects() == 1 })
	for _, r := range env.appTargets {
		r.InjectFaults(platformtest.FaultHang)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		resp, err := env.send(ctx, "GET", "/lookup/1", "")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	env.eventually(func() bool { return env.runCount(env.appTargets...) == 2 })
	cancel()
	env.eventually(func() bool { return env.appTargets[0].Disconnects()+env.appTargets[1].Disconnects() == 2 })
}

// A withdrawn key stops working. While the store is down, withdrawals can't be read,
// so no key is accepted and the daemon is not ready.
func TestDirectKeyRevocation(t *testing.T) {
	env := newDirectEnv(t)
	env.store.Put("config", "main", directConfigObject("key-2", "key-3"))
	env.eventually(func() bool {
		resp, _ := env.call("POST", "/order/1", "{}")
		return resp.StatusCode == 401
	})
	env.store.SetDown(true)
	env.eventually(func() bool { return env.readyStatus() == http.StatusServiceUnavailable })
	resp, _ := env.call("POST", "/order/1", "{}", "X-Api-Key", "key-2")
	env.is.Equal(resp.StatusCode, 503)
	env.store.SetDown(false)
	env.eventually(func() bool { return env.readyStatus() == http.StatusOK })
}

// A draining target gets no new requests.
func TestDirectDrainingTarget(t *testing.T) {
	env := newDirectEnv(t)
	env.store.Put("servers", "app-1", env.appTargets[0].Registration("app", "d1", "draining"))
	time.Sleep(400 * time.Millisecond) // The time that the settings allow.
	before := len(env.appTargets[0].Requests())
	for range 10 {
		env.call("GET", "/lookup/1", "")
	}
	env.is.Equal(len(env.appTargets[0].Requests()), before)
}

// Every run is reported exactly once, and each window by one report.
func TestDirectUsageReports(t *testing.T) {
	env := newDirectEnv(t)
	const runs = 20
	for range runs {
		env.call("POST", "/order/1", "{}")
	}
	total := func() int64 {
		var n int64
		for _, r := range env.store.Reports() {
			n += r.Counts["acme"]
		}
		return n
	}
	env.eventually(func() bool { return total() == runs })
	seen := map[int64]bool{}
	for _, r := range env.store.Reports() {
		env.is.True(!seen[r.Window])
		seen[r.Window] = true
		env.is.True(r.Fence > 0 && r.Holder == "entry-1")
	}
}

// On a graceful shutdown the daemon reports at once that it is not ready, lets open
// requests end and then ends itself.
func TestDirectGracefulShutdown(t *testing.T) {
	env := newDirectEnv(t)
	for _, r := range env.decodeEngines {
		r.StreamEvents = 8
		r.EventInterval = 100 * time.Millisecond
	}
	resp, err := env.send(context.Background(), "POST", "/chat/1", "{}", shortPromptHeaders...)
	env.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	env.eventually(func() bool { return env.readyStatus() == http.StatusServiceUnavailable })
	r, _ := env.call("POST", "/order/1", "{}")
	env.is.Equal(r.StatusCode, 200) // The load balancer may still send requests.
	b, err := io.ReadAll(resp.Body)
	env.is.NoErr(err)
	env.is.Equal(strings.Count(string(b), "data:"), 8)
	<-done
}

// The time limit of a write applies to each event and not to the whole stream.
func TestDirectLongStreamIsNotCut(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.process.budget.StallTimeout = 300 * time.Millisecond
	env.start()
	for _, r := range env.decodeEngines {
		r.StreamEvents = 10
		r.EventInterval = 80 * time.Millisecond
	}
	_, body := env.call("POST", "/chat/1", "{}", shortPromptHeaders...)
	env.is.Equal(strings.Count(body, "data:"), 10)
	env.is.True(!strings.HasPrefix(body, "broken: "))
}

// A stream to a caller that reads nothing ends no later than the route's time limit.
func TestDirectStalledCallerIsCut(t *testing.T) {
	env := newDirectEnv(t)
	for _, r := range env.decodeEngines {
		r.StreamEvents = 1000
		r.EventPadding = 100_000
	}
	resp, err := env.send(context.Background(), "POST", "/chat/1", "{}", shortPromptHeaders...)
	env.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	env.eventually(func() bool {
		env.process.driver.mu.Lock()
		defer env.process.driver.mu.Unlock()
		return len(env.process.driver.exchanges) == 0
	})
}

// deadlineRecorder records the write deadline that is set.
type deadlineRecorder struct {
	http.ResponseWriter
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// The writes of an attempt are limited by the time left for it, or a little more.
func TestWriteTimeout(t *testing.T) {
	is := is.New(t)
	for remaining, want := range map[time.Duration]time.Duration{
		time.Minute: time.Minute, 5 * time.Second: 5 * time.Second, -time.Second: minWriteTimeout,
	} {
		w := &deadlineRecorder{}
		x := &directExchange{response: response.NewWriter(w, platform.CopyHeader, 0)}
		before := time.Now()
		x.limitWrites(remaining)
		is.True(!w.deadline.Before(before.Add(want)))
		is.True(!w.deadline.After(time.Now().Add(want)))
	}
}

// During a graceful shutdown a kept connection serves its next request, and the response
// asks the caller to close it.
func TestDirectShutdownClosesKeptConnectionsByResponse(t *testing.T) {
	env := newDirectEnv(t)
	c, err := net.Dial("tcp", env.process.settings.CallersAddr)
	env.is.NoErr(err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	exchange := func(id string) (status int, closes bool) {
		_, err := fmt.Fprintf(c, "GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Api-Key: key-1\r\n\r\n", id)
		env.is.NoErr(err)
		resp, err := http.ReadResponse(r, nil)
		env.is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		env.is.NoErr(err)
		return resp.StatusCode, resp.Close
	}
	_, closes := exchange("a")
	env.is.True(!closes)
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	time.Sleep(keepAliveOffDelay + (listenerCloseDelay-keepAliveOffDelay)/2)
	status, closes := exchange("b")
	env.is.Equal(status, http.StatusOK)
	env.is.True(closes)
	<-done
}

// A foreign protocol on the callers' port does not affect other callers.
func TestDirectForeignProtocol(t *testing.T) {
	env := newDirectEnv(t)
	c, err := net.Dial("tcp", env.process.settings.CallersAddr)
	env.is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "\x16\x03\x01 no request\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	env.is.True(strings.Contains(line, "400"))
	resp, _ := env.call("POST", "/order/1", "{}")
	env.is.Equal(resp.StatusCode, 200)
}

// SIGHUP reloads the settings and does not end the process.
func TestDirectHangupReloads(t *testing.T) {
	env := newDirectEnv(t)
	env.moveStore()
	env.is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	env.awaitMovedStore()
}

// A change of the settings between the daemon's first read of them and its start is
// not lost, nor does the signal end the process.
func TestDirectHangupBeforeStartReloads(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.moveStore()
	env.is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	env.start()
	env.awaitMovedStore()
}

// A file that is rewritten without a signal before the start is not taken for the
// one in use.
func TestDirectRewriteBeforeStartReloads(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.moveStore()
	env.start()
	env.awaitMovedStore()
}

// moveStore starts a second store, whose configuration has one more key, and names
// it in the settings file.
func (env *directEnv) moveStore() {
	b, err := os.ReadFile(env.settingsPath)
	env.is.NoErr(err)
	other := platformtest.NewStore(env.t)
	other.Put("config", "main", directConfigObject("key-1", "key-2", "key-3"))
	for _, r := range env.appTargets {
		other.Put("servers", r.ID, r.Registration("app", "d1", "ready"))
	}
	text := strings.ReplaceAll(string(b), env.store.Addr, other.Addr)
	env.is.NoErr(os.WriteFile(env.settingsPath, []byte(text), 0o600))
}

// awaitMovedStore waits until the daemon serves with the configuration of the second
// store.
func (env *directEnv) awaitMovedStore() {
	env.t.Helper()
	env.eventually(func() bool {
		resp, _ := env.call("POST", "/order/1", "{}", "X-Api-Key", "key-3")
		return resp.StatusCode == 200
	})
}
