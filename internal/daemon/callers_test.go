package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/loopback"
	"github.com/verbenaspur/verbenaspur/internal/settings"
	"github.com/verbenaspur/verbenaspur/internal/standin/engine"
	standin "github.com/verbenaspur/verbenaspur/internal/standin/platform"
	"github.com/verbenaspur/verbenaspur/internal/standin/service"
)

const (
	testKey           = "vsp_depot-1_demo-secret-of-the-depot"
	testOperatorToken = "operator"
)

// Addresses of the hosts of a deployment.
var (
	testEntryIP   = loopback.IP(0)
	testEngineIP  = loopback.IP(1)
	testServiceIP = loopback.IP(2)
)

// deployment is an entry daemon, and an engine and a service with a side daemon
// each. The daemons are run by [Run], as the program does.
type deployment struct {
	t         *testing.T
	dir       string
	port      string
	authority *identity.Authority
	platform  *httptest.Server
	engine    *httptest.Server
	service   *httptest.Server
	// entry is the base URL for callers.
	entry     string
	stopEntry context.CancelFunc
	entryErr  chan error
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), port: newTestPort(), entryErr: make(chan error, 1)}
	var err error
	if d.authority, err = identity.OpenAuthority(d.dir); err != nil {
		t.Fatal(err)
	}
	d.platform = startServer(t, standin.New())
	d.engine = startServer(t, engine.New(engine.Config{Models: []engine.Model{{Model: "dispatch-7b", Version: "v1"}}}))
	d.service = startServer(t, service.New(service.Config{}))
	d.post(d.platform.URL+"/control/hosts", "", fmt.Sprintf(`{"hosts":[%s,%s,%s]}`,
		hostJSON("e1", testEntryIP, "entry"), hostJSON("t1", testEngineIP, "target"), hostJSON("t2", testServiceIP, "target")))
	d.startDaemon("t1", testEngineIP, &settings.Target{ID: "engine-1", Kind: settings.TargetEngine, Pool: "dispatch", URL: d.engine.URL})
	d.startDaemon("t2", testServiceIP, &settings.Target{ID: "yard-1", Kind: settings.TargetService, Pool: "yard", URL: d.service.URL})
	d.stopEntry = d.startDaemon("e1", testEntryIP, nil)
	d.applyManifest()
	return d
}

func startServer(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.CloseClientConnections)
	return s
}

func hostJSON(host, ip, kind string) string {
	return fmt.Sprintf(`{"host":%q,"addr":%q,"failureDomain":"fd-a","region":"local","kind":%q,"state":"live"}`, host, ip, kind)
}

// startDaemon starts a daemon and returns the function that requests it to stop.
func (d *deployment) startDaemon(host, ip string, target *settings.Target) context.CancelFunc {
	d.t.Helper()
	peer := identity.Peer{Kind: identity.KindEntry, Host: host}
	s := &settings.Settings{
		Role: settings.RoleEntry, Host: host, FailureDomain: "fd-a", Region: "local", Target: target,
		Listen:   settings.Listen{Link: ip + ":" + d.port},
		Platform: settings.Platform{Objects: d.platform.URL, Targets: d.platform.URL, Usage: d.platform.URL, Hosts: d.platform.URL},
	}
	if target != nil {
		s.Role, peer.Kind = settings.RoleSide, identity.KindSide
	} else {
		s.Listen.HTTP = ip + ":" + d.port
		s.Operators = []settings.Operator{{Name: "test", TokenHash: "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"}}
		d.entry = "http://" + s.Listen.HTTP
	}
	files, err := d.authority.Issue(peer, netip.MustParseAddr(ip))
	if err != nil {
		d.t.Fatal(err)
	}
	s.TLS = settings.TLS{CA: files.CA, Cert: files.Cert, Key: files.Key}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s, slog.New(slog.DiscardHandler)) }()
	d.t.Cleanup(stop)
	if target == nil {
		go func() { d.entryErr <- <-done }()
	}
	return stop
}

// eventually waits until ok returns true, for at most 30 seconds.
func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Fatalf("timed out waiting for %s", what)
}

// applyManifest applies the demo manifest and waits until the engine and the service
// are ready.
func (d *deployment) applyManifest() {
	d.t.Helper()
	text, err := os.ReadFile("../../examples/demo.yaml")
	if err != nil {
		d.t.Fatal(err)
	}
	body, err := json.Marshal(proposalRequest{Manifest: string(text)})
	if err != nil {
		d.t.Fatal(err)
	}
	d.eventually("the configuration", func() bool {
		_, response := d.call(http.MethodPost, "/admin/v1/config", testOperatorToken, string(body))
		return strings.Contains(response, `"accepted"`)
	})
	d.eventually("readiness", func() bool {
		status, _ := d.call(http.MethodPost, "/v1/chat/completions", testKey, chat("ready?", 1, false))
		return status == http.StatusOK
	})
	d.eventually("readiness of the service", func() bool {
		status, _ := d.call(http.MethodGet, "/services/notices/notices", "", "")
		return status == http.StatusOK
	})
}

