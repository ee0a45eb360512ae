package directusage

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	tagCollect uint64 = iota + 1
	tagFrozenRead
	tagFreeze
)

// frozenName is the object that holds the frozen windows.
const frozenName = "frozen"

// keepFrozen is the number of windows that the object holds.
const keepFrozen = 8

// frozenRecord is the body of the object of frozen windows.
type frozenRecord struct {
	Windows map[int64]counts `json:"windows"`
	// Last is the highest window that was frozen.
	Last int64 `json:"last"`
	// Reported is the highest window up to which all were reported when the
	// object was written.
	Reported int64 `json:"reported"`
}

// reporter is the part's state under the lease.
type reporter struct {
	frozen  *store.Client
	entries []msg.Host

	lease lease.Authority

	// known says that record is the object as it stands at the version stored.
	known  bool
	record frozenRecord
	stored msg.Version
	open   bool
	nextAt msg.Time
	// sent holds the windows that the platform has taken under this lease.
	sent map[int64]bool

	lastCall  msg.CallID
	reporting int64
}

func newReporter(writer string) reporter {
	return reporter{frozen: store.New(store.ComponentWindows, writer), sent: make(map[int64]bool)}
}

func (m *Meter) stepReporter(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := m.frozen.Step(now, ev)
	for _, r := range results {
		effs = append(effs, m.onFrozen(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.MembersChanged:
		m.entries = ev.Entries
	case msg.LeaseChanged:
		if ev.Name == LeaseName {
			m.onLease(ev)
		}
	case msg.WindowReported:
		if ev.Call == m.lastCall {
			effs = append(effs, m.onReported(now, ev)...)
		}
	}
	return effs
}

func (m *Meter) onLease(ev msg.LeaseChanged) {
	if m.lease.Update(ev) {
		m.known = false
		m.sent = make(map[int64]bool)
	}
}

// advance takes the holder's next step.
func (m *Meter) advance(now msg.Time) []msg.Effect {
	if !m.lease.Valid(now) || now < m.nextAt || m.open {
		return nil
	}
	if !m.known {
		m.open = true
		return []msg.Effect{m.frozen.Get(tagFrozenRead, msg.KindWindow, frozenName)}
	}
	if w, ok := m.unsent(); ok {
		return []msg.Effect{m.send(w)}
	}
	if m.wall.Before(m.endOf(m.nextWindow()).Add(collectAfter)) {
		return nil
	}
	m.open = true
	return []msg.Effect{m.frozen.List(tagCollect, msg.KindRuns, "")}
}

// nextWindow is the window to freeze next. Where none was frozen before, it
// is the one in which this process began to count.
func (m *Meter) nextWindow() int64 {
	if m.record.Last > 0 {
		return m.record.Last + 1
	}
	return m.windowOf(m.since)
}

// unsent returns the oldest frozen window that this holder has not reported.
func (m *Meter) unsent() (int64, bool) {
	var best int64
	for w := range m.record.Windows {
		if w > m.record.Reported && !m.sent[w] && (best == 0 || w < best) {
			best = w
		}
	}
	return best, best != 0
}

func (m *Meter) send(window int64) msg.Effect {
	m.lastCall++
	m.open = true
	m.reporting = window
	return msg.ReportWindow{
		Call: m.lastCall, Holder: m.cfg.Self, Epoch: m.lease.Epoch,
		Window: window, Counts: m.record.Windows[window], NotAfter: m.lease.Until,
	}
}

func (m *Meter) onReported(now msg.Time, ev msg.WindowReported) []msg.Effect {
	m.open = false
	text := "window reported"
	level := msg.LogInfo
	if ev.Status == msg.CallOK {
		m.sent[m.reporting] = true
	} else {
		text = "window not reported"
		level = msg.LogWarn
		m.nextAt = now + retryEvery
		if ev.Status == msg.CallRejected {
			m.sent[m.reporting] = true
		}
	}
	return []msg.Effect{msg.LogLine{Component: partName, Level: level, Text: text, Attrs: []msg.Attr{
		{Key: "window", Value: strconv.FormatInt(m.reporting, 10)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(m.lease.Epoch), 10)},
		{Key: "reason", Value: ev.Reason},
	}}}
}

func (m *Meter) onFrozen(now msg.Time, r store.Result) []msg.Effect {
	m.open = false
	switch r.Tag {
	case tagFrozenRead:
		m.onFrozenRead(now, r)
	case tagCollect:
		return m.onCollected(now, r)
	case tagFreeze:
		m.onFreeze(now, r)
	}
	return nil
}

func (m *Meter) onFrozenRead(now msg.Time, r store.Result) {
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		m.nextAt = now + retryEvery
		return
	}
	rec := frozenRecord{Windows: make(map[int64]counts)}
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) != nil {
		m.nextAt = now + retryEvery
		return
	}
	m.known = true
	m.record = rec
	m.stored = r.Object.Version
}

