package ctl

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/operator"
)

const demoManifest = "../../examples/demo.yaml"

// run runs verbenaspurctl and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(context.Background(), append([]string{"verbenaspurctl"}, args...), &o, &e)
	return code, o.String(), e.String()
}

// server is a stand-in for an entry daemon that answers proposals with a fixed
// result and counts them.
type server struct {
	*httptest.Server
	config operator.Config
	result operator.Result
	// loseResponse makes the server apply a proposal and close the connection
	// without a response.
	loseResponse bool
	proposed     int
}

func newServer(t *testing.T) *server {
	s := &server{config: operator.Config{Generation: 4}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/config", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		json.NewEncoder(w).Encode(s.config)
	})
	mux.HandleFunc("POST /admin/v1/config", func(w http.ResponseWriter, r *http.Request) {
		var p operator.Proposal
		json.NewDecoder(r.Body).Decode(&p)
		s.proposed++
		if s.loseResponse {
			s.config = operator.Config{Generation: p.Base + 1, Manifest: p.Manifest}
			panic(http.ErrAbortHandler)
		}
		json.NewEncoder(w).Encode(s.result)
	})
	s.Server = httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

func tokenFile(t *testing.T, token string) string {
	path := filepath.Join(t.TempDir(), "token")
	is.New(t).NoErr(os.WriteFile(path, []byte(token+"\n"), 0o600))
	return path
}

func TestApplyExitCodes(t *testing.T) {
	tests := []struct {
		status operator.Status
		code   int
		advice string
	}{
		{operator.StatusAccepted, exitOK, ""},
		{operator.StatusWritten, exitWritten, "not every entry"},
		{operator.StatusConflict, exitConflict, "Generation 4 is no longer in force"},
		{operator.StatusInvalid, exitInvalid, "invalid"},
		{operator.StatusUnavailable, exitUnavailable, "Nothing changed"},
		{operator.StatusUnknown, exitUnknown, "may have been written"},
	}
	token := tokenFile(t, "secret")
	for _, tt := range tests {
		t.Run(string(tt.status), func(t *testing.T) {
			is := is.New(t)
			s := newServer(t)
			s.result = operator.Result{Status: tt.status, Generation: 5}
			code, _, errOut := run(t, "--server", s.URL, "--token-file", token, "apply", demoManifest)
			is.Equal(code, tt.code)
			is.True(strings.Contains(errOut, tt.advice))
			is.Equal(s.proposed, 1)
		})
	}
}

func TestApplyReadsBackAfterLostResponse(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	s.loseResponse = true
	code, out, _ := run(t, "-s", s.URL, "--token-file", tokenFile(t, "secret"), "apply", demoManifest)
	is.Equal(code, exitWritten) // the result was read back
	is.True(strings.Contains(out, "generation 5"))
	is.Equal(s.proposed, 1) // the proposal is not sent again
}

func TestApplyTriesNextServer(t *testing.T) {
	is := is.New(t)
	down := newServer(t)
	down.Close()
	s := newServer(t)
	s.result = operator.Result{Status: operator.StatusAccepted, Generation: 5}
	token := tokenFile(t, "secret")
	code, _, _ := run(t, "-s", down.URL, "-s", s.URL, "--token-file", token, "apply", demoManifest)
	is.Equal(code, exitOK)
	code, _, _ = run(t, "-s", down.URL, "--token-file", token, "apply", demoManifest)
	is.Equal(code, exitUnavailable)
}

func TestOtherExitCodes(t *testing.T) {
	s := newServer(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.New(t).NoErr(os.WriteFile(bad, []byte("apiVersion: verbenaspur/v1\n"), 0o600))
	tests := []struct {
		name string
		code int
		args []string
	}{
		{"denied", exitDenied, []string{"-s", s.URL, "--token-file", tokenFile(t, "wrong"), "apply", demoManifest}},
		{"invalid", exitInvalid, []string{"apply", bad}},
		{"valid", exitOK, []string{"validate", demoManifest}},
		{"unknown command", exitUsage, []string{"frobnicate"}},
		{"unknown flag", exitUsage, []string{"apply", "--frobnicate"}},
		{"missing argument", exitUsage, []string{"apply"}},
		{"missing flag", exitUsage, []string{"keys", "new"}},
		{"no token", exitUsage, []string{"status"}},
		{"bad format", exitUsage, []string{"-o", "xml", "validate", demoManifest}},
		{"no such key", exitNotFound, []string{"keys", "withdraw", "--id", "nobody", demoManifest}},
		{"same", exitOK, []string{"diff", "--exit-code", demoManifest, demoManifest}},
		{"differs", exitDiffers, []string{"diff", "--exit-code", demoManifest, "../../examples/taichung.yaml"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := run(t, tt.args...)
			if code != tt.code {
				t.Log(errOut)
			}
			is.Equal(code, tt.code)
		})
	}
}

func TestKeysCommandsChangeOnlyKeys(t *testing.T) {
	is := is.New(t)
	before, err := os.ReadFile(demoManifest)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "m.yaml")
	is.NoErr(os.WriteFile(path, before, 0o600))

	code, out, _ := run(t, "-o", "json", "keys", "new", "--account", "township-a", "--id", "township-2", path)
	is.Equal(code, exitOK)
	var made generatedKey
	is.NoErr(json.Unmarshal([]byte(out), &made))
	id, digest, ok := apikey.ParseBearer("Bearer " + made.Key)
	is.True(ok)
	is.Equal(id, "township-2")

	m, after, err := readManifest(path)
	is.NoErr(err)
	ref, ok := manifest.NewIndex(m).Key("township-2")
	is.True(ok)
	is.Equal(ref.Account.Name, "township-a")
	is.Equal(ref.Key.Hash, hex.EncodeToString(digest[:]))
	is.True(!bytes.Contains(after, []byte(strings.TrimPrefix(made.Key, "vsp_township-2_")))) // the secret is not stored
	is.True(bytes.Contains(after, []byte("# The demo's manifest. Its")))                     // comments are kept

	code, _, _ = run(t, "keys", "rotate", "--id", "township-2", path)
	is.Equal(code, exitOK)
	code, _, _ = run(t, "keys", "withdraw", "--id", "township-1", path)
	is.Equal(code, exitOK)
	m, _, err = readManifest(path)
	is.NoErr(err)
	index := manifest.NewIndex(m)
	old, _ := index.Key("township-2")
	is.True(!old.Key.NotAfter.IsZero()) // the old key expires after the overlap
	_, ok = index.Key("township-3")
	is.True(ok)
	_, ok = index.Key("township-1")
	is.True(!ok)
}

func TestCanonicalFormEqualsManifest(t *testing.T) {
	is := is.New(t)
	code, out, _ := run(t, "canonical", demoManifest)
	is.Equal(code, exitOK)
	path := filepath.Join(t.TempDir(), "m.json")
	is.NoErr(os.WriteFile(path, []byte(out), 0o600))
	code, out, _ = run(t, "diff", "--exit-code", demoManifest, path)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "no difference"))
}
