package core

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/peerdiscovery"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/request"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/roles"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/usage"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// DirectConfig configures a [Direct].
type DirectConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// PeerAddr is the address at which the other entry daemons reach this one.
	PeerAddr     string
	Limits       msg.DirectLimits
	PlatformPoll platformpoll.Config
	// UsageWindow is the length of a usage window. If it is zero, no usage is
	// reported.
	UsageWindow time.Duration
	// UsageCollectTimeout is how long after the end of a window the holder of
	// the usage lease waits for the counts of daemons that can't be reached.
	UsageCollectTimeout time.Duration
	// UsageReportDeadline is the time after the end of a window by which its report is
	// due.
	UsageReportDeadline time.Duration
	// LeaseTurn is the shortest time after which a daemon that has acted under
	// a lease may act under it again, if another daemon has acted under it in
	// between.
	LeaseTurn time.Duration
	// Observer is a component that receives each event before the others. It
	// may be nil.
	Observer reducer.Component
}

// Times of the leases on the direct path, as explained at [lease.Config]. The
// report of a usage window is due within seconds of the window's end, so a
// holder that fails must be replaced sooner than in deployments with side
// daemons.
const (
	directLeaseLength = 3 * time.Second
	directLeaseMargin = 600 * time.Millisecond
	directLeaseRenew  = time.Second
	directObserve     = 1200 * time.Millisecond
	// directCallDeadline is the longest time for which a call under a lease may
	// be in flight. leaseTurnSlack is how much longer than LeaseTurn two changes
	// of the holder take at least.
	directCallDeadline = 1600 * time.Millisecond
	leaseTurnSlack     = 200 * time.Millisecond
)

// Direct is the reducer of an entry daemon on the direct path: the daemon
// manages its targets itself, without side daemons.
type Direct struct{ *reducer.Reducer }

// pollConfig returns the configuration of the component that reads the platform.
func pollConfig(cfg DirectConfig) platformpoll.Config {
	poll := cfg.PlatformPoll
	poll.Self = cfg.Self
	return poll
}

// NewDirect returns the reducer of an entry daemon on the direct path.
func NewDirect(cfg DirectConfig) *Direct {
	requests := request.New(cfg.Limits)
	leases := lease.New(lease.Config{
		Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
		Duration: directLeaseLength, Margin: directLeaseMargin, RenewInterval: directLeaseRenew,
		ObserveInterval: directObserve,
		// No other daemon acquires a lease until this time after its release. A
		// daemon that gets a lease back after another holder therefore gets it
		// at least twice this time after its own release, so that half of
		// LeaseTurn is enough.
		CallDeadline: max(directCallDeadline, (cfg.LeaseTurn+leaseTurnSlack)/2),
	})
	members := peerdiscovery.New(cfg.Self, cfg.Incarnation, cfg.PeerAddr)
	flushers := []idler{leases, members}
	components := []reducer.Component{&store.Reach{}, leases, members, platformpoll.New(pollConfig(cfg)), requests}
	if cfg.UsageWindow > 0 {
		meter := usage.New(usage.Config{
			Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
			Window: cfg.UsageWindow, CollectTimeout: cfg.UsageCollectTimeout, ReportDeadline: cfg.UsageReportDeadline,
		})
		components = append(components, meter)
		flushers = append(flushers, meter)
	}
	components = append(components, roles.New(roles.Config{Self: cfg.Self.Host}))
	components = append(components, &stopper{requests: requests, flushers: flushers})
	return &Direct{newReducer(cfg.Observer, components...)}
}
