package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/experiment"
)

const shortFleet = "../../examples/experiments/short-fleet.yaml"

func TestExperimentCommand(t *testing.T) {
	is := is.New(t)
	code, out, errOut := run(t, "experiment", shortFleet)
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "worst windows"))
	code, out, _ = run(t, "--output", "json", "experiment", "--seed", "7", shortFleet)
	is.Equal(code, exitOK)
	var r experiment.Result
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(len(r.Kinds), 3)
	is.True(r.Kinds[0].Requests > 0)
}

func TestInvalidExperimentIsRejected(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile(shortFleet)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(b), "kind: short, at", "kind: none, at", 1)), 0o600))
	code, _, errOut := run(t, "experiment", path)
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(errOut, "no kind has this name"))
	code, _, _ = run(t, "experiment")
	is.Equal(code, exitUsage)
}

func TestExperimentLoads(t *testing.T) {
	is := is.New(t)
	spec, err := os.ReadFile(shortFleet)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "short.yaml")
	is.NoErr(os.WriteFile(path, bytes.Replace(spec, []byte("duration: 40s"), []byte("duration: 4s"), 1), 0o600))
	plot := filepath.Join(t.TempDir(), "loads.svg")
	code, out, errOut := run(t, "experiment", "--loads", "0.5,2", "--seeds", "1", "--plot", plot, path)
	is.Equal(code, 0)
	is.Equal(errOut, "")
	is.True(strings.HasPrefix(out, "LOAD"))
	is.Equal(strings.Count(out, "\n"), 3)
	_, err = os.Stat(plot)
	is.NoErr(err)
	code, _, _ = run(t, "experiment", "--loads", "0", path)
	is.Equal(code, exitUsage)
}
