// Package lease provides the component of an entry daemon's reducer that
// acquires and holds leases. A lease is the exclusive right to act on
// something, and is stored as one object of the platform. The holder's right
// to act at present is called its authority.
//
// Two rules keep holders apart without comparing clocks. A holder measures the
// lease's length from before it sent its last write, and stops a margin before
// the end. A daemon that wants to take over waits from when it first saw the
// object's version. It waits for the whole length plus the longest time for
// which a call may be in flight. Its own write requires that the object still
// has that version. The holder's write took effect before the other daemon saw
// it. The holder has therefore stopped, and its last calls have ended, before
// the other daemon's write can succeed.
//
// The candidates for a lease are a few entry daemons in different failure
// domains, chosen by rendezvous hashing. The other daemons only list all leases
// at long intervals. The number of calls to the platform therefore grows with
// the number of leases and hardly with the number of daemons.
package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const componentName = "lease"

// Defaults of [Config].
const (
	DefaultLength       = 6 * time.Second
	DefaultMargin       = time.Second
	DefaultRenew        = 2 * time.Second
	DefaultObserve      = 2 * time.Second
	DefaultSurvey       = time.Minute
	DefaultCallDeadline = 2 * time.Second
)

const (
	// candidates is the number of daemons that are ready to take over a lease.
	candidates = 3
	// toldDaemons is the number of daemons that are told of a holder's writes: the
	// candidates, and those that take their place if several stop at once.
	toldDaemons = 9
	// rankDelay is how much longer each candidate waits than the candidate of the
	// rank before it, so that they do not compete. Ranks count from 0.
	rankDelay = 500 * time.Millisecond
	// toldIntervals is the number of observe intervals for which a candidate does not read a
	// lease after the holder has told of a write.
	toldIntervals = 2
	// minBackoff is the backoff after the first failed call. It doubles with
	// each further failure.
	minBackoff = 200 * time.Millisecond
)

// Tags of store calls. tagList marks the list of all leases, and the tags from
// tagLease on mark the calls for one lease each.
const (
	tagList uint64 = iota
	tagLease
)

// Config configures the component. Zero durations select the defaults.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
	// Duration is the time after a write during which no other daemon may take
	// over.
	Duration time.Duration
	// Margin is how long before the end of Duration the holder stops acting.
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// ObserveInterval is the mean time between two reads of a lease by a
	// candidate, and ListInterval the mean time between two lists of all leases by
	// every entry daemon.
	ObserveInterval time.Duration
	ListInterval    time.Duration
	// CallDeadline is the longest time for which a call that was sent under a
	// lease may be in flight.
	CallDeadline time.Duration
}

func (c Config) withDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultLength)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenew)
	c.ObserveInterval = cmp.Or(c.ObserveInterval, DefaultObserve)
	c.ListInterval = cmp.Or(c.ListInterval, DefaultSurvey)
	c.CallDeadline = cmp.Or(c.CallDeadline, DefaultCallDeadline)
	return c
}

// Component acquires, renews and releases leases.
type Component struct {
	cfg   Config
	store *store.Client
	rand  *rand.Rand

	entries  []msg.Host
	leases   map[msg.LeaseName]*lease
	byTag    map[uint64]*lease
	nextTag  uint64
	lastStep msg.Time
	stopping bool

	listing bool
	listAt  msg.Time

	// era is the era of the store.
	era msg.StoreEra
	// unused is set if no lease has been held yet. mayBeUnused is cleared if the store
	// loses writes while this process is running, since it then can't show that.
	unused, mayBeUnused bool
}

// New returns a component without leases.
func New(cfg Config) *Component {
	return &Component{
		cfg:     cfg.withDefaults(),
		store:   store.New(store.ComponentLease, string(cfg.Self)+"/"+string(cfg.Incarnation)),
		rand:    rand.New(rand.NewPCG(0, 0)),
		leases:  make(map[msg.LeaseName]*lease),
		byTag:   make(map[uint64]*lease),
		nextTag: tagLease,
	}
}

// Idle reports whether no lease is held and no release is in progress.
func (c *Component) Idle() bool {
	for _, l := range c.leases {
		if l.held || l.releasePending || l.releasing {
			return false
		}
	}
	return true
}

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	effs := c.endAuthorityAfterPause(now)
	results, more := c.store.Step(now, ev)
	effs = append(effs, more...)
	for _, r := range results {
		effs = append(effs, c.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Started:
		c.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentLease)))
		c.listAt = now + c.jitter(c.cfg.ListInterval)
	case msg.Tick:
		effs = append(effs, c.onTick(now)...)
	case msg.MembersChanged:
		c.entries = ev.Entries
		c.updateRanks()
	case msg.LeaseRequested:
		effs = append(effs, c.onLeaseRequested(now, ev)...)
	case msg.StopRequested:
		effs = append(effs, c.onStop(now)...)
	case msg.PeerReceived:
		effs = append(effs, c.onPeer(now, ev)...)
	case msg.StoreReachable:
		c.onStoreReachable(now)
	case msg.StoreEraChanged:
		effs = append(effs, c.onEraChanged(now, ev)...)
	}
	return effs
}

