package directrequest

import "cmp"

// Policy holds the figures of decisions that experiments vary. Zeros stand for
// the defaults.
type Policy struct {
	// MaxDelayRatio is the multiple of a request's objective up to which a late
	// first token is still offered.
	MaxDelayRatio float64 `yaml:"too_late" validate:"min=0"`
	// DecodeInterference is what reading a prompt between the tokens of a stream costs
	// that stream, in times of reading it: many have time to spare.
	DecodeInterference float64 `yaml:"stream_harm" validate:"min=0"`
}

const (
	defaultTooLate    = 2.0
	defaultStreamHarm = 0.4
)

func (p Policy) withDefaults() Policy {
	p.MaxDelayRatio = cmp.Or(p.MaxDelayRatio, defaultTooLate)
	p.DecodeInterference = cmp.Or(p.DecodeInterference, defaultStreamHarm)
	return p
}
