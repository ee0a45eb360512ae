// Package exchange provides the component of a reducer that distributes small
// state among the daemons: the sequence numbers of configurations and their
// confirmations, the digest of the host list, and aggregates over all entry
// daemons, such as demand.
//
// The live entry daemons form trees under a few roots. Each daemon polls its
// parent, and the reply contains the state from above it. The roots poll each
// other. The number of a daemon's messages therefore does not grow with the
// fleet, and a change reaches all daemons in a number of hops that grows with
// the logarithm of their number. A poll carries the aggregate of the sender's
// subtree, and the reply the aggregate of all other daemons, so that no daemon
// is counted twice while the tree does not change.
//
// No clocks are compared. State carries its age, which increases by the time
// that the state spends at each daemon. The age in a reply is counted from when
// the poll was sent, so that network latency makes state look older and never
// younger.
package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// pollInterval is the time between two polls of the parent, and
	// rootInterval between two polls of the other roots.
	pollInterval = 250 * time.Millisecond
	rootInterval = time.Second
	// sideInterval is the time between two polls by a side daemon.
	sideInterval = time.Second
	// aggregateInterval is the time between two polls that carry aggregates.
	aggregateInterval = 2 * time.Second
	// aggregateLifetime is how long a contribution counts if no newer one
	// arrives.
	aggregateLifetime = 3 * aggregateInterval
	// minReplyTimeout is the least time without a reply after which a polled
	// daemon counts as unresponsive, so that another daemon is polled in
	// addition.
	minReplyTimeout = 600 * time.Millisecond
	// retryAfter is the time after which an unresponsive daemon is polled again.
	retryAfter = 5 * time.Second
)

// Config configures the component. Self is this daemon.
type Config struct{ Self msg.Self }

// Component exchanges state with the other daemons.
type Component struct {
	cfg  Config
	rand *rand.Rand

	tree        tree
	hostsDigest uint64
	config      msg.ConfigRecordChanged

	polls map[msg.HostID]*poll
	// unresponsive holds the daemons that did not reply, each with the time at
	// which it is polled again.
	unresponsive map[msg.HostID]msg.Time
	pollAt       msg.Time
	rootsAt      msg.Time
	aggregatesAt msg.Time
	// pollSeq is the nonce of the last poll. If no parent is responsive, it also
	// selects the parent to poll.
	pollSeq uint64

	own      map[msg.Section]msg.SectionValue
	subtrees map[msg.HostID]contribution
	// fromAbove holds the last aggregate from the parent, or from each other root
	// if this daemon is a root. In the tree, the other roots count as above a
	// root.
	fromAbove map[msg.HostID]contribution
	// raised holds the sections that were last raised with contributions.
	raised map[msg.Section]bool
}

// poll is the state of the polls to one daemon.
type poll struct {
	nonce uint64
	sent  msg.Time
	// awaitingReply is set while a reply is outstanding, and awaitingSince is
	// when the first unanswered poll was sent.
	awaitingReply bool
	awaitingSince msg.Time
}

// New returns a component that is not yet part of a tree.
func New(cfg Config) *Component {
	return &Component{
		cfg:          cfg,
		rand:         rand.New(rand.NewPCG(0, 0)),
		polls:        make(map[msg.HostID]*poll),
		unresponsive: make(map[msg.HostID]msg.Time),
		own:          make(map[msg.Section]msg.SectionValue),
		subtrees:     make(map[msg.HostID]contribution),
		fromAbove:    make(map[msg.HostID]contribution),
		raised:       make(map[msg.Section]bool),
	}
}

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		c.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentMembership)+1))
		c.pollSeq = c.rand.Uint64() >> 1
	case msg.MembersChanged:
		c.hostsDigest = ev.Digest
		c.updateTree(ev)
	case msg.ConfigRecordChanged:
		c.config = ev
	case msg.PublishState:
		c.own[ev.Section] = ev.Value
	case msg.Tick:
		return c.onTick(now)
	case msg.PeerReceived:
		return c.onPeer(now, ev)
	}
	return nil
}

// updateTree determines this daemon's new position and drops the state of hosts
// that are no longer listed.
func (c *Component) updateTree(ev msg.MembersChanged) {
	wasRoot := c.tree.isRoot
	c.tree = newTree(c.cfg.Self, ev.Entries)
	if c.tree.isRoot != wasRoot {
		clear(c.fromAbove)
	}
	listed := make(map[msg.HostID]bool, len(ev.Entries))
	for _, h := range ev.Entries {
		listed[h.Host] = true
	}
	for h := range c.polls {
		if !listed[h] {
			delete(c.polls, h)
		}
	}
	for h := range c.unresponsive {
		if !listed[h] {
			delete(c.unresponsive, h)
		}
	}
	for h := range c.subtrees {
		if !listed[h] {
			delete(c.subtrees, h)
		}
	}
	for h := range c.fromAbove {
		if !listed[h] {
			delete(c.fromAbove, h)
		}
	}
}

func (c *Component) onTick(now msg.Time) []msg.Effect {
	if len(c.tree.entries) == 0 {
		return nil
	}
	c.markUnresponsive(now)
	withAggregates := c.cfg.Self.Kind == msg.HostEntry && now >= c.aggregatesAt
	var effs []msg.Effect
	polled := false
	if c.tree.isRoot {
		if now >= c.rootsAt {
			c.rootsAt = now + c.vary(rootInterval)
			effs = c.pollAll(now, c.tree.otherRoots(), withAggregates)
			polled = true
		}
	} else if now >= c.pollAt {
		c.pollAt = now + c.vary(c.interval())
		effs = c.pollAll(now, c.parentsToPoll(now), withAggregates)
		polled = true
	}
	if withAggregates && polled {
		c.aggregatesAt = now + c.vary(aggregateInterval)
		effs = append(effs, c.raiseAggregates(now)...)
	}
	return effs
}

