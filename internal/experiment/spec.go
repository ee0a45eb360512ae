// Package experiment plays a load against the decisions of entry daemons in
// virtual time: the reducers of the direct path as they are, with engines that
// batch, read prompts in chunks and cache them as a description says. A run
// takes seconds and is the same for the same seed, so that policies can be
// compared one change at a time.
//
// It leaves out the network's faults, the store and processor time.
package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/directrequest"
	"github.com/verbenaspur/verbenaspur/internal/core/roles"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// Spec describes an experiment.
type Spec struct {
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration" validate:"required"`
	// Entries is the number of entry daemons and Domains that of failure
	// domains over which they and the engines are spread.
	Entries int        `yaml:"entries" validate:"min=1"`
	Domains int        `yaml:"domains" validate:"min=1"`
	Engines EngineSpec `yaml:"engines"`
	Kinds   []Kind     `yaml:"kinds" validate:"min=1,dive"`
	Swings  []Swing    `yaml:"swings" validate:"dive"`
	Faults  []Fault    `yaml:"faults" validate:"dive"`
	Policy  Policy     `yaml:"policy"`
}

// EngineSpec holds the figures of the engines' batch model.
type EngineSpec struct {
	Count       int     `yaml:"count" validate:"min=1"`
	Slots       int     `yaml:"slots" validate:"min=1"`
	CacheTokens int     `yaml:"cache_tokens" validate:"min=1"`
	TokenBytes  float64 `yaml:"token_bytes" validate:"gt=0"`
	LinkMbps    float64 `yaml:"link_mbps" validate:"gt=0"`
	// StepMS is the time of a step, and StreamMS what each request adds.
	StepMS   float64 `yaml:"step_ms" validate:"gt=0"`
	StreamMS float64 `yaml:"stream_ms" validate:"min=0"`
	// PrefillPerMS is the number of prompt tokens read in a millisecond, and
	// PairsMS the time for a million pairs of tokens.
	PrefillPerMS float64 `yaml:"prefill_per_ms" validate:"gt=0"`
	PairsMS      float64 `yaml:"pairs_ms" validate:"min=0"`
	FirstMS      float64 `yaml:"first_ms" validate:"min=0"`
	// Chunk is the number of prompt tokens read in a step.
	Chunk int `yaml:"chunk" validate:"min=1"`
	// EventTokens is the number of tokens of an event of a stream.
	EventTokens int `yaml:"event_tokens" validate:"min=1"`
	// DecodeSlowdown is how much longer an engine that decodes reads a
	// prompt, and DecodeChunks into how many more chunks.
	DecodeSlowdown float64 `yaml:"decode_slowdown" validate:"min=1"`
	DecodeChunks   int     `yaml:"decode_chunks" validate:"min=1"`
	// Change is the time of a change of role once running requests are over.
	Change time.Duration `yaml:"change"`
}

// Kind describes requests of one kind.
type Kind struct {
	Name string `yaml:"name" validate:"required"`
	// Rate is the number of requests in a second.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Shared is the number of shared prompt parts, of SharedTokens each on
	// the mean, and OwnTokens the mean size of the rest.
	Shared       int     `yaml:"shared" validate:"min=1"`
	SharedTokens float64 `yaml:"shared_tokens" validate:"gt=0"`
	OwnTokens    float64 `yaml:"own_tokens" validate:"gt=0"`
	// Spread is the standard deviation of the logarithm of sizes.
	Spread    float64       `yaml:"spread" validate:"min=0"`
	Events    float64       `yaml:"events" validate:"gt=0"`
	Objective time.Duration `yaml:"objective" validate:"required"`
	Timeout   time.Duration `yaml:"timeout" validate:"required"`
	Priority  int           `yaml:"priority" validate:"min=0"`
	// Worth is what an answer within the objective counts, and LateWorth what
	// a late one does.
	Worth     float64 `yaml:"worth" validate:"gt=0"`
	LateWorth float64 `yaml:"late_worth" validate:"min=0"`
}

// Swing multiplies the rate of a kind for a while.
type Swing struct {
	Kind   string        `yaml:"kind" validate:"required"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for" validate:"required"`
	Factor float64       `yaml:"factor" validate:"gt=0"`
}

// Fault harms some engines for a while.
type Fault struct {
	// What is crash, slow or lose: engines end and start again, take Factor
	// times as long, or give no answer to a third of their requests.
	What   string        `yaml:"what" validate:"oneof=crash slow lose"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for" validate:"required"`
	Count  int           `yaml:"count" validate:"min=1"`
	Factor float64       `yaml:"factor"`
}

// Policy holds the figures of decisions that experiments vary. Zeros stand for
// those of the product.
type Policy struct {
	Requests directrequest.Policy `yaml:"requests"`
	Roles    roles.Policy         `yaml:"roles"`
}

// Parse reads and checks a description.
func Parse(b []byte) (*Spec, error) {
	s := &Spec{}
	if err := strictyaml.Decode(b, s, checkSwings); err != nil {
		return nil, err
	}
	return s, nil
}

// checkSwings finds swings of kinds that are not described.
func checkSwings(s *Spec) []strictyaml.Violation {
	var faults []strictyaml.Violation
	for i, sw := range s.Swings {
		if !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == sw.Kind }) {
			faults = append(faults, strictyaml.Violation{Path: fmt.Sprintf("$.swings[%d].kind", i), Message: "no kind has this name"})
		}
	}
	return faults
}