// endAuthorityAfterPause ends the authority under all leases if the process
// was paused for longer than the margin. A lease may have expired during such
// a pause.
func (c *Component) endAuthorityAfterPause(now msg.Time) []msg.Effect {
	gap := now - c.lastStep
	c.lastStep = now
	if gap <= c.cfg.Margin {
		return nil
	}
	var effs []msg.Effect
	for _, l := range c.sortedLeases() {
		if l.held {
			effs = append(effs, l.loseAuthority("the process was paused")...)
		}
	}
	return effs
}

func (c *Component) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, l := range c.sortedLeases() {
		effs = append(effs, c.advance(now, l)...)
	}
	if c.listAt != 0 && now >= c.listAt && !c.listing && !c.stopping {
		c.listing = true
		effs = append(effs, c.store.List(tagList, msg.KindLease, ""))
	}
	return effs
}

func (c *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	if r.Tag == tagList {
		return c.onList(now, r)
	}
	l := c.byTag[r.Tag]
	if r.Op == store.OpGet {
		return c.onReadDone(now, l, r)
	}
	return c.onWriteDone(now, l, r)
}

// onList processes a list of all leases. It lets daemons that are no
// candidates find a lease that nobody renews.
func (c *Component) onList(now msg.Time, r store.Result) []msg.Effect {
	c.listing = false
	c.listAt = now + c.cfg.ListInterval/2 + c.jitter(c.cfg.ListInterval)
	if r.Status != msg.CallOK {
		return nil
	}
	c.unused = c.mayBeUnused && len(r.Objects) == 0
	objects := make(map[string]msg.Object, len(r.Objects))
	for _, o := range r.Objects {
		objects[o.Name] = o
	}
	var effs []msg.Effect
	for _, l := range c.sortedLeases() {
		if !l.callOpen && !l.held {
			effs = append(effs, l.observe(now, objects[c.objectName(l)])...)
		}
	}
	return effs
}

func (c *Component) onLeaseRequested(now msg.Time, ev msg.LeaseRequested) []msg.Effect {
	l, ok := c.leases[ev.Name]
	if !ok {
		if !ev.Want {
			return nil
		}
		l = &lease{name: ev.Name, tag: c.nextTag}
		c.nextTag++
		c.leases[ev.Name] = l
		c.byTag[l.tag] = l
		c.updateRank(l)
	}
	l.requested = ev.Want
	if !ev.Want && l.held {
		return c.endAndRelease(now, l)
	}
	return nil
}

func (c *Component) onStop(now msg.Time) []msg.Effect {
	c.stopping = true
	var effs []msg.Effect
	for _, l := range c.sortedLeases() {
		l.requested = false
		if l.held {
			effs = append(effs, c.endAndRelease(now, l)...)
		}
	}
	return effs
}

// onPeer processes what a holder tells of a lease. A lease that was released is read at
// once.
func (c *Component) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.LeaseReleased:
		if l, known := c.leases[m.Name]; known && m.Epoch >= l.record.Epoch {
			l.observeAt = now
		}
	case msg.LeaseWritten:
		return c.onHolderWrote(now, m)
	}
	return nil
}

// onHolderWrote observes a write of the holder from its message. The message was sent
// after the write took effect, so that it shows the version as a read would.
func (c *Component) onHolderWrote(now msg.Time, m msg.LeaseWritten) []msg.Effect {
	l, known := c.leases[m.Name]
	if !known || l.held || l.callOpen || m.Era != c.era || m.Version <= l.version {
		return nil
	}
	l.observeAt = now + toldIntervals*c.cfg.ObserveInterval
	return l.observeRecord(now, m.Record, m.Version)
}

// onStoreReachable ends the delays after failed calls.
func (c *Component) onStoreReachable(now msg.Time) {
	for _, l := range c.sortedLeases() {
		if l.backoff > 0 {
			l.renewAt = min(l.renewAt, now)
			l.observeAt = min(l.observeAt, now)
		}
	}
}

func (c *Component) updateRanks() {
	for _, l := range c.leases {
		c.updateRank(l)
	}
}

// updateRank determines this daemon's position among a lease's candidates.
func (c *Component) updateRank(l *lease) {
	l.candidates = l.candidates[:0]
	l.rank = candidates
	for i, h := range rendezvous.Spread(string(l.name), c.entries, candidates) {
		l.candidates = append(l.candidates, h.Host)
		if h.Host == c.cfg.Self {
			l.rank = i
		}
	}
	l.told = rendezvous.Spread(string(l.name), c.entries, toldDaemons)
}

func (c *Component) sortedLeases() []*lease {
	out := make([]*lease, 0, len(c.leases))
	for _, l := range c.leases {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *lease) int { return int(a.tag) - int(b.tag) })
	return out
}

func (c *Component) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d)))
}
