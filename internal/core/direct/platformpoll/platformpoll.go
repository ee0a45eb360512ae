// Package platformpoll provides the component of an entry daemon's reducer that
// polls the platform for the operator's configuration and for the list of
// targets.
//
// Both are polled, and never read from a replica that may lag. They are polled by a few
// daemons, which the others ask whether they have changed. They are not watched, because a watch can be silent while changes are made, whereas the
// content of a response is never older than the time at which the read was sent.
package platformpoll

import (
	"cmp"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const componentName = "catalog"

// Defaults of [Config].
const (
	DefaultRoutesEvery    = time.Second
	DefaultInstancesEvery = time.Second
	// DefaultOutage is the time between two successful reads, with failed ones in
	// between, above which a target that is missing from the list may not have
	// left: its entry may have expired at the platform.
	DefaultOutage = 1500 * time.Millisecond
	// DefaultReturn is the time that such a target has to register again.
	DefaultReturn = 2 * time.Second
)

// minBackoff and maxBackoff limit the delay after a failed read, which doubles
// with each failure.
const (
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Config configures the component. Zero durations select the defaults.
type Config struct {
	// Self is this daemon, as the other entry daemons know it.
	Self msg.Self
	// RoutesInterval and InstancesInterval are the least times between the starts
	// of two reads.
	RoutesInterval, InstancesInterval time.Duration
	// OutageThreshold and ReregisterTimeout are explained at [DefaultOutage] and
	// [DefaultReturn].
	OutageThreshold, ReregisterTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.RoutesInterval = cmp.Or(c.RoutesInterval, DefaultRoutesEvery)
	c.InstancesInterval = cmp.Or(c.InstancesInterval, DefaultInstancesEvery)
	c.OutageThreshold = cmp.Or(c.OutageThreshold, DefaultOutage)
	c.ReregisterTimeout = cmp.Or(c.ReregisterTimeout, DefaultReturn)
	return c
}

// poll is the state of one periodic read.
type poll struct {
	call msg.CallID // zero while no call is open
	next msg.Time
	// failing is set if the last read failed. failingSince is when the first of
	// the reads that have failed in a row ended.
	failing      bool
	failingSince msg.Time
	backoff      time.Duration
}

// Component polls the platform.
type Component struct {
	cfg      Config
	lastCall msg.CallID

	routePoll poll
	table     *msg.RouteTable
	// newestVersion is the newest version of the configuration that this daemon or a
	// reader has seen. An older store may show earlier ones.
	newestVersion uint64
	// shownEra is the era in which the store last showed that version or a newer one to
	// this daemon. lostVersion is the newest version that the store was seen to lack.
	shownEra    msg.StoreEra
	lostVersion uint64
	check       peerCheck
	// confirmedAt is the latest instant at which table was known to be the newest.
	confirmedAt msg.Time

	targetPoll poll
	// era and revision are those of the last list.
	era          msg.StoreEra
	revision     msg.Revision
	lastListSent msg.Time
	// reachableAt is the last instant at which the platform is known to have been read, and
	// unreached reports whether a read of this daemon has failed since.
	reachableAt msg.Time
	unreached   bool
	// digest identifies the content of the last list; 0 if there is none.
	digest uint64
	// outdated reports whether a reader knows a later list.
	outdated      bool
	instancesByID map[msg.TargetID]msg.Instance
	targetIDs     []msg.TargetID
	// expired holds the targets that were missing from the list after an outage,
	// each with the time until which it is kept. A target that is first missing
	// before graceUntil is kept until then.
	expired    map[msg.TargetID]msg.Time
	graceUntil msg.Time
	// left holds targets that have left. Those that the list shows again before
	// settledAt are left out.
	left      map[msg.TargetID]leftTarget
	settledAt msg.Time
	// invalidEntries is the number of invalid entries in the last list.
	invalidEntries int
	readers        readers
	transfer       transfer
}

// New returns a component that has read nothing yet.
func New(cfg Config) *Component {
	return &Component{
		readers:       readers{self: cfg.Self, sentAt: make(map[uint64]msg.Time)},
		cfg:           cfg.withDefaults(),
		instancesByID: make(map[msg.TargetID]msg.Instance),
		expired:       make(map[msg.TargetID]msg.Time),
		left:          make(map[msg.TargetID]leftTarget),
	}
}

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		c.transfer.seq = ev.Seed
		return c.startDueReads(now)
	case msg.Tick:
		effs := append(c.readers.ask(now, c.cfg.RoutesInterval), c.advanceCheck(now)...)
		return append(effs, c.startDueReads(now)...)
	case msg.MembersChanged:
		c.readers.onMembersChanged(ev)
		c.transfer.members = ev
	case msg.PeerReceived:
		return c.onPeerMessage(now, ev)
	case msg.RoutesRead:
		return c.onRoutesRead(now, ev)
	case msg.InstancesRead:
		return c.onInstancesRead(now, ev)
	case msg.TargetReplaced:
		c.readTargetsSoon(now)
	}
	return nil
}

