// Package load sends a described workload to a deployment and measures the
// answers.
//
// The load is open: each request has its time from the start on, however slow
// the answers are, and latencies count from that time. So a stalled system
// can't hide its stalls by slowing the load down.
package load

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// APIVersion is the workload format that this package reads.
const APIVersion = "verbenaspur/workload-v1"

// Workload describes the requests of one run. The same workload and seed give
// the same requests at the same times.
type Workload struct {
	APIVersion string            `yaml:"apiVersion" validate:"required,eq=verbenaspur/workload-v1"`
	Name       string            `yaml:"name" validate:"required,name"`
	Seed       uint64            `yaml:"seed,omitempty"`
	Duration   manifest.Duration `yaml:"duration" validate:"required,gt=0"`
	// Verify selects how to tell that an answer belongs to its request: none,
	// or standin for the answers of the stand-in engine.
	Verify   string    `yaml:"verify,omitempty" validate:"omitempty,oneof=none standin"`
	Accounts []Account `yaml:"accounts,omitempty" validate:"dive"`
	Streams  []Stream  `yaml:"streams" validate:"required,min=1,dive"`
	Shifts   []Shift   `yaml:"shifts,omitempty" validate:"dive"`
}

// Account gives the key of a client account.
type Account struct {
	Name string `yaml:"name" validate:"required,name"`
	// Key is the API key; KeyFile names a file that holds it.
	Key     string `yaml:"key,omitempty"`
	KeyFile string `yaml:"keyFile,omitempty"`
}

// Stream is a sequence of independent requests at random times.
type Stream struct {
	Name    string `yaml:"name" validate:"required,name"`
	Account string `yaml:"account,omitempty"`
	Route   string `yaml:"route" validate:"required,name"`
	// Rate is the mean number of requests a second.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Prompt and Output are lengths in tokens, for routes of engine pools.
	Prompt Length `yaml:"prompt,omitempty"`
	Output Length `yaml:"output,omitempty"`
	Prefix Prefix `yaml:"prefix,omitempty"`
	// Call is set for routes of service pools.
	Call *Call `yaml:"call,omitempty"`
}

// Length is a log-normal distribution of lengths in tokens.
type Length struct {
	Median float64 `yaml:"median" validate:"gte=0"`
	// Sigma is the standard deviation of the length's natural logarithm.
	Sigma float64 `yaml:"sigma,omitempty" validate:"gte=0"`
	Max   int     `yaml:"max,omitempty" validate:"gte=0"`
}

// Prefix makes prompts begin alike.
type Prefix struct {
	// Groups is the number of different beginnings.
	Groups int `yaml:"groups,omitempty" validate:"gte=0"`
	// Tokens is the length of each.
	Tokens int `yaml:"tokens,omitempty" validate:"gte=0"`
}

// Call is a call of a plain service. In Path, Body and Expect, {id} stands for
// an id that is unique to the request.
type Call struct {
	Method     string `yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `yaml:"path" validate:"required,startswith=/"`
	Body       string `yaml:"body,omitempty"`
	Idempotent bool   `yaml:"idempotent,omitempty"`
	// Expect has to be in the answer.
	Expect string `yaml:"expect,omitempty"`
}

// Shift changes a stream, or all of them, from a time on. Factors of several
// shifts multiply; zero means no change.
type Shift struct {
	At     manifest.Duration `yaml:"at" validate:"gte=0"`
	For    manifest.Duration `yaml:"for,omitempty" validate:"gte=0"`
	Ramp   manifest.Duration `yaml:"ramp,omitempty" validate:"gte=0"`
	Stream string            `yaml:"stream,omitempty"`
	Rate   float64           `yaml:"rate,omitempty" validate:"gte=0"`
	Prompt float64           `yaml:"prompt,omitempty" validate:"gte=0"`
	Output float64           `yaml:"output,omitempty" validate:"gte=0"`
}

// Read reads and checks a workload file.
func Read(path string) (*Workload, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "workload")
	}
	return Decode(b)
}

// Decode reads and checks a workload.
func Decode(b []byte) (*Workload, error) {
	var w Workload
	if err := strictyaml.Decode(b, &w, check); err != nil {
		return nil, errors.Wrap(err, "workload")
	}
	return &w, nil
}

func check(w *Workload) []strictyaml.Violation {
	var faults []strictyaml.Violation
	add := func(path, format string, args ...any) {
		faults = append(faults, strictyaml.Violation{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	accounts := make(map[string]bool)
	for _, a := range w.Accounts {
		accounts[a.Name] = true
	}
	streams := make(map[string]bool)
	for i, s := range w.Streams {
		if streams[s.Name] {
			add(fmt.Sprintf("$.streams[%d].name", i), "stream %q stands twice", s.Name)
		}
		streams[s.Name] = true
		if s.Account != "" && !accounts[s.Account] {
			add(fmt.Sprintf("$.streams[%d].account", i), "no account is called %q", s.Account)
		}
		if s.Call == nil && (s.Prompt.Median == 0 || s.Output.Median == 0) {
			add(fmt.Sprintf("$.streams[%d]", i), "needs a call, or the lengths of prompt and output")
		}
	}
	for i, s := range w.Shifts {
		if s.Stream != "" && !streams[s.Stream] {
			add(fmt.Sprintf("$.shifts[%d].stream", i), "no stream is called %q", s.Stream)
		}
	}
	return faults
}

// key returns the API key of an account; empty without one.
func (w *Workload) key(account string) (string, error) {
	for _, a := range w.Accounts {
		if a.Name != account {
			continue
		}
		if a.KeyFile == "" {
			return a.Key, nil
		}
		b, err := os.ReadFile(a.KeyFile)
		return string(trimNewline(b)), errors.Wrap(err, "workload")
	}
	return "", nil
}

func trimNewline(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return b
}
