package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

const platformSettings = `node: entry-1
ip: 127.0.0.1
zone: d1
region: r
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2"}
internal_ports: [3, 1]
bounds: {config_ms: 2000, revoke_ms: 5000}
provider: {addr: %q}
cloud: {addr: %q, duties: [metering]}
`

func writePlatformSettings(t *testing.T, addr string) string {
	path := filepath.Join(t.TempDir(), "node.yaml")
	is.New(t).NoErr(os.WriteFile(path, fmt.Appendf(nil, platformSettings, addr, addr), 0o600))
	return path
}

func TestPlatformStatus(t *testing.T) {
	is := is.New(t)
	store := platformtest.NewStore(t)
	store.Put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "chat", "hostname": "h", "path_prefix": "/", "mode": "safe", "service": "app"}},
		"services": []any{map[string]any{"name": "app"}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"secret-key"}}},
	})
	r := platformtest.NewRunner(t, "app-1", "")
	store.Put("servers", r.ID, r.Registration("app", "d1", "draining"))
	store.Put("servers", "odd", map[string]any{"addr": 7})
	store.Put("verbenaspur-entry", "entry-1", msg.EntryRecord{Addr: "127.0.0.1:3", Domain: "d1", Heartbeat: 4})
	store.Put("verbenaspur-lease", "usage", msg.LeaseRecord{Holder: "entry-1", Epoch: 3, DurationMS: 3000})
	path := writePlatformSettings(t, store.Addr)

	code, out, errOut := run(t, "platform", "--settings", path)
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	for _, want := range []string{"app-1", "draining", "1 entries do not name a valid target", "entry-1", "usage", "3s"} {
		is.True(strings.Contains(out, want)) // part of the table
	}
	is.True(!strings.Contains(out, "secret-key"))

	code, out, _ = run(t, "--output", "json", "platform", "--settings", path)
	is.Equal(code, exitOK)
	var st platformStatus
	is.NoErr(json.Unmarshal([]byte(out), &st))
	is.Equal(st.Configuration, configurationRow{Version: 7, Routes: 1, Services: 1, Accounts: 1})
	is.Equal(st.Targets[0].State, "draining")
	is.Equal(st.Entries[0].Heartbeat, uint64(4))
	is.Equal(st.Leases[0].Holder, msg.HostID("entry-1"))
}

func TestPlatformStatusWithoutStore(t *testing.T) {
	is := is.New(t)
	store := platformtest.NewStore(t)
	path := writePlatformSettings(t, store.Addr)
	code, _, errOut := run(t, "platform", "--settings", path)
	is.Equal(code, exitUnavailable) // there is no configuration
	is.True(strings.Contains(errOut, "configuration"))
	code, _, _ = run(t, "platform", "--settings", path+"-none")
	is.Equal(code, exitInvalid)
	code, _, _ = run(t, "platform")
	is.Equal(code, exitUsage)
}
