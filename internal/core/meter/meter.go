// Package meter is the part of an entry daemon's reducer that reports how many
// requests began to run in each window of wall time, by client account.
//
// Each daemon keeps its own counts in an object at the platform. The holder of
// the usage lease adds them up, freezes a window's figures by a conditional
// write and only then reports them, so that a window is never reported with
// two figures, whoever reports it and however often.
package meter

import (
	"encoding/json"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const partName = "usage"

// LeaseName is the lease under which usage is reported.
const LeaseName msg.LeaseName = "usage"

const (
	// keepWindows is the number of windows that a daemon's object holds.
	keepWindows = 5
	// flushEvery bounds the counts that a killed daemon loses.
	flushEvery = 2500 * time.Millisecond
	// settle is the time after a window's end at which its counts are final:
	// answers that began in it have been seen.
	settle = 250 * time.Millisecond
	// collectAfter is the time after a window's end at which the daemons'
	// counts are first looked for.
	collectAfter = 600 * time.Millisecond
	retryEvery   = 400 * time.Millisecond
)

const (
	tagOwnRead uint64 = iota + 1
	tagOwnWrite
)

// counts holds runs by client account.
type counts map[msg.AccountID]int64

// total is the number of runs of all accounts.
func (c counts) total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}

// ownRecord is the body of a daemon's object.
type ownRecord struct {
	Windows map[int64]counts `json:"windows"`
	// Through is the last window whose counts are complete.
	Through int64 `json:"through"`
}

// Config configures the part.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
	// Window is the length of a usage window.
	Window time.Duration
	// Collect is how long after a window's end the holder waits for the
	// counts of daemons that can't be heard.
	Collect time.Duration
}

// Part is the meter part.
type Part struct {
	cfg   Config
	store *store.Client
	// raw is this process's wall clock and wall the time by those of all.
	raw, wall time.Time
	clock     clock
	// since is the wall time at which this process began to count.
	since time.Time

	// before holds the counts of former processes on this host and own those
	// of this one.
	before, own map[int64]counts
	loaded      bool
	version     msg.Version
	busy        bool
	dirty       bool
	flushAt     msg.Time
	through     int64
	written     int64
	stopping    bool

	// heard holds the counts that other daemons told.
	heard  map[msg.HostID]ownRecord
	tellAt msg.Time
	untold bool

	reporter
}

// New returns the part.
func New(cfg Config) *Part {
	writer := string(cfg.Self) + "/" + string(cfg.Incarnation)
	return &Part{
		cfg:      cfg,
		store:    store.New(store.ComponentRuns, writer),
		before:   make(map[int64]counts),
		own:      make(map[int64]counts),
		clock:    newClock(),
		heard:    make(map[msg.HostID]ownRecord),
		reporter: newReporter(writer),
	}
}

// Idle reports whether all counts are kept at the platform.
func (p *Part) Idle() bool { return !p.dirty && !p.busy }

// Step implements the reducer's part.
func (p *Part) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := p.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, p.onOwn(now, r)...)
	}
	effs = append(effs, p.stepReporter(now, ev)...)
	switch ev := ev.(type) {
	case msg.Started:
		p.raw = ev.Wall
		p.wall = ev.Wall
		p.since = ev.Wall
		p.busy = true
		effs = append(effs,
			p.store.Get(tagOwnRead, msg.KindRuns, string(p.cfg.Self)),
			msg.Raise{Event: msg.LeaseRequested{Name: LeaseName, Want: true}},
		)
	case msg.RunCounted:
		p.count(ev)
	case msg.PeerReceived:
		if d, ok := ev.Message.(msg.LoadDigest); ok {
			p.clock.heard(now, ev.From, d.WallMS, p.raw)
		}
		if m, ok := ev.Message.(msg.RunCounts); ok {
			p.hear(ev.From, m)
		}
	case msg.StopRequested:
		p.stopping = true
	case msg.Tick:
		p.clock.tick(now)
		p.raw = ev.Wall
		p.wall = ev.Wall.Add(p.clock.correction(now))
		effs = append(effs, p.onTick(now)...)
		effs = append(effs, p.advance(now)...)
		effs = append(effs, p.tell(now)...)
	}
	return effs
}

// windowOf returns the number of the window that holds an instant.
func (p *Part) windowOf(t time.Time) int64 { return t.UnixNano() / int64(p.cfg.Window) }

// endOf returns the end of a window.
func (p *Part) endOf(window int64) time.Time { return time.Unix(0, (window+1)*int64(p.cfg.Window)) }

func (p *Part) count(ev msg.RunCounted) {
	if ev.Account == "" {
		return
	}
	w := p.windowOf(ev.Wall.Add(p.wall.Sub(p.raw)))
	if p.own[w] == nil {
		p.own[w] = make(counts)
	}
	p.own[w][ev.Account]++
	p.dirty = true
	p.untold = true
}

func (p *Part) onTick(now msg.Time) []msg.Effect {
	through := p.windowOf(p.wall.Add(-settle)) - 1
	p.untold = p.untold || through != p.through
	p.through = through
	if p.busy || (now < p.flushAt && !p.stopping) {
		return nil
	}
	if !p.loaded {
		p.busy = true
		return []msg.Effect{p.store.Get(tagOwnRead, msg.KindRuns, string(p.cfg.Self))}
	}
	if !p.dirty && p.written == p.through {
		return nil
	}
	p.busy = true
	p.dirty = false
	p.written = p.through
	p.flushAt = now + flushEvery
	return []msg.Effect{p.store.Put(now, tagOwnWrite, msg.KindRuns, string(p.cfg.Self), p.snapshot(), p.version, now+flushEvery)}
}

// snapshot adds up this process's counts and those before it, and forgets old
// windows.
func (p *Part) snapshot() ownRecord {
	oldest := p.windowOf(p.wall) - keepWindows
	rec := ownRecord{Windows: make(map[int64]counts), Through: p.through}
	for _, part := range []map[int64]counts{p.before, p.own} {
		for w, c := range part {
			if w < oldest {
				delete(part, w)
				continue
			}
			rec.Windows[w] = addCounts(rec.Windows[w], c)
		}
	}
	return rec
}

func addCounts(sum, c counts) counts {
	if sum == nil {
		sum = make(counts, len(c))
	}
	for a, n := range c {
		sum[a] += n
	}
	return sum
}

func (p *Part) onOwn(now msg.Time, r store.Result) []msg.Effect {
	p.busy = false
	switch {
	case r.Op == store.OpGet:
		p.onOwnRead(now, r)
	case r.Status == msg.CallOK && !r.Superseded:
		p.version = r.Object.Version
	case r.Status == msg.CallUnavailable || r.Status == msg.CallRejected:
		p.dirty = true
		p.flushAt = now + retryEvery
	default:
		// Somebody else wrote it, or it is not known: read it again.
		p.dirty = true
		p.busy = true
		return []msg.Effect{p.store.Get(tagOwnRead, msg.KindRuns, string(p.cfg.Self))}
	}
	return nil
}

// onOwnRead takes the counts of a former process on this host. What this
// process has written is its own and not taken twice.
func (p *Part) onOwnRead(now msg.Time, r store.Result) {
	p.flushAt = now + retryEvery
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		return
	}
	p.version = r.Object.Version
	p.flushAt = now
	if p.loaded {
		return
	}
	p.loaded = true
	var rec ownRecord
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) == nil {
		p.before = rec.Windows
	}
}
