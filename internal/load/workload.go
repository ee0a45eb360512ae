// Package load sends the requests of a workload to a deployment and measures the
// responses.
//
// The load is open-loop: the time of each request is fixed in advance, however
// slow the responses are, and latencies count from that time. Therefore a system
// that stalls can't hide its stalls by slowing down the load (coordinated
// omission).
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

// Workload describes the requests of one run. The same workload and seed produce
// the same requests at the same times.
type Workload struct {
	APIVersion string            `yaml:"apiVersion" validate:"required,eq=verbenaspur/workload-v1"`
	Name       string            `yaml:"name" validate:"required,name"`
	Seed       uint64            `yaml:"seed,omitempty"`
	Duration   manifest.Duration `yaml:"duration" validate:"required,gt=0"`
	// Verify selects how to check that a response belongs to its request. The
	// value standin expects the responses of the stand-in engine; with none there
	// is no check.
	Verify   string    `yaml:"verify,omitempty" validate:"omitempty,oneof=none standin"`
	Accounts []Account `yaml:"accounts,omitempty" validate:"dive"`
	Streams  []Stream  `yaml:"streams" validate:"required,min=1,dive"`
	Shifts   []Shift   `yaml:"shifts,omitempty" validate:"dive"`
}

// Account is a client account and its API key.
type Account struct {
	Name string `yaml:"name" validate:"required,name"`
	// Key is the API key. If KeyFile is set, the key is read from that file
	// instead.
	Key     string `yaml:"key,omitempty"`
	KeyFile string `yaml:"keyFile,omitempty"`
}

// Stream is a sequence of independent requests at random times.
type Stream struct {
	Name    string `yaml:"name" validate:"required,name"`
	Account string `yaml:"account,omitempty"`
	Route   string `yaml:"route" validate:"required,name"`
	// Rate is the mean number of requests per second.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Prompt and Output are the lengths of prompts and responses. They are set
	// for routes of engine pools.
	Prompt Length `yaml:"prompt,omitempty"`
	Output Length `yaml:"output,omitempty"`
	Prefix Prefix `yaml:"prefix,omitempty"`
	// Call is the call to make. It is set for routes of service pools.
	Call *Call `yaml:"call,omitempty"`
}

// Length is a log-normal distribution of lengths in tokens.
type Length struct {
	Median float64 `yaml:"median" validate:"gte=0"`
	// Sigma is the standard deviation of the length's natural logarithm.
	Sigma float64 `yaml:"sigma,omitempty" validate:"gte=0"`
	Max   int     `yaml:"max,omitempty" validate:"gte=0"`
}

// Prefix describes prefixes that the prompts of a stream share.
type Prefix struct {
	// Groups is the number of different prefixes.
	Groups int `yaml:"groups,omitempty" validate:"gte=0"`
	// Tokens is the length of each prefix.
	Tokens int `yaml:"tokens,omitempty" validate:"gte=0"`
}

// Call is a call of a plain service. In Path, Body and Expect, {id} is replaced by
// an ID that is unique to the request.
type Call struct {
	Method     string `yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `yaml:"path" validate:"required,startswith=/"`
	Body       string `yaml:"body,omitempty"`
	Idempotent bool   `yaml:"idempotent,omitempty"`
	// Expect is a text that the response must contain.
	Expect string `yaml:"expect,omitempty"`
}

// Shift changes the load at a certain time of the run. The factors of several
// shifts are multiplied.
type Shift struct {
	// At is the start of the shift, counted from the start of the run, and For
	// its duration. If For is zero, the shift lasts until the end of the run.
	At  manifest.Duration `yaml:"at" validate:"gte=0"`
	For manifest.Duration `yaml:"for,omitempty" validate:"gte=0"`
	// Ramp is the time, within the shift, over which the factors rise to their
	// full values.
	Ramp manifest.Duration `yaml:"ramp,omitempty" validate:"gte=0"`
	// Stream is the stream that changes. If it is empty, all streams change.
	Stream string `yaml:"stream,omitempty"`
	// Rate, Prompt and Output are the factors of a stream's rate and lengths. Zero
	// means no change.
	Rate   float64 `yaml:"rate,omitempty" validate:"gte=0"`
	Prompt float64 `yaml:"prompt,omitempty" validate:"gte=0"`
	Output float64 `yaml:"output,omitempty" validate:"gte=0"`
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
	var violations []strictyaml.Violation
	add := func(path, format string, args ...any) {
		violations = append(violations, strictyaml.Violation{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	accounts := make(map[string]bool)
	for _, a := range w.Accounts {
		accounts[a.Name] = true
	}
	streams := make(map[string]bool)
	for i, s := range w.Streams {
		if streams[s.Name] {
			add(fmt.Sprintf("$.streams[%d].name", i), "duplicate stream %q", s.Name)
		}
		streams[s.Name] = true
		if s.Account != "" && !accounts[s.Account] {
			add(fmt.Sprintf("$.streams[%d].account", i), "account %q does not exist", s.Account)
		}
		if s.Call == nil && (s.Prompt.Median == 0 || s.Output.Median == 0) {
			add(fmt.Sprintf("$.streams[%d]", i), "must have a call, or the lengths of prompt and output")
		}
	}
	for i, s := range w.Shifts {
		if s.Stream != "" && !streams[s.Stream] {
			add(fmt.Sprintf("$.shifts[%d].stream", i), "stream %q does not exist", s.Stream)
		}
	}
	return violations
}

// key returns the API key of an account, or "" if it has none.
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
