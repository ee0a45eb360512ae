package direct

import "cmp"

// Policy holds the figures of decisions that experiments vary. Zeros stand for
// the defaults.
type Policy struct {
	// TooLate is the multiple of a request's objective up to which a late
	// first token is still offered.
	TooLate float64 `yaml:"too_late" validate:"min=0"`
	// StreamHarm is what reading a prompt between the tokens of a stream costs
	// that stream, in times of reading it: many have time to spare.
	StreamHarm float64 `yaml:"stream_harm" validate:"min=0"`
}

const (
	defaultTooLate    = 2.0
	defaultStreamHarm = 0.4
)

func (p Policy) withDefaults() Policy {
	p.TooLate = cmp.Or(p.TooLate, defaultTooLate)
	p.StreamHarm = cmp.Or(p.StreamHarm, defaultStreamHarm)
	return p
}
