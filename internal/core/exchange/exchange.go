// Package exchange is the part of a reducer that spreads small state between
// the daemons: configuration numbers and their confirmations, the digest of
// the host list, and sums over all entry daemons such as demand.
//
// The live entry daemons form trees below a few roots. Each polls its parent,
// and the reply brings what is known beyond it; the roots poll one another.
// So a daemon's messages do not grow with the fleet, and news crosses it in a
// number of hops that grows with its logarithm. A poll carries the combined
// state below its sender and the reply that of all others, so that no daemon
// is counted twice while the tree stands still.
//
// No clocks are compared: state carries its age, which grows by the time that
// it spends at each daemon. An age in a reply is counted from when the poll
// was sent, so that a slow network makes it older and never younger.
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
	// rootInterval between two polls of another root.
	pollInterval = 250 * time.Millisecond
	rootInterval = time.Second
	// sideInterval is the time between two polls of a side daemon.
	sideInterval = time.Second
	// sumInterval is the time between two polls that carry sums.
	sumInterval = 2 * time.Second
	// sumLifetime is how long a contribution counts without a new one.
	sumLifetime = 3 * sumInterval
	// silence is how long a polled daemon may owe an answer before another
	// one is polled besides.
	silence = 600 * time.Millisecond
	// avoidFor is the time between two trials of a silent daemon.
	avoidFor = 5 * time.Second
)

// Config configures the part.
type Config struct{ Self msg.Self }

// Component is the exchange part of a daemon.
type Component struct {
	cfg  Config
	rand *rand.Rand

	tree   tree
	hosts  uint64
	config msg.ConfigRecordChanged

	polls map[msg.HostID]*poll
	// avoid holds the silent daemons and when to try them again.
	avoid    map[msg.HostID]msg.Time
	pollAt   msg.Time
	rootsAt  msg.Time
	sumsAt   msg.Time
	nextPoll uint64

	own   map[msg.Section]msg.SectionValue
	below map[msg.HostID]contribution
	// beyond is what the parent, or each other root, told last.
	beyond map[msg.HostID]contribution
	// told holds the sections that were last raised with contributions.
	told map[msg.Section]bool
}

// poll is the state of polling one daemon.
type poll struct {
	nonce uint64
	sent  msg.Time
	// waiting is set while an answer is owed, since the given instant.
	waiting bool
	since   msg.Time
}

// New returns the part.
func New(cfg Config) *Component {
	return &Component{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(0, 0)),
		polls:  make(map[msg.HostID]*poll),
		avoid:  make(map[msg.HostID]msg.Time),
		own:    make(map[msg.Section]msg.SectionValue),
		below:  make(map[msg.HostID]contribution),
		beyond: make(map[msg.HostID]contribution),
		told:   make(map[msg.Section]bool),
	}
}

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentMembership)+1))
		p.nextPoll = p.rand.Uint64() >> 1
	case msg.MembersChanged:
		p.hosts = ev.Digest
		p.replant(ev)
	case msg.ConfigRecordChanged:
		p.config = ev
	case msg.PublishState:
		p.own[ev.Section] = ev.Value
	case msg.Tick:
		return p.onTick(now)
	case msg.PeerReceived:
		return p.onPeer(now, ev)
	}
	return nil
}

// replant finds this daemon's new place and drops the state of hosts that are
// no longer listed.
func (p *Component) replant(ev msg.MembersChanged) {
	wasRoot := p.tree.isRoot
	p.tree = newTree(p.cfg.Self, ev.Entries)
	if p.tree.isRoot != wasRoot {
		clear(p.beyond)
	}
	listed := make(map[msg.HostID]bool, len(ev.Entries))
	for _, h := range ev.Entries {
		listed[h.Host] = true
	}
	for h := range p.polls {
		if !listed[h] {
			delete(p.polls, h)
		}
	}
	for h := range p.avoid {
		if !listed[h] {
			delete(p.avoid, h)
		}
	}
	for h := range p.below {
		if !listed[h] {
			delete(p.below, h)
		}
	}
	for h := range p.beyond {
		if !listed[h] {
			delete(p.beyond, h)
		}
	}
}

func (p *Component) onTick(now msg.Time) []msg.Effect {
	if len(p.tree.entries) == 0 {
		return nil
	}
	p.noteSilence(now)
	withSums := p.cfg.Self.Kind == msg.HostEntry && now >= p.sumsAt
	var effs []msg.Effect
	polled := false
	if p.tree.isRoot {
		if now >= p.rootsAt {
			p.rootsAt = now + p.spread(rootInterval)
			effs = p.pollAll(now, p.tree.otherRoots(), withSums)
			polled = true
		}
	} else if now >= p.pollAt {
		p.pollAt = now + p.spread(p.interval())
		effs = p.pollAll(now, p.parents(now), withSums)
		polled = true
	}
	if withSums && polled {
		p.sumsAt = now + p.spread(sumInterval)
		effs = append(effs, p.shared(now)...)
	}
	return effs
}