// call sends a request to the entry daemon. Status 0 means that there was no
// response.
func (d *deployment) call(method, path, token, body string) (int, string) {
	req, err := http.NewRequest(method, d.entry+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

func (d *deployment) post(url, token, body string) {
	d.t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func chat(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"dispatch-urgent","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, tokens, stream, prompt)
}

// Invalid requests and connections get an error and do not affect later requests.
func TestInvalidRequestsAreRefusedInIsolation(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	cases := []struct {
		name, method, path, token, body string
		status                          int
		code                            string
	}{
		{"truncated JSON", "POST", "/v1/chat/completions", testKey, `{"model":`, 400, "invalid-request"},
		{"no model", "POST", "/v1/chat/completions", testKey, `{"messages":[{"role":"user","content":"x"}]}`, 400, "invalid-request"},
		{"no messages", "POST", "/v1/chat/completions", testKey, `{"model":"dispatch-urgent"}`, 400, "invalid-request"},
		{"several choices", "POST", "/v1/chat/completions", testKey, `{"model":"dispatch-urgent","n":2,"messages":[{"role":"user","content":"x"}]}`, 400, "invalid-request"},
		{"too large", "POST", "/v1/completions", testKey, strings.Repeat("x", maxBody+1), 413, "body-too-large"},
		{"no key", "POST", "/v1/chat/completions", "", chat("x", 1, false), 401, "unauthorized"},
		{"wrong key", "POST", "/v1/chat/completions", "vsp_depot-1_wrong", chat("x", 1, false), 401, "unauthorized"},
		{"unknown path", "GET", "/v2/x", testKey, "", 404, "not-found"},
		{"wrong method", "GET", "/v1/chat/completions", testKey, "", 405, "method-not-allowed"},
		{"order without idempotency key", "POST", "/services/yard-booking/orders", testKey, "{}", 400, ""},
		{"unknown operation", "DELETE", "/services/yard-booking/orders/1", testKey, "", 404, ""},
		{"no operator token", "GET", "/admin/v1/status", testKey, "", 401, "unauthorized"},
		{"unknown field of a proposal", "POST", "/admin/v1/config", testOperatorToken, `{"x":1}`, 400, "invalid-request"},
		{"unknown pool", "GET", "/admin/v1/plan?pool=none", testOperatorToken, "", 404, "unknown-pool"},
		{"unknown request", "GET", "/admin/v1/explain/none", testOperatorToken, "", 404, "unknown-request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body := d.call(c.method, c.path, c.token, c.body)
			is.Equal(status, c.status)
			var refusal openAIError
			is.NoErr(json.Unmarshal([]byte(body), &refusal))
			is.Equal(refusal.Error.Outcome, "not-run")
			if c.code != "" {
				is.Equal(refusal.Error.Code, c.code)
			}
		})
	}
	t.Run("incomplete request and foreign protocol", func(t *testing.T) {
		is := is.New(t)
		for _, text := range []string{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", "\x16\x03\x01\x02\x00\x01\x00"} {
			c, err := net.Dial("tcp", strings.TrimPrefix(d.entry, "http://"))
			is.NoErr(err)
			_, err = io.WriteString(c, text)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			_, err = io.ReadAll(c) // The daemon responds or closes the connection, and does not hang.
			is.NoErr(err)
			is.NoErr(c.Close())
		}
	})
	status, body := d.call(http.MethodPost, "/v1/chat/completions", testKey, chat("still there?", 4, false))
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, engine.Answer("still there?", 4)))
}

// A stopping entry daemon refuses new requests and completes open streams.
func TestEntryShutdownCompletesOpenStream(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	const tokens = 150
	req, err := http.NewRequest(http.MethodPost, d.entry+"/v1/chat/completions", strings.NewReader(chat("long", tokens, true)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	_, err = lines.ReadString('\n') // The stream has started.
	is.NoErr(err)
	d.stopEntry()
	d.eventually("the refusal of a new request", func() bool {
		status, _ := d.call(http.MethodPost, "/v1/chat/completions", testKey, chat("new", 1, false))
		return status == http.StatusServiceUnavailable
	})
	rest, err := io.ReadAll(lines)
	is.NoErr(err)
	is.True(bytes.HasSuffix(bytes.TrimSpace(rest), []byte("data: [DONE]"))) // The stream is complete.
	is.NoErr(<-d.entryErr)
}

func TestEntryStopAnswersRequestOnItsWay(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	addr := strings.TrimPrefix(d.entry, "http://")
	d.stopEntry()
	time.Sleep(httpdrain.InFlightTime / 2) // The listener is open for a second.
	silent, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	d.eventually("the close of the listener", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(silent, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(silent), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.True(resp.Close)
	is.NoErr(<-d.entryErr)
}

// When a caller disconnects, its request is cancelled on the engine.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.entry+"/v1/chat/completions", strings.NewReader(chat("endless", 1000, true)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	is.NoErr(err)
	leave()
	_ = resp.Body.Close()
	d.eventually("the end of the request on the engine", func() bool {
		resp, err := http.Get(d.engine.URL + "/control/stats")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var st engine.Stats
		return json.NewDecoder(resp.Body).Decode(&st) == nil && st.Running == 0
	})
}