func (c *Component) startDueReads(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if c.routePoll.call == 0 && now >= c.routePoll.next {
		c.routePoll.call = c.nextCall()
		effs = append(effs, msg.ReadRoutes{Call: c.routePoll.call})
	}
	if c.targetPoll.call == 0 && now >= c.targetPoll.next {
		c.targetPoll.call = c.nextCall()
		effs = append(effs, msg.ReadInstances{Call: c.targetPoll.call})
	}
	return effs
}

func (c *Component) nextCall() msg.CallID {
	c.lastCall++
	return c.lastCall
}

// done ends a poll's call and schedules the next one. The result logs the first
// failure after a success or the first success after a failure. The parameter
// read names the read in the log.
func (p *poll) done(now msg.Time, ok bool, read, reason string) []msg.Effect {
	p.call = 0
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.next = now + p.backoff
	if ok {
		p.backoff = 0
	}
	wasFailing := p.failing
	p.failing = !ok
	if wasFailing == p.failing {
		return nil
	}
	if p.failing {
		p.failingSince = now
		return []msg.Effect{msg.LogLine{
			Component: componentName, Level: msg.LogWarn, Text: "read from platform failed",
			Attrs: []msg.Attr{{Key: "read", Value: read}, {Key: "reason", Value: reason}},
		}}
	}
	return []msg.Effect{msg.LogLine{
		Component: componentName, Text: "read from platform succeeded again",
		Attrs: []msg.Attr{{Key: "read", Value: read}, {Key: "after_ms", Value: millis(now - p.failingSince)}},
	}}
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func (c *Component) onRoutesRead(now msg.Time, ev msg.RoutesRead) []msg.Effect {
	if ev.Call != c.routePoll.call {
		return nil
	}
	ok := ev.Status == msg.CallOK && ev.Table != nil
	effs := c.routePoll.done(now, ok, "routes", ev.Reason)
	if !ok {
		return effs
	}
	c.routePoll.next = max(ev.Sent+c.pollInterval(c.cfg.RoutesInterval), now)
	if c.targetPoll.failing {
		// The platform is back. A read that was sent before may hang in a connection.
		c.targetPoll.call, c.targetPoll.next = 0, now
	}
	return append(effs, c.checkRead(now, ev)...)
}

// applyRead applies the configuration that the store has shown.
func (c *Component) applyRead(now msg.Time, ev msg.RoutesRead) []msg.Effect {
	if ev.Table.Version < c.newestVersion {
		return c.onOlderRead(ev)
	}
	c.shownEra, c.lostVersion = ev.Era, 0
	var effs []msg.Effect
	if c.table == nil || ev.Table.Version > c.table.Version {
		c.table = ev.Table
		c.newestVersion = ev.Table.Version
		effs = append(effs, msg.Raise{Event: msg.RoutesChanged{Table: ev.Table}}, msg.LogLine{
			Component: componentName, Text: "configuration applied",
			Attrs: []msg.Attr{
				{Key: "version", Value: strconv.FormatUint(ev.Table.Version, 10)},
				{Key: "routes", Value: strconv.Itoa(len(ev.Table.Routes))},
				{Key: "age_ms", Value: millis(now - ev.Sent)},
			},
		})
	}
	return append(effs, c.confirm(ev.Sent)...)
}
