// Package lease is the part of an entry daemon's reducer that holds leases:
// the authority to act alone, one platform object each.
//
// Two rules keep holders apart without comparing clocks. A holder counts the
// lease's length from before it sent its last write and stops a margin
// earlier. A challenger waits the whole length, and the longest time that a
// call may be under way, from when it first saw the object's version, and its
// own write carries that version as condition. The write of the holder took
// effect before the challenger saw it, so the holder has stopped, and its
// last calls have ended, before the challenger's write can succeed.
//
// Candidates for a lease are a few entry daemons in different failure
// domains, by rendezvous hashing; the others only look at all leases now and
// then, so that the calls to the platform grow with the number of leases and
// hardly with the number of daemons.
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

const partName = "lease"

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
	// candidates is the number of daemons that stand by for one lease.
	candidates = 3
	// rankDelay keeps a lower candidate from racing a higher one.
	rankDelay = 500 * time.Millisecond
	retryMin  = 200 * time.Millisecond
)

// Tags of store calls: the survey, and from tagLease on one for each lease.
const (
	tagSurvey uint64 = iota
	tagLease
)

// Config configures the part. Zero durations select the defaults.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
	// Length is the time after a write for which nobody else may take over.
	Length time.Duration
	// Margin is how long before that the holder stops.
	Margin time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Observe is the time between two reads of a lease by a candidate, and
	// Survey between two reads of all leases by every entry daemon.
	Observe time.Duration
	Survey  time.Duration
	// CallDeadline is the longest time for which a call that was sent under a
	// lease may be under way.
	CallDeadline time.Duration
}

func (c Config) withDefaults() Config {
	c.Length = cmp.Or(c.Length, DefaultLength)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.Renew = cmp.Or(c.Renew, DefaultRenew)
	c.Observe = cmp.Or(c.Observe, DefaultObserve)
	c.Survey = cmp.Or(c.Survey, DefaultSurvey)
	c.CallDeadline = cmp.Or(c.CallDeadline, DefaultCallDeadline)
	return c
}

// Component is the lease part.
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

	surveying bool
	surveyAt  msg.Time
}

// New returns the part.
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

// Idle reports whether no lease is held and no release is under way.
func (p *Component) Idle() bool {
	for _, l := range p.leases {
		if l.held || l.releaseDue || l.releasing {
			return false
		}
	}
	return true
}

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	effs := p.checkPause(now)
	results, more := p.store.Step(now, ev)
	effs = append(effs, more...)
	for _, r := range results {
		effs = append(effs, p.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentLease)))
		p.surveyAt = now + p.jitter(p.cfg.Survey)
	case msg.Tick:
		effs = append(effs, p.onTick(now)...)
	case msg.MembersChanged:
		p.entries = ev.Entries
		p.rankAll()
	case msg.LeaseRequested:
		effs = append(effs, p.onWanted(now, ev)...)
	case msg.StopRequested:
		effs = append(effs, p.onStop(now)...)
	case msg.PeerReceived:
		p.onPeer(now, ev)
	}
	return effs
}

// checkPause drops all authority where the process did not run for a while:
// what it knows of the time left was computed before.
func (p *Component) checkPause(now msg.Time) []msg.Effect {
	gap := now - p.lastStep
	p.lastStep = now
	if gap <= p.cfg.Margin {
		return nil
	}
	var effs []msg.Effect
	for _, l := range p.sorted() {
		if l.held {
			effs = append(effs, l.lose("the process was paused")...)
		}
	}
	return effs
}

func (p *Component) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, l := range p.sorted() {
		effs = append(effs, p.advance(now, l)...)
	}
	if p.surveyAt != 0 && now >= p.surveyAt && !p.surveying && !p.stopping {
		p.surveying = true
		effs = append(effs, p.store.List(tagSurvey, msg.KindLease, ""))
	}
	return effs
}

func (p *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	if r.Tag == tagSurvey {
		return p.onSurvey(now, r)
	}
	l := p.byTag[r.Tag]
	if r.Op == store.OpGet {
		return p.onRead(now, l, r)
	}
	return p.onWrite(now, l, r)
}

// onSurvey learns from a read of all leases. A lease that nobody renews is so
// found by daemons that are no candidates.
func (p *Component) onSurvey(now msg.Time, r store.Result) []msg.Effect {
	p.surveying = false
	p.surveyAt = now + p.cfg.Survey/2 + p.jitter(p.cfg.Survey)
	if r.Status != msg.CallOK {
		return nil
	}
	objects := make(map[msg.LeaseName]msg.Object, len(r.Objects))
	for _, o := range r.Objects {
		objects[msg.LeaseName(o.Name)] = o
	}
	var effs []msg.Effect
	for _, l := range p.sorted() {
		if !l.busy && !l.held {
			effs = append(effs, l.saw(now, objects[l.name])...)
		}
	}
	return effs
}

func (p *Component) onWanted(now msg.Time, ev msg.LeaseRequested) []msg.Effect {
	l, ok := p.leases[ev.Name]
	if !ok {
		if !ev.Want {
			return nil
		}
		l = &lease{name: ev.Name, tag: p.nextTag}
		p.nextTag++
		p.leases[ev.Name] = l
		p.byTag[l.tag] = l
		p.rank(l)
	}
	l.wanted = ev.Want
	if !ev.Want && l.held {
		return p.giveUp(now, l)
	}
	return nil
}

func (p *Component) onStop(now msg.Time) []msg.Effect {
	p.stopping = true
	var effs []msg.Effect
	for _, l := range p.sorted() {
		l.wanted = false
		if l.held {
			effs = append(effs, p.giveUp(now, l)...)
		}
	}
	return effs
}

// onPeer looks at a released lease at once.
func (p *Component) onPeer(now msg.Time, ev msg.PeerReceived) {
	m, ok := ev.Message.(msg.LeaseReleased)
	if !ok {
		return
	}
	if l, known := p.leases[m.Name]; known && m.Epoch >= l.record.Epoch {
		l.observeAt = now
	}
}

func (p *Component) rankAll() {
	for _, l := range p.leases {
		p.rank(l)
	}
}

// rank finds this daemon's place among a lease's candidates.
func (p *Component) rank(l *lease) {
	l.candidates = l.candidates[:0]
	l.rank = candidates
	for i, h := range rendezvous.Spread(string(l.name), p.entries, candidates) {
		l.candidates = append(l.candidates, h.Host)
		if h.Host == p.cfg.Self {
			l.rank = i
		}
	}
}

func (p *Component) sorted() []*lease {
	out := make([]*lease, 0, len(p.leases))
	for _, l := range p.leases {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *lease) int { return int(a.tag) - int(b.tag) })
	return out
}

func (p *Component) jitter(d time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(d)))
}
