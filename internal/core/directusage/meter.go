// Package directusage is the part of an entry daemon's reducer that reports how many
// requests began to run in each window of wall time, by client account.
//
// Each daemon keeps its own counts in an object at the platform. The holder of
// the usage lease adds them up, freezes a window's figures by a conditional
// write and only then reports them, so that a window is never reported with
// two figures, whoever reports it and however often.
package directusage

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

// Meter is the meter part.
type Meter struct {
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
func New(cfg Config) *Meter {
	writer := string(cfg.Self) + "/" + string(cfg.Incarnation)
	return &Meter{
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
func (m *Meter) Idle() bool { return !m.dirty && !m.busy }

// Step implements the reducer's part.
func (m *Meter) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := m.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, m.onOwn(now, r)...)
	}
	effs = append(effs, m.stepReporter(now, ev)...)
	switch ev := ev.(type) {
	case msg.Started:
		m.raw = ev.Wall
		m.wall = ev.Wall
		m.since = ev.Wall
		m.busy = true
		effs = append(effs,
			m.store.Get(tagOwnRead, msg.KindRuns, string(m.cfg.Self)),
			msg.Raise{Event: msg.LeaseRequested{Name: LeaseName, Want: true}},
		)
	case msg.RunCounted:
		m.count(ev)
	case msg.PeerReceived:
		if d, ok := ev.Message.(msg.LoadDigest); ok {
			m.clock.heard(now, ev.From, d.WallMS, m.raw)
		}
		if runs, ok := ev.Message.(msg.RunCounts); ok {
			m.hear(ev.From, runs)
		}
	case msg.StopRequested:
		m.stopping = true
	case msg.Tick:
		m.clock.tick(now)
		m.raw = ev.Wall
		m.wall = ev.Wall.Add(m.clock.correction(now))
		effs = append(effs, m.onTick(now)...)
		effs = append(effs, m.advance(now)...)
		effs = append(effs, m.tell(now)...)
	}
	return effs
}

// windowOf returns the number of the window that holds an instant.
func (m *Meter) windowOf(t time.Time) int64 { return t.UnixNano() / int64(m.cfg.Window) }

// endOf returns the end of a window.
func (m *Meter) endOf(window int64) time.Time { return time.Unix(0, (window+1)*int64(m.cfg.Window)) }

func (m *Meter) count(ev msg.RunCounted) {
	if ev.Account == "" {
		return
	}
	w := m.windowOf(ev.Wall.Add(m.wall.Sub(m.raw)))
	if m.own[w] == nil {
		m.own[w] = make(counts)
	}
	m.own[w][ev.Account]++
	m.dirty = true
	m.untold = true
}

func (m *Meter) onTick(now msg.Time) []msg.Effect {
	through := m.windowOf(m.wall.Add(-settle)) - 1
	m.untold = m.untold || through != m.through
	m.through = through
	if m.busy || (now < m.flushAt && !m.stopping) {
		return nil
	}
	if !m.loaded {
		m.busy = true
		return []msg.Effect{m.store.Get(tagOwnRead, msg.KindRuns, string(m.cfg.Self))}
	}
	if !m.dirty && m.written == m.through {
		return nil
	}
	m.busy = true
	m.dirty = false
	m.written = m.through
	m.flushAt = now + flushEvery
	return []msg.Effect{m.store.Put(now, tagOwnWrite, msg.KindRuns, string(m.cfg.Self), m.snapshot(), m.version, now+flushEvery)}
}

// snapshot adds up this process's counts and those before it, and forgets old
// windows.
func (m *Meter) snapshot() ownRecord {
	oldest := m.windowOf(m.wall) - keepWindows
	rec := ownRecord{Windows: make(map[int64]counts), Through: m.through}
	for _, part := range []map[int64]counts{m.before, m.own} {
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

func (m *Meter) onOwn(now msg.Time, r store.Result) []msg.Effect {
	m.busy = false
	switch {
	case r.Op == store.OpGet:
		m.onOwnRead(now, r)
	case r.Status == msg.CallOK && !r.Superseded:
		m.version = r.Object.Version
	case r.Status == msg.CallUnavailable || r.Status == msg.CallRejected:
		m.dirty = true
		m.flushAt = now + retryEvery
	default:
		// Somebody else wrote it, or it is not known: read it again.
		m.dirty = true
		m.busy = true
		return []msg.Effect{m.store.Get(tagOwnRead, msg.KindRuns, string(m.cfg.Self))}
	}
	return nil
}

// onOwnRead takes the counts of a former process on this host. What this
// process has written is its own and not taken twice.
func (m *Meter) onOwnRead(now msg.Time, r store.Result) {
	m.flushAt = now + retryEvery
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		return
	}
	m.version = r.Object.Version
	m.flushAt = now
	if m.loaded {
		return
	}
	m.loaded = true
	var rec ownRecord
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) == nil {
		m.before = rec.Windows
	}
}
