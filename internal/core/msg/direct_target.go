package msg

import "time"

// TargetNotice is what a target states about itself in the head of a response.
type TargetNotice struct {
	// Leaving means that the target's process will end soon.
	Leaving bool
	// RetryAfter is how long the target wants no more requests from the receiver.
	RetryAfter time.Duration
	// RequestLimit is the number of requests per second that the target takes from
	// all daemons together. Zero means that it names no limit.
	RequestLimit float64
}

// NoticeKind is the kind of a notice of a target.
type NoticeKind uint8

// Kinds of notices.
const (
	NoticeLeaving NoticeKind = iota
	NoticeRetryAfter
	NoticeRequestLimit
)

// String returns the kind's name in metrics.
func (k NoticeKind) String() string { return [...]string{"leaving", "retry-after", "limit"}[k] }

// TargetNoticed is raised when a target states something about itself that it did not
// state before.
type TargetNoticed struct {
	Target TargetID
	Kind   NoticeKind
}

// TargetReplaced is raised when another process of a target was found than the list of
// targets shows.
type TargetReplaced struct{ Target TargetID }

// ProbeTarget asks a target whether its process is running. HealthPath is the path of
// the health check of a plain service; it is empty for engines. The result is
// [TargetProbed].
type ProbeTarget struct {
	Call       CallID
	Target     TargetID
	Addr       string
	HealthPath string
	// Once is set if a failed probe is not to be repeated on a new connection.
	Once bool
}

// ProbeResult is the result of a probe of a target.
type ProbeResult uint8

// Results of probes.
const (
	// ProbeUnknown means that the probe did not show whether the process is running.
	ProbeUnknown ProbeResult = iota
	// ProbeUp means that the target responded.
	ProbeUp
	// ProbeDown means that no process accepts connections at the target's address, or
	// that another target responded.
	ProbeDown
)

// String returns the result's name in logs.
func (r ProbeResult) String() string { return [...]string{"unknown", "up", "down"}[r] }

// TargetProbed is the result of ProbeTarget.
type TargetProbed struct {
	Call   CallID
	Target TargetID
	Result ProbeResult
	// Load is the load that the target reported, if any.
	Load *TargetLoad
}

func (TargetNoticed) event()  {}
func (TargetReplaced) event() {}
func (TargetProbed) event()   {}

func (ProbeTarget) effect() {}

// TargetReachable is raised when a target ceases to accept connections of this daemon,
// and when it does so again.
type TargetReachable struct {
	Target    TargetID
	Reachable bool
}

// SpeedsUpdated is raised from time to time with the factors by which the fastest and the
// slowest target of a service take longer than its mean, and the mean age of the paces
// that targets reported lately. PaceAge is 0 if there are none.
type SpeedsUpdated struct {
	Service          ServiceID
	Fastest, Slowest float64
	PaceAge          time.Duration
}

// TargetsLimited is raised when other targets than before name limits of requests per
// second. Targets lists all that do, in order.
type TargetsLimited struct{ Targets []TargetID }

func (TargetReachable) event() {}
func (TargetsLimited) event()  {}
func (SpeedsUpdated) event()   {}
