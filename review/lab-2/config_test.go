package lab2

import "encoding/json"

func jsonNumber(s string) json.Number { return json.Number(s) }

// Route returns a route of the operator's configuration.
func Route(name, prefix, mode, service string, attempts, timeoutMS int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": "h.example", "path_prefix": prefix, "mode": mode, "service": service,
		"attempts": attempts, "timeout_ms": timeoutMS, "slo_ms": 800, "priority": 1, "public": false,
		"sticky": mode == "streaming", "resumable": resumable, "gap_target_ms": 400,
	}
}

// Config returns a configuration of the operator with one tenant for each list of keys.
func Config(version int, routes []map[string]any, keys map[string][]string) map[string]any {
	tenants := []any{}
	for _, name := range []string{"t-a", "t-b"} {
		if list, ok := keys[name]; ok {
			tenants = append(tenants, map[string]any{"name": name, "api_keys": list, "priority": 1})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 502284, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_ttl_s": 5.0, "swap_s": 3.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
