package core

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/directrequest"
	"github.com/verbenaspur/verbenaspur/internal/core/directusage"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/peerdiscovery"
	"github.com/verbenaspur/verbenaspur/internal/core/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/core/roles"
)

// DirectConfig configures the reducer of an entry daemon that manages its
// targets itself, without side daemons.
type DirectConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// PeerAddr is the address at which the other entry daemons reach this one.
	PeerAddr string
	Limits   msg.DirectLimits
	Catalog  platformpoll.Config
	// UsageWindow is the length of a usage window. If it is zero, no usage is
	// reported.
	UsageWindow time.Duration
	// UsageCollect is how long after the end of a window its counts are
	// collected.
	UsageCollect time.Duration
	// LeaseTurn is the least time between two actions of one holder of a lease
	// with an action of another holder in between.
	LeaseTurn time.Duration
	// Observer is a component that receives each event before the others. It
	// may be nil.
	Observer reducer.Component
}

// Times of the leases on the direct path. A window's report is due within
// seconds, so a lost holder must be replaced sooner than in deployments with side
// daemons.
const (
	directLeaseLength = 3 * time.Second
	directLeaseMargin = 600 * time.Millisecond
	directLeaseRenew  = time.Second
	directObserve     = 1200 * time.Millisecond
	// directCallDeadline is the longest time for which a call under a lease may
	// be in flight. leaseTurnSlack is the time by which two changes of the
	// holder take longer than LeaseTurn.
	directCallDeadline = 1600 * time.Millisecond
	leaseTurnSlack     = 200 * time.Millisecond
)

// Direct is the reducer of an entry daemon that manages its targets itself,
// without side daemons.
type Direct struct{ *reducer.Reducer }

// NewDirect returns the reducer of such an entry daemon.
func NewDirect(cfg DirectConfig) *Direct {
	requests := directrequest.New(cfg.Limits)
	leases := lease.New(lease.Config{
		Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
		Length: directLeaseLength, Margin: directLeaseMargin, Renew: directLeaseRenew,
		Observe: directObserve,
		// No other daemon acquires a released lease for this long. A holder
		// that gets the lease back from another one does so after at least
		// two such periods.
		CallDeadline: max(directCallDeadline, (cfg.LeaseTurn+leaseTurnSlack)/2),
	})
	members := peerdiscovery.New(cfg.Self, cfg.Incarnation, cfg.PeerAddr)
	flushers := []idler{leases, members}
	components := []reducer.Component{leases, members, platformpoll.New(cfg.Catalog), requests}
	if cfg.UsageWindow > 0 {
		usage := directusage.New(directusage.Config{
			Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
			Window: cfg.UsageWindow, Collect: cfg.UsageCollect,
		})
		components = append(components, usage)
		flushers = append(flushers, usage)
	}
	components = append(components, roles.New(roles.Config{Self: cfg.Self.Host}))
	components = append(components, &stopper{requests: requests, flushers: flushers})
	return &Direct{newReducer(cfg.Observer, components...)}
}
