// Package experiment simulates a load on entry daemons in virtual time. The
// reducers of the direct path run unchanged. The engines are simulated: they batch
// requests, prefill prompts in chunks and cache them as a description specifies. A
// run takes seconds and gives the same result for the same seed, so that policies
// can be compared one change at a time.
//
// It does not simulate network faults, the store and processor time.
package experiment

import (
	"fmt"
	"slices"
	"time"

	directrequest "github.com/verbenaspur/verbenaspur/internal/core/direct/request"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/roles"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// Spec describes an experiment.
type Spec struct {
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration" validate:"required"`
	// Entries is the number of entry daemons. Domains is the number of failure
	// domains over which the entry daemons and the engines are spread.
	Entries int        `yaml:"entries" validate:"min=1"`
	Domains int        `yaml:"domains" validate:"min=1"`
	Engines EngineSpec `yaml:"engines"`
	Kinds   []Kind     `yaml:"kinds" validate:"min=1,dive"`
	Swings  []Swing    `yaml:"swings" validate:"dive"`
	Faults  []Fault    `yaml:"faults" validate:"dive"`
	Policy  Policy     `yaml:"policy"`
}

// EngineSpec holds the parameters of the simulated engines.
type EngineSpec struct {
	Count       int     `yaml:"count" validate:"min=1"`
	Slots       int     `yaml:"slots" validate:"min=1"`
	CacheTokens int     `yaml:"cache_tokens" validate:"min=1"`
	TokenBytes  float64 `yaml:"token_bytes" validate:"gt=0"`
	LinkMbps    float64 `yaml:"link_mbps" validate:"gt=0"`
	// StepMS is the duration of a step. StreamMS is the additional duration for
	// each running request.
	StepMS   float64 `yaml:"step_ms" validate:"gt=0"`
	StreamMS float64 `yaml:"stream_ms" validate:"min=0"`
	// PrefillPerMS is the number of prompt tokens prefilled in a millisecond.
	// PairsMS is the additional time for a million pairs of tokens, which makes the
	// cost of attention quadratic. FirstMS is the delay of the first token and of
	// the end of an answer.
	PrefillPerMS float64 `yaml:"prefill_per_ms" validate:"gt=0"`
	PairsMS      float64 `yaml:"pairs_ms" validate:"min=0"`
	FirstMS      float64 `yaml:"first_ms" validate:"min=0"`
	// Chunk is the maximum number of prompt tokens prefilled in a step.
	Chunk int `yaml:"chunk" validate:"min=1"`
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int `yaml:"event_tokens" validate:"min=1"`
	// DecodeSlowdown is the factor by which prefill takes longer at a decode
	// engine. DecodeChunks is the divisor of Chunk at a decode engine.
	DecodeSlowdown float64 `yaml:"decode_slowdown" validate:"min=1"`
	DecodeChunks   int     `yaml:"decode_chunks" validate:"min=1"`
	// Speeds holds the factors by which the steps of the engines take longer, for one
	// engine after the other and then from the beginning. Without it all are alike.
	Speeds []float64 `yaml:"speeds" validate:"dive,gt=0"`
	Noise  Noise     `yaml:"noise"`
	// HidePace makes the engines report no pace.
	HidePace bool `yaml:"hide_pace"`
	// Change is the duration of a role change after the running requests have
	// ended.
	Change time.Duration `yaml:"change"`
}

// Noise is other work on the hosts of the engines. Each host draws at random times, Every
// on average, whether it has such work, with the probability Share. Steps then take
// Factor times as long, and the engine reports it.
type Noise struct {
	Share  float64       `yaml:"share" validate:"min=0,max=1"`
	Factor float64       `yaml:"factor" validate:"min=0"`
	Every  time.Duration `yaml:"every" validate:"min=0"`
}

// Kind describes a kind of requests.
type Kind struct {
	Name string `yaml:"name" validate:"required"`
	// Rate is the mean number of requests per second.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Common is the number of segments with which the prompts of the kind begin, each
	// followed by some of the shared ones, and CommonTokens their mean size. Without
	// it prompts begin with a shared segment.
	Common       int     `yaml:"common" validate:"min=0"`
	CommonTokens float64 `yaml:"common_tokens" validate:"min=0"`
	// Shared is the number of shared prompt segments and SharedTokens their mean
	// size. OwnTokens is the mean size of the rest of a prompt.
	Shared       int     `yaml:"shared" validate:"min=1"`
	SharedTokens float64 `yaml:"shared_tokens" validate:"gt=0"`
	OwnTokens    float64 `yaml:"own_tokens" validate:"gt=0"`
	// Spread is the standard deviation of the logarithm of sizes. Events is the
	// mean number of events of an answer.
	Spread    float64       `yaml:"spread" validate:"min=0"`
	Events    float64       `yaml:"events" validate:"gt=0"`
	Objective time.Duration `yaml:"objective" validate:"required"`
	Timeout   time.Duration `yaml:"timeout" validate:"required"`
	Priority  int           `yaml:"priority" validate:"min=0"`
	// Worth is the worth of an answer whose first token arrives within the
	// objective, and LateWorth the worth of a later answer.
	Worth     float64 `yaml:"worth" validate:"gt=0"`
	LateWorth float64 `yaml:"late_worth" validate:"min=0"`
}

// Swing multiplies the arrival rate of a kind by Factor for a period.
type Swing struct {
	Kind   string        `yaml:"kind" validate:"required"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for" validate:"required"`
	Factor float64       `yaml:"factor" validate:"gt=0"`
}

// Fault injects a fault into Count random engines for a period.
type Fault struct {
	// Type is one of the Fault constants.
	Type   string        `yaml:"what" validate:"oneof=crash slow lose limit reject leave crash-segment"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for" validate:"required"`
	Count  int           `yaml:"count" validate:"min=1"`
	Factor float64       `yaml:"factor"`
}

// Types of faults.
const (
	// FaultCrash makes the engines crash and start again at the end of the period.
	FaultCrash = "crash"
	// FaultSlow makes a step take Factor times as long.
	FaultSlow = "slow"
	// FaultLose makes the engines lose the answers to a third of their requests.
	FaultLose = "lose"
	// FaultLimit makes the engines name a limit of Factor requests per second.
	FaultLimit = "limit"
	// FaultReject makes the engines refuse all requests, with a Retry-After of Factor
	// seconds.
	FaultReject = "reject"
	// FaultLeave makes the engines state that they are leaving. At the end of the period
	// they leave, and another process takes their place.
	FaultLeave = "leave"
	// FaultCrashSegment gives a fraction Factor of the prompts of the first kind a
	// segment that crashes each engine that begins to answer them, for a second. Count
	// has no effect.
	FaultCrashSegment = "crash-segment"
)

// Policy holds the policy parameters that experiments vary. Zero values stand
// for the product's defaults.
type Policy struct {
	Requests directrequest.Policy `yaml:"requests"`
	Roles    roles.Policy         `yaml:"roles"`
}

// Parse decodes and validates a description.
func Parse(b []byte) (*Spec, error) {
	s := &Spec{}
	if err := strictyaml.Decode(b, s, checkSwings); err != nil {
		return nil, err
	}
	return s, nil
}

// checkSwings reports the swings of kinds that are not described.
func checkSwings(s *Spec) []strictyaml.Violation {
	var faults []strictyaml.Violation
	for i, sw := range s.Swings {
		if !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == sw.Kind }) {
			faults = append(faults, strictyaml.Violation{Path: fmt.Sprintf("$.swings[%d].kind", i), Message: "no kind has this name"})
		}
	}
	return faults
}