func (p *Component) interval() time.Duration {
	if p.cfg.Self.Kind == msg.HostTarget {
		return sideInterval
	}
	return pollInterval
}

// spread varies an interval by a tenth, so that daemons do not keep step.
func (p *Component) spread(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(p.rand.Int64N(int64(d/10)))
}

// noteSilence gives daemons up that owe an answer for too long.
func (p *Component) noteSilence(now msg.Time) {
	for h, q := range p.polls {
		if q.waiting && now-q.since >= p.patience() {
			p.avoid[h] = now + avoidFor
			q.waiting = false
		}
	}
}

func (p *Component) patience() time.Duration { return max(silence, p.interval()+silence/2) }

// parents returns the daemons to poll: the first that answers, and where that
// is not the best one, a second in another failure domain besides. Silent ones
// before it are tried again now and then.
func (p *Component) parents(now msg.Time) []msg.HostID {
	var good, retries []msg.Host
	for i, h := range p.tree.parents {
		until, silent := p.avoid[h.Host]
		switch {
		case !silent && (len(good) == 0 || good[0].Domain != h.Domain):
			good = append(good, h)
		case silent && now >= until && len(good) == 0:
			retries = append(retries, h)
		}
		if len(good) == 2 || len(good) == 1 && i == 0 {
			break
		}
	}
	if len(good) == 0 && len(p.tree.parents) > 0 {
		// Nobody answers: try them one after the other.
		p.nextPoll++
		good = append(good, p.tree.parents[p.nextPoll%uint64(len(p.tree.parents))])
	}
	ids := make([]msg.HostID, 0, len(good)+len(retries))
	for _, h := range append(good, retries...) {
		if !slices.Contains(ids, h.Host) {
			ids = append(ids, h.Host)
		}
	}
	return ids
}

func (p *Component) pollAll(now msg.Time, hosts []msg.HostID, withSums bool) []msg.Effect {
	effs := make([]msg.Effect, 0, len(hosts))
	for i, h := range hosts {
		m := msg.ExchangePoll{Nonce: p.open(now, h), Config: p.config.Config, Hosts: p.hosts}
		// Sums go up one way only, and to each other root.
		if withSums && (i == 0 || p.tree.isRoot) {
			m.WithAggregates = true
			m.Aggregates = p.sumsBelow(now)
		}
		effs = append(effs, msg.SendPeer{To: h, Message: m})
	}
	return effs
}

// open notes a poll and returns its nonce.
func (p *Component) open(now msg.Time, h msg.HostID) uint64 {
	q, ok := p.polls[h]
	if !ok {
		q = &poll{}
		p.polls[h] = q
	}
	if !q.waiting {
		q.waiting = true
		q.since = now
	}
	p.nextPoll++
	q.nonce = p.nextPoll
	q.sent = now
	return q.nonce
}

func (p *Component) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.ExchangePoll:
		return p.onPoll(now, ev.From, m)
	case msg.ExchangeReply:
		return p.onReply(ev.From, m)
	}
	return nil
}

func (p *Component) onPoll(now msg.Time, from msg.HostID, m msg.ExchangePoll) []msg.Effect {
	r := msg.ExchangeReply{
		Nonce:      m.Nonce,
		Config:     p.config.Config,
		Generation: p.config.Generation,
		Hosts:      p.hosts,
	}
	if p.config.Confirmed {
		r.Confirmed = true
		r.AgeMS = ageMS(now - p.config.ConfirmedAt)
	}
	fromRoot := p.tree.isRoot && slices.Contains(p.tree.otherRoots(), from)
	switch {
	case !m.WithAggregates || !p.tree.has(from):
	case fromRoot:
		p.beyond[from] = contribution{m.Aggregates, now}
	default:
		p.below[from] = contribution{m.Aggregates, now}
		r.Aggregates = p.sumsFor(now, from)
	}
	effs := []msg.Effect{msg.SendPeer{To: from, Message: r}}
	if !p.tree.has(from) {
		return effs
	}
	return append(effs, msg.Raise{Event: msg.PeerConfigReported{From: from, Config: m.Config}})
}

func (p *Component) onReply(from msg.HostID, m msg.ExchangeReply) []msg.Effect {
	q, ok := p.polls[from]
	if !ok || q.nonce != m.Nonce {
		return nil
	}
	q.waiting = false
	delete(p.avoid, from)
	if m.Aggregates != nil {
		clear(p.beyond)
		p.beyond[from] = contribution{m.Aggregates, q.sent}
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
