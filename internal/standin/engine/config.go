// Package engine is a small stand-in for a model engine, for tests, the demo
// and measurement.
//
// Its answers are deterministic: token i is a function of the prompt and i,
// so that a resumed answer equals an uncut one and an answer tells whose
// prompt it belongs to. Its speed follows a simple cost model: prompts are
// prefilled one after the other at a fixed rate, and a decode step takes a
// base time plus a time per running sequence.
package engine

import "time"

// Config sets up a stand-in engine. Zero fields take defaults.
type Config struct {
	// Name appears in errors.
	Name string
	// Role is "mixed", "prefill" or "decode".
	Role string
	// Models are the models that are loaded at the start.
	Models []Model
	// ChecksFencing refuses orders with an epoch below the highest seen.
	ChecksFencing bool
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// StepBase and StepPerSequence make up the time of a decode step.
	StepBase, StepPerSequence time.Duration
	// MaxBatch is the largest number of sequences at once.
	MaxBatch int
	// KVTokens is the size of the KV memory; CacheTokens is the part of it
	// that keeps prompt prefixes.
	KVTokens, CacheTokens int
	// DefaultTokens is the answer's length where a call sets no max_tokens.
	DefaultTokens int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag delays cache events; every CacheEventGap-th is lost.
	CacheEventLag time.Duration
	CacheEventGap int
	// RoleChangeTime and LoadTime are the times that orders take.
	RoleChangeTime, LoadTime time.Duration
	// WeightStore is the base address of the weight store; empty for none.
	WeightStore string
	// PoisonText crashes the engine when a prompt contains it; empty for none.
	PoisonText string
	// CrashFor is how long the engine stays down after a poisoned prompt.
	CrashFor time.Duration
	// Speed divides every time of the cost model, for demos.
	Speed float64
}

// Model is a model version and its adapters as the engine reports them.
type Model struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Defaults of the cost model, about those of a mid-size model on one node.
const (
	defaultPrefillRate     = 20_000.0
	defaultStepBase        = 12 * time.Millisecond
	defaultStepPerSequence = 500 * time.Microsecond
	defaultMaxBatch        = 64
	defaultKVTokens        = 400_000
	defaultDefaultTokens   = 16
	defaultRoleChange      = 5 * time.Second
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
	c.DefaultTokens = orDefault(c.DefaultTokens, defaultDefaultTokens)
	c.RoleChangeTime = orDefault(c.RoleChangeTime, defaultRoleChange)
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
