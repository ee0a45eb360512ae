package msg

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Event is an input of a reducer. The implementations are in this package.
type Event interface{ event() }

// Effect is an action that a reducer asks its driver to perform. The
// implementations are in this package.
type Effect interface{ effect() }

// Raise delivers an internal event to every component of the same reducer. The
// reducer consumes it; it never reaches a driver.
type Raise struct{ Event Event }

// Started is the first event of a process.
type Started struct {
	Self        Self
	Incarnation Incarnation
	// Seed seeds every random choice of the reducer.
	Seed uint64
	// Wall is the time of the wall clock. It is used only for usage windows,
	// retention and the times of configuration changes.
	Wall time.Time
}

// Self identifies the process as configured in its settings.
type Self struct {
	Host   HostID
	Domain FailureDomain
	Region Region
	Kind   HostKind
	// Target is set for side daemons only.
	Target *TargetIdentity `cbor:",omitempty"`
}

// TargetIdentity describes the target beside a side daemon.
type TargetIdentity struct {
	Target TargetID
	Pool   PoolID
	Kind   TargetKind
	// ChecksFencing reports whether the target itself refuses old epochs.
	ChecksFencing bool
}

// Tick drives timers. The driver delivers one every [TickInterval].
type Tick struct{ Wall time.Time }

// TickInterval is the interval between two ticks.
const TickInterval = 20 * time.Millisecond

// StopRequested begins a graceful shutdown. Its times count from this event. Without
// them, requests are accepted as before and end by their own deadlines.
type StopRequested struct {
	// AcceptFor is how long requests are accepted whatever their deadlines. Later ones
	// are accepted only if they must end within DrainFor. It has no meaning without
	// DrainFor.
	AcceptFor time.Duration `cbor:",omitempty"`
	// DrainFor is the time within which all requests must end. Zero sets no end.
	DrainFor time.Duration `cbor:",omitempty"`
}

// StopCompleted reports to the driver that all work of a graceful shutdown is
// done.
type StopCompleted struct{}

// ConfigChanged is raised when a newer configuration takes effect in this
// daemon.
type ConfigChanged struct {
	Generation Generation
	Index      *manifest.Index `cbor:"-"`
}

// ConfigConfirmed is raised when the configuration in force has been confirmed
// to be the newest. The confirmation holds until the instant Until. Up to then,
// if a newer configuration has been accepted, that was no longer ago than the
// staleness limit.
type ConfigConfirmed struct {
	Generation Generation
	Until      Time
}

// LogLine writes one line to the log.
type LogLine struct {
	// Component is the prefix of the line, which names the component that writes
	// it, for example "route".
	Component string `cbor:"Part"`
	Level     LogLevel
	// Text is the message: a short sentence without a full stop.
	Text  string
	Attrs []Attr
}

// Attr is one named value of a log line.
type Attr struct{ Key, Value string }

// LogLevel is the severity of a log line.
type LogLevel uint8

// Levels of log lines.
const (
	LogInfo LogLevel = iota
	LogDebug
	LogWarn
	LogError
)

func (Started) event()         {}
func (Tick) event()            {}
func (StopRequested) event()   {}
func (ConfigChanged) event()   {}
func (ConfigConfirmed) event() {}

func (Raise) effect()         {}
func (StopCompleted) effect() {}
func (LogLine) effect()       {}