func (c *Component) interval() time.Duration {
	if c.cfg.Self.Kind == msg.HostTarget {
		return sideInterval
	}
	return pollInterval
}

// vary returns the interval varied at random by up to 5% in either direction,
// so that the daemons do not poll in step.
func (c *Component) vary(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(c.rand.Int64N(int64(d/10)))
}

// markUnresponsive marks daemons that have not replied for too long.
func (c *Component) markUnresponsive(now msg.Time) {
	for h, q := range c.polls {
		if q.awaitingReply && now-q.awaitingSince >= c.replyTimeout() {
			c.unresponsive[h] = now + retryAfter
			q.awaitingReply = false
		}
	}
}

func (c *Component) replyTimeout() time.Duration {
	return max(minReplyTimeout, c.interval()+minReplyTimeout/2)
}

// parentsToPoll returns the daemons to poll: the first responsive one and, if
// that is not the preferred one, a second one in another failure domain.
// Unresponsive ones that precede the first responsive one are tried again from
// time to time.
func (c *Component) parentsToPoll(now msg.Time) []msg.HostID {
	var responsive, retries []msg.Host
	for i, h := range c.tree.parents {
		until, isUnresponsive := c.unresponsive[h.Host]
		switch {
		case !isUnresponsive && (len(responsive) == 0 || responsive[0].Domain != h.Domain):
			responsive = append(responsive, h)
		case isUnresponsive && now >= until && len(responsive) == 0:
			retries = append(retries, h)
		}
		if len(responsive) == 2 || len(responsive) == 1 && i == 0 {
			break
		}
	}
	if len(responsive) == 0 && len(c.tree.parents) > 0 {
		// No daemon is responsive. They are tried one after the other.
		c.pollSeq++
		responsive = append(responsive, c.tree.parents[c.pollSeq%uint64(len(c.tree.parents))])
	}
	ids := make([]msg.HostID, 0, len(responsive)+len(retries))
	for _, h := range append(responsive, retries...) {
		if !slices.Contains(ids, h.Host) {
			ids = append(ids, h.Host)
		}
	}
	return ids
}

func (c *Component) pollAll(now msg.Time, hosts []msg.HostID, withAggregates bool) []msg.Effect {
	effs := make([]msg.Effect, 0, len(hosts))
	for i, h := range hosts {
		m := msg.ExchangePoll{Nonce: c.startPoll(now, h), Config: c.config.Config, Hosts: c.hostsDigest}
		// Aggregates are sent to one parent only, so that they are not counted
		// twice. A root sends them to each other root.
		if withAggregates && (i == 0 || c.tree.isRoot) {
			m.WithAggregates = true
			m.Aggregates = c.subtreeAggregates(now)
		}
		effs = append(effs, msg.SendPeer{To: h, Message: m})
	}
	return effs
}

// startPoll records a poll and returns its nonce.
func (c *Component) startPoll(now msg.Time, h msg.HostID) uint64 {
	q, ok := c.polls[h]
	if !ok {
		q = &poll{}
		c.polls[h] = q
	}
	if !q.awaitingReply {
		q.awaitingReply = true
		q.awaitingSince = now
	}
	c.pollSeq++
	q.nonce = c.pollSeq
	q.sent = now
	return q.nonce
}

func (c *Component) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.ExchangePoll:
		return c.onPoll(now, ev.From, m)
	case msg.ExchangeReply:
		return c.onReply(ev.From, m)
	}
	return nil
}

func (c *Component) onPoll(now msg.Time, from msg.HostID, m msg.ExchangePoll) []msg.Effect {
	r := msg.ExchangeReply{
		Nonce:      m.Nonce,
		Config:     c.config.Config,
		Generation: c.config.Generation,
		Hosts:      c.hostsDigest,
	}
	if c.config.Confirmed {
		r.Confirmed = true
		r.AgeMS = ageMillis(now - c.config.ConfirmedAt)
	}
	fromRoot := c.tree.isRoot && slices.Contains(c.tree.otherRoots(), from)
	switch {
	case !m.WithAggregates || !c.tree.hasEntry(from):
	case fromRoot:
		c.fromAbove[from] = contribution{m.Aggregates, now}
	default:
		c.subtrees[from] = contribution{m.Aggregates, now}
		r.Aggregates = c.aggregatesForChild(now, from)
	}
	effs := []msg.Effect{msg.SendPeer{To: from, Message: r}}
	if !c.tree.hasEntry(from) {
		return effs
	}
	return append(effs, msg.Raise{Event: msg.PeerConfigReported{From: from, Config: m.Config}})
}

func (c *Component) onReply(from msg.HostID, m msg.ExchangeReply) []msg.Effect {
	q, ok := c.polls[from]
	if !ok || q.nonce != m.Nonce {
		return nil
	}
	q.awaitingReply = false
	delete(c.unresponsive, from)
	if m.Aggregates != nil {
		clear(c.fromAbove)
		c.fromAbove[from] = contribution{m.Aggregates, q.sent}
	}
	return []msg.Effect{
		msg.Raise{Event: msg.PeerConfigReported{
			From:        from,
			Config:      m.Config,
			Generation:  m.Generation,
			Confirmed:   m.Confirmed,
			ConfirmedAt: q.sent - time.Duration(m.AgeMS)*time.Millisecond,
		}},
		msg.Raise{Event: msg.PeerHostsReported{Digest: m.Hosts}},
	}
}
