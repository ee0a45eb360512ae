// Package usage is the reducer component of an entry daemon without side
// daemons that counts runs: for each window of wall time and each client
// account, it reports how many requests began to run.
//
// Each daemon stores its own counts in an object at the platform. The holder of
// the usage lease adds them up, freezes a window's counts by a conditional write
// and only then reports them. A window is thus never reported with different
// counts, even if it is reported several times or by several holders.
package usage

import (
	"encoding/json"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const logComponent = "usage"

// LeaseName is the lease under which usage is reported.
const LeaseName msg.LeaseName = "usage"

const (
	// keptWindows is the number of past windows that a daemon's object holds.
	// It holds the current window as well.
	keptWindows = 5
	// flushInterval is the time between two writes of the object of a daemon to which the
	// others tell their counts. It bounds the counts that are missing there if the
	// daemon is killed. The others write once a window, within windowWriteSpread of its
	// end, so that hundreds of them don't write at once.
	flushInterval     = 2500 * time.Millisecond
	windowWriteSpread = 1500 * time.Millisecond
	// settleDelay is the time after a window's end at which a daemon's counts of
	// the window are complete, because the responses that began in it have been
	// recorded by then.
	settleDelay = 250 * time.Millisecond
	// collectDelay is the time after a window's end at which the holder of the
	// usage lease first reads the daemons' counts.
	collectDelay = 600 * time.Millisecond
	// retryInterval is the time between a failed call and the next. For writes of
	// the daemon's own object, it doubles with each failure up to maxRetryInterval:
	// during an outage each call is paid for, and the counts are told to other
	// daemons as well.
	retryInterval    = 400 * time.Millisecond
	maxRetryInterval = 1600 * time.Millisecond
)

const (
	tagRecordRead uint64 = iota + 1
	tagRecordWrite
)

// runCounts holds numbers of runs by client account.
type runCounts map[msg.AccountID]int64

// total returns the number of runs of all accounts.
func (c runCounts) total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}

// daemonRecord is the body of the object with the counts of a daemon. It holds
// the counts of all its processes so far, by window.
type daemonRecord struct {
	Windows map[int64]runCounts `json:"windows"`
	// Through is the last window whose counts are complete.
	Through int64 `json:"through"`
}

// Config configures a [Meter].
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
	// Window is the length of a usage window.
	Window time.Duration
	// CollectTimeout is how long after a window's end the holder of the usage
	// lease waits for complete counts of daemons that can't be reached.
	CollectTimeout time.Duration
	// ReportDeadline is the time after a window's end by which its report is due.
	ReportDeadline time.Duration
}

// Meter counts the runs of this daemon, and freezes and reports windows while
// this daemon holds the usage lease.
type Meter struct {
	cfg   Config
	store *store.Client
	// ownWall is this process's wall clock at the last tick; wall is the same
	// corrected by the other daemons' clocks.
	ownWall, wall time.Time
	clock         wallClock
	// startWall is the wall time at which this process began to count.
	startWall time.Time

	// previousRuns holds the counts of earlier processes on this host, and
	// ownRuns those of this process. Both are keyed by window.
	previousRuns, ownRuns map[int64]runCounts
	// recordLoaded is set once this daemon's object has been read. recordVersion
	// is the object's version, and recordCallPending is set while a call for it
	// is open.
	recordLoaded      bool
	recordVersion     msg.Version
	recordCallPending bool
	// dirty is set while there are counts that no write contains. The next write
	// is not made before flushAt.
	dirty   bool
	flushAt msg.Time
	// flushBackoff is the delay after the last failed write; zero after a success.
	flushBackoff time.Duration
	// completeThrough is the last window for which this daemon's counts are
	// complete, and writtenThrough its value at the last write.
	completeThrough int64
	writtenThrough  int64
	// completeAt is when completeThrough last changed.
	completeAt msg.Time
	stopping   bool

	// peerRecords holds the counts that other daemons sent.
	peerRecords map[msg.HostID]daemonRecord
	sendAt      msg.Time
	// unsentRuns is set while there are counts that were not sent to the other
	// daemons.
	unsentRuns bool

	reporter
}

// New returns the meter of one daemon. It acts after [msg.Started].
func New(cfg Config) *Meter {
	writer := string(cfg.Self) + "/" + string(cfg.Incarnation)
	return &Meter{
		cfg:          cfg,
		store:        store.New(store.ComponentRuns, writer),
		previousRuns: make(map[int64]runCounts),
		ownRuns:      make(map[int64]runCounts),
		clock:        newWallClock(),
		peerRecords:  make(map[msg.HostID]daemonRecord),
		reporter:     newReporter(writer),
	}
}

// Idle reports whether all counts are stored at the platform.
func (m *Meter) Idle() bool { return !m.dirty && !m.recordCallPending }

