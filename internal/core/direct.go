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

// DirectConfig configures the reducer of an entry daemon that drives its
// targets itself.
type DirectConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// PeerAddr is where the other entry daemons reach this one.
	PeerAddr string
	Limits   msg.DirectLimits
	Catalog  platformpoll.Config
	// UsageWindow is the length of a usage window; zero where no usage is
	// reported.
	UsageWindow time.Duration
	// UsageCollect is how long after its end a window waits for counts.
	UsageCollect time.Duration
	// LeaseTurn is the time within which two holders must not take turns.
	LeaseTurn time.Duration
	// Observer is a part that sees each event before the others; nil for none.
	Observer reducer.Component
}

// Lease times of the direct path. A window's report is due within seconds, so
// a holder that was lost has to be followed sooner than on the other path.
const (
	directLeaseLength = 3 * time.Second
	directLeaseMargin = 600 * time.Millisecond
	directLeaseRenew  = time.Second
	directObserve     = 1200 * time.Millisecond
	// directCallLimit bounds the calls under a lease, and turnSlack is by how
	// much two hand-overs take longer than the time within which holders must
	// not take turns.
	directCallLimit = 1600 * time.Millisecond
	turnSlack       = 200 * time.Millisecond
)

// Direct is the reducer of an entry daemon that drives its targets itself.
type Direct struct{ *reducer.Reducer }

// NewDirect returns the reducer.
func NewDirect(cfg DirectConfig) *Direct {
	requests := directrequest.New(cfg.Limits)
	leases := lease.New(lease.Config{
		Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
		Length: directLeaseLength, Margin: directLeaseMargin, Renew: directLeaseRenew,
		Observe: directObserve,
		// A lease that was given up is closed for this long: a holder that
		// comes back after another one does so after two such times.
		CallDeadline: max(directCallLimit, (cfg.LeaseTurn+turnSlack)/2),
	})
	members := peerdiscovery.New(cfg.Self, cfg.Incarnation, cfg.PeerAddr)
	flushers := []idler{leases, members}
	parts := []reducer.Component{leases, members, platformpoll.New(cfg.Catalog), requests}
	if cfg.UsageWindow > 0 {
		usage := directusage.New(directusage.Config{
			Self: cfg.Self.Host, Incarnation: cfg.Incarnation,
			Window: cfg.UsageWindow, Collect: cfg.UsageCollect,
		})
		parts = append(parts, usage)
		flushers = append(flushers, usage)
	}
	parts = append(parts, roles.New(roles.Config{Self: cfg.Self.Host}))
	parts = append(parts, &stopper{requests: requests, flushers: flushers})
	return &Direct{newObserved(cfg.Observer, parts...)}
}