func (m *Meter) onCollected(now msg.Time, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK {
		m.nextAt = now + retryEvery
		return nil
	}
	records := make(map[msg.HostID]ownRecord, len(r.Objects))
	for _, o := range r.Objects {
		var rec ownRecord
		if json.Unmarshal(o.Value, &rec) == nil {
			records[msg.HostID(o.Name)] = rec
		}
	}
	m.merge(records)
	window := m.firstWindow(records)
	if !m.lease.Valid(now) {
		return nil
	}
	complete := m.complete(records, window)
	if !complete && m.wall.Before(m.endOf(window).Add(m.cfg.Collect)) {
		m.nextAt = now + retryEvery
		return nil
	}
	return m.freeze(now, window, records, complete)
}

// firstWindow is the next window to freeze. Before the first one, it is the
// oldest window that has counts.
func (m *Meter) firstWindow(records map[msg.HostID]ownRecord) int64 {
	next := m.nextWindow()
	if m.record.Last > 0 {
		return next
	}
	for _, rec := range records {
		for w := range rec.Windows {
			next = min(next, w)
		}
	}
	return next
}

// complete reports whether all live daemons have written their final counts
// of a window.
func (m *Meter) complete(records map[msg.HostID]ownRecord, window int64) bool {
	return !slices.ContainsFunc(m.entries, func(h msg.Host) bool { return records[h.Host].Through < window })
}

func (m *Meter) freeze(now msg.Time, window int64, records map[msg.HostID]ownRecord, complete bool) []msg.Effect {
	sum := make(counts)
	for _, rec := range records {
		sum = addCounts(sum, rec.Windows[window])
	}
	// All that was frozen before has been reported by now: see unsent.
	next := frozenRecord{Windows: make(map[int64]counts), Last: window, Reported: m.record.Last}
	for w, c := range m.record.Windows {
		if w > window-keepFrozen {
			next.Windows[w] = c
		}
	}
	next.Windows[window] = sum
	m.record = next
	m.open = true
	return []msg.Effect{
		m.frozen.Put(now, tagFreeze, msg.KindWindow, frozenName, next, m.stored, m.lease.Until),
		msg.LogLine{Component: partName, Text: "window frozen", Attrs: []msg.Attr{
			{Key: "window", Value: strconv.FormatInt(window, 10)},
			{Key: "runs", Value: strconv.FormatInt(sum.total(), 10)},
			{Key: "complete", Value: strconv.FormatBool(complete)},
			{Key: "daemons", Value: contributions(records, window)},
		}},
	}
}

// contributions lists the runs that each daemon counted.
func contributions(records map[msg.HostID]ownRecord, window int64) string {
	var parts []string
	for id, rec := range records {
		parts = append(parts, string(id)+"="+strconv.FormatInt(rec.Windows[window].total(), 10))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (m *Meter) onFreeze(now msg.Time, r store.Result) {
	if r.Status == msg.CallOK && !r.Superseded {
		m.stored = r.Object.Version
		return
	}
	m.known = false
	if r.Status != msg.CallConflict {
		m.nextAt = now + retryEvery
	}
}
