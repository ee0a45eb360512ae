// Package engine is a small stand-in for a model engine, for tests, the demo
// and measurements.
//
// Its answers are deterministic: token i is a function of the prompt and i.
// A resumed answer therefore equals an uninterrupted one, and an answer
// identifies the prompt to which it belongs. Its speed follows a simple cost
// model: prompts are prefilled one after the other at a fixed rate, and a decode
// step takes a base time plus a time for each running sequence.
package engine

import "time"

// Config configures a stand-in engine. Zero fields take defaults.
type Config struct {
	// Name appears in error messages.
	Name string
	// Role is "mixed", "prefill" or "decode".
	Role string
	// Models are the models that are loaded at the start.
	Models []Model
	// ChecksFencing makes the engine refuse orders whose epoch is below the
	// highest epoch received.
	ChecksFencing bool
	// PrefillRate is the prefill speed in tokens per second.
	PrefillRate float64
	// StepBase and StepPerSequence are the fixed duration of a decode step and
	// the additional duration for each running sequence.
	StepBase, StepPerSequence time.Duration
	// MaxBatch is the maximum number of concurrent sequences.
	MaxBatch int
	// KVTokens is the size of the KV memory in tokens. CacheTokens is the part
	// of it that keeps prompt prefixes, by default half.
	KVTokens, CacheTokens int
	// DefaultMaxTokens is the length of an answer if a call sets no max_tokens.
	DefaultMaxTokens int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events. If CacheEventLossInterval is set,
	// every CacheEventLossInterval-th event is lost; zero means none.
	CacheEventLag          time.Duration
	CacheEventLossInterval int
	// RoleChangeTime and LoadTime are the execution times of an order that
	// changes the role and of one that loads a model or an adapter.
	RoleChangeTime, LoadTime time.Duration
	// WeightStore is the base URL of the weight store; empty means none.
	WeightStore string
	// PoisonText crashes the engine if a prompt contains it; empty means none.
	PoisonText string
	// CrashFor is the time for which a poisoned prompt keeps the engine down.
	CrashFor time.Duration
	// Speed divides every duration of the cost model, for demos.
	Speed float64
}

// Model is a version of a model and its loaded adapters, as the engine reports
// them.
type Model struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Defaults of the cost model. They are about those of a mid-size model on one
// node.
const (
	defaultPrefillRate     = 20_000.0
	defaultStepBase        = 12 * time.Millisecond
	defaultStepPerSequence = 500 * time.Microsecond
	defaultMaxBatch        = 64
	defaultKVTokens        = 400_000
	defaultAnswerTokens    = 16
	defaultRoleChangeTime  = 5 * time.Second
	defaultLoadTime        = 20 * time.Second
	defaultCrashFor        = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Role = orDefault(c.Role, "mixed")
	c.PrefillRate = orDefault(c.PrefillRate, defaultPrefillRate)
	c.StepBase = orDefault(c.StepBase, defaultStepBase)
	c.StepPerSequence = orDefault(c.StepPerSequence, defaultStepPerSequence)
	c.MaxBatch = orDefault(c.MaxBatch, defaultMaxBatch)
	c.KVTokens = orDefault(c.KVTokens, defaultKVTokens)
	c.CacheTokens = orDefault(c.CacheTokens, c.KVTokens/2)
	c.DefaultMaxTokens = orDefault(c.DefaultMaxTokens, defaultAnswerTokens)
	c.RoleChangeTime = orDefault(c.RoleChangeTime, defaultRoleChangeTime)
	c.LoadTime = orDefault(c.LoadTime, defaultLoadTime)
	c.CrashFor = orDefault(c.CrashFor, defaultCrashFor)
	c.Speed = orDefault(c.Speed, 1)
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
