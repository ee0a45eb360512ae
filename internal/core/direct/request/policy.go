package request

import "cmp"

// Policy holds parameters of placement that experiments vary. A zero value
// selects the default.
type Policy struct {
	// MaxDelayRatio limits the expected time to the first token, counted from
	// the arrival, as a multiple of the route's objective. A prompt that would
	// exceed it has to wait. What is left of the objective makes up for errors of the
	// estimate.
	MaxDelayRatio float64 `yaml:"too_late" validate:"min=0"`
	// WaitingStartRatio limits the expected wait at an engine, as a multiple of the
	// route's objective, at which a waiting prompt starts there. The rest of the
	// objective is left to prompts that can still meet theirs.
	WaitingStartRatio float64 `yaml:"waiting_start" validate:"min=0"`
	// DecodeInterference is the cost of a prefill at a decode engine for each
	// stream that is open there, as a multiple of the duration of the prefill.
	// The engine prefills between the tokens of its streams, which all wait for
	// it. The default is less than 1 because many streams can tolerate the
	// delay.
	DecodeInterference float64 `yaml:"stream_harm" validate:"min=0"`
	// CopyCost is the cost of copying a cached prefix to one more engine, as a multiple of
	// the time in which it is prefilled.
	CopyCost float64 `yaml:"copy_cost" validate:"min=0"`
	// IgnoreSpeeds makes placement take all targets of a service to be equally fast.
	IgnoreSpeeds bool `yaml:"ignore_speeds"`
}

const (
	defaultMaxDelayRatio      = 0.7
	defaultWaitingStartRatio  = 0.1
	defaultDecodeInterference = 0.4
	defaultCopyCost           = 0.4
)

func (p Policy) withDefaults() Policy {
	p.MaxDelayRatio = cmp.Or(p.MaxDelayRatio, defaultMaxDelayRatio)
	p.WaitingStartRatio = cmp.Or(p.WaitingStartRatio, defaultWaitingStartRatio)
	p.DecodeInterference = cmp.Or(p.DecodeInterference, defaultDecodeInterference)
	p.CopyCost = cmp.Or(p.CopyCost, defaultCopyCost)
	return p
}