// Step processes one event and returns the effects to carry out.
func (m *Meter) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := m.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, m.onRecordResult(now, r)...)
	}
	effs = append(effs, m.stepReporter(now, ev)...)
	switch ev := ev.(type) {
	case msg.Started:
		m.ownWall = ev.Wall
		m.wall = ev.Wall
		m.startWall = ev.Wall
		m.recordCallPending = true
		effs = append(effs,
			m.store.Get(tagRecordRead, msg.KindRuns, string(m.cfg.Self)),
			msg.Raise{Event: msg.LeaseRequested{Name: LeaseName, Want: true}},
		)
	case msg.RunCounted:
		m.count(ev)
	case msg.PeerReceived:
		if d, ok := ev.Message.(msg.LoadDigest); ok {
			m.clock.observe(now, ev.From, d.WallMS, m.ownWall)
		}
		if runs, ok := ev.Message.(msg.RunCounts); ok {
			m.onPeerRuns(ev.From, runs)
		}
	case msg.StoreEraChanged:
		m.onEraChanged(now, ev)
	case msg.StopRequested:
		m.stopping = true
	case msg.Tick:
		m.clock.onTick(now)
		m.ownWall = ev.Wall
		m.wall = ev.Wall.Add(m.clock.correction(now))
		effs = append(effs, m.onTick(now)...)
		effs = append(effs, m.advanceReport(now)...)
		effs = append(effs, m.sendRuns(now)...)
	}
	return effs
}

// windowOf returns the number of the window that contains an instant.
func (m *Meter) windowOf(t time.Time) int64 { return t.UnixNano() / int64(m.cfg.Window) }

// endOf returns the end of a window.
func (m *Meter) endOf(window int64) time.Time { return time.Unix(0, (window+1)*int64(m.cfg.Window)) }

func (m *Meter) count(ev msg.RunCounted) {
	if ev.Account == "" {
		return
	}
	w := m.windowOf(ev.Wall.Add(m.wall.Sub(m.ownWall)))
	if m.ownRuns[w] == nil {
		m.ownRuns[w] = make(runCounts)
	}
	m.ownRuns[w][ev.Account]++
	m.dirty = true
	m.unsentRuns = true
}

func (m *Meter) onTick(now msg.Time) []msg.Effect {
	through := m.windowOf(m.wall.Add(-settleDelay)) - 1
	if through != m.completeThrough {
		m.unsentRuns = true
		m.completeThrough, m.completeAt = through, now
	}
	if m.recordCallPending || (now < m.flushAt && !m.stopping) {
		return nil
	}
	if !m.recordLoaded {
		m.recordCallPending = true
		return []msg.Effect{m.store.Get(tagRecordRead, msg.KindRuns, string(m.cfg.Self))}
	}
	if !m.writeDue(now) {
		return nil
	}
	m.recordCallPending = true
	m.dirty = false
	m.writtenThrough = m.completeThrough
	m.flushAt = now + flushInterval
	return []msg.Effect{m.store.Put(now, tagRecordWrite, msg.KindRuns, string(m.cfg.Self), m.snapshot(), m.recordVersion, now+flushInterval)}
}

// writeDue reports whether this daemon's object has to be written. What a daemon has counted
// in the present window is known to those to which it tells its counts.
func (m *Meter) writeDue(now msg.Time) bool {
	if m.stopping || m.isRecipient() || len(m.entries) == 0 {
		return m.dirty || m.writtenThrough != m.completeThrough
	}
	spread := time.Duration(rendezvous.Score(string(LeaseName), m.cfg.Self) % uint64(windowWriteSpread))
	return m.writtenThrough != m.completeThrough && now >= m.completeAt+spread
}

// snapshot returns the sum of the counts of this process and of earlier ones on
// this host. It deletes windows that are no longer kept.
func (m *Meter) snapshot() daemonRecord {
	oldest := m.windowOf(m.wall) - keptWindows
	rec := daemonRecord{Windows: make(map[int64]runCounts), Through: m.completeThrough}
	for _, windows := range []map[int64]runCounts{m.previousRuns, m.ownRuns} {
		for w, c := range windows {
			if w < oldest {
				delete(windows, w)
				continue
			}
			rec.Windows[w] = addCounts(rec.Windows[w], c)
		}
	}
	return rec
}

// addCounts adds c to sum, which may be nil, and returns it.
func addCounts(sum, c runCounts) runCounts {
	if sum == nil {
		sum = make(runCounts, len(c))
	}
	for a, n := range c {
		sum[a] += n
	}
	return sum
}

func (m *Meter) onRecordResult(now msg.Time, r store.Result) []msg.Effect {
	m.recordCallPending = false
	switch {
	case r.Op == store.OpGet:
		m.onRecordRead(now, r)
	case r.Status == msg.CallOK && !r.Superseded:
		m.recordVersion = r.Object.Version
		m.flushBackoff = 0
	case r.Status == msg.CallUnavailable || r.Status == msg.CallRejected:
		m.dirty, m.writtenThrough = true, 0
		m.flushBackoff = min(max(2*m.flushBackoff, retryInterval), maxRetryInterval)
		m.flushAt = now + m.flushBackoff
	default:
		// Another process wrote the object, or the outcome of the write is
		// unknown. The object is read again for its version.
		m.dirty, m.writtenThrough = true, 0
		m.recordCallPending = true
		return []msg.Effect{m.store.Get(tagRecordRead, msg.KindRuns, string(m.cfg.Self))}
	}
	return nil
}

// onRecordRead loads the counts of earlier processes on this host. It does so
// once: the result of a later read contains counts of this process, which it
// already has.
func (m *Meter) onRecordRead(now msg.Time, r store.Result) {
	m.flushAt = now + retryInterval
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		return
	}
	m.recordVersion = r.Object.Version
	m.flushAt = now
	if m.recordLoaded {
		return
	}
	m.recordLoaded = true
	var rec daemonRecord
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) == nil {
		m.previousRuns = rec.Windows
	}
}
