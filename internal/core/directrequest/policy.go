package directrequest

import "cmp"

// Policy holds parameters of placement that experiments vary. A zero value
// selects the default.
type Policy struct {
	// MaxDelayRatio limits the expected time to the first token, counted from
	// the arrival, as a multiple of the route's objective. A request that would
	// exceed it is refused.
	MaxDelayRatio float64 `yaml:"too_late" validate:"min=0"`
	// DecodeInterference is the cost of a prefill at a decode engine for each
	// stream that is open there, as a multiple of the duration of the prefill.
	// The engine prefills between the tokens of its streams, which all wait for
	// it. The default is less than 1 because many streams can tolerate the
	// delay.
	DecodeInterference float64 `yaml:"stream_harm" validate:"min=0"`
}

const (
	defaultMaxDelayRatio      = 2.0
	defaultDecodeInterference = 0.4
)

func (p Policy) withDefaults() Policy {
	p.MaxDelayRatio = cmp.Or(p.MaxDelayRatio, defaultMaxDelayRatio)
	p.DecodeInterference = cmp.Or(p.DecodeInterference, defaultDecodeInterference)
	return p
}
