package usage

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	tagCollect uint64 = iota + 1
	tagFrozenRead
	tagFreeze
)

// frozenName is the name of the object with the frozen windows.
const frozenName = "frozen"

// frozenWindows is the body of the object with the frozen windows, which are the
// windows whose reported counts are fixed.
type frozenWindows struct {
	Windows map[int64]runCounts `json:"windows"`
	// Last is the highest frozen window.
	Last int64 `json:"last"`
	// Reported is the window up to which all windows were reported when the
	// object was written.
	Reported int64 `json:"reported"`
	// UnconfirmedMS is when the last report was begun that may have got no answer, in Unix
	// milliseconds. It is zero if there is none.
	UnconfirmedMS int64 `json:"unconfirmedMs,omitempty"`
}

// reporter is the state with which the holder of the usage lease freezes and
// reports windows.
type reporter struct {
	frozenStore *store.Client
	entries     []msg.Host
	// recipientSince is when this daemon last became one of those that receive the counts
	// of the others. It has no meaning while the daemon is none of them.
	recipientSince time.Time

	lease lease.Authority

	// frozenLoaded is set while frozen is known to be the body of the object
	// with the frozen windows, at its version frozenVersion.
	frozenLoaded  bool
	frozen        frozenWindows
	frozenVersion msg.Version
	callPending   bool
	retryAt       msg.Time
	// reported holds the windows whose reports the platform has accepted or
	// rejected since this process acquired the lease. They are not sent again.
	reported map[int64]bool

	lastCall        msg.CallID
	reportingWindow int64
	unconfirmed

	// toldLast is the last frozen window whose counts the candidates were told.
	toldLast int64
	// remembered holds the frozen windows that this process knows of, also if the store
	// has lost them.
	remembered frozenWindows
	// era is the era of the store. lossAt is when this process learnt that the store had
	// lost writes, if it did, and heldAtLoss reports whether it held the lease then.
	era        msg.StoreEra
	lossAt     time.Time
	heldAtLoss bool
	// restoredEra is the era in which restoreLost was last called.
	restoredEra msg.StoreEra
}

func newReporter(writer string) reporter {
	return reporter{frozenStore: store.New(store.ComponentWindows, writer), reported: make(map[int64]bool)}
}

func (m *Meter) stepReporter(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := m.frozenStore.Step(now, ev)
	for _, r := range results {
		effs = append(effs, m.onFrozenResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.MembersChanged:
		m.onMembers(ev)
	case msg.LeaseChanged:
		if ev.Name == LeaseName {
			m.onLease(ev)
		}
	case msg.PeerReceived:
		if f, ok := ev.Message.(msg.WindowsFrozen); ok {
			m.remember(f)
		}
	case msg.StoreReachable:
		m.retryAt = min(m.retryAt, now)
	case msg.WindowReported:
		if ev.Call == m.lastCall {
			effs = append(effs, m.onReported(now, ev)...)
		}
	}
	return effs
}

func (m *Meter) onLease(ev msg.LeaseChanged) {
	if m.lease.Update(ev) {
		m.frozenLoaded = false
		m.reported = make(map[int64]bool)
		m.known = false
	}
}

// advanceReport makes the lease holder's next call: it reads the frozen windows, reports
// one of them or writes that a report is unconfirmed, or reads the daemons' counts to freeze
// the windows that are due.
func (m *Meter) advanceReport(now msg.Time) []msg.Effect {
	if !m.lease.Valid(now) || now < m.retryAt || m.callPending {
		return nil
	}
	if !m.frozenLoaded {
		m.callPending = true
		return []msg.Effect{m.frozenStore.Get(tagFrozenRead, msg.KindWindow, m.era.Name(frozenName))}
	}
	effs := m.updateHold()
	if effect, ok := m.nextReport(now); ok {
		return append(effs, effect)
	}
	return append(effs, m.collect()...)
}

// nextReport returns the next report of a frozen window, or the write that has to
// precede or to follow the reports.
func (m *Meter) nextReport(now msg.Time) (msg.Effect, bool) {
	w, ok := m.nextUnreported()
	switch {
	case m.held:
		return nil, false
	case ok && !m.announced:
		return m.writeUnconfirmed(now, m.nextUnconfirmedMS()), true
	case ok:
		return m.report(w), true
	case m.frozen.UnconfirmedMS > m.unansweredMS:
		return m.writeUnconfirmed(now, m.unansweredMS), true
	}
	return nil, false
}

// collect reads the daemons' counts if a window may be due to be frozen.
func (m *Meter) collect() []msg.Effect {
	if m.wall.Before(m.endOf(m.nextWindow()).Add(collectDelay)) {
		return nil
	}
	m.callPending = true
	return []msg.Effect{m.frozenStore.List(tagCollect, msg.KindRuns, "")}
}

// nextWindow returns the window after the last frozen one. If none was frozen
// before, it returns the window in which this process began to count.
func (m *Meter) nextWindow() int64 {
	if m.frozen.Last > 0 {
		return m.frozen.Last + 1
	}
	return m.windowOf(m.startWall)
}

// nextUnreported returns the frozen window to report next, and whether there is one. It is
// the oldest whose report is not overdue, or the oldest if all are.
func (m *Meter) nextUnreported() (int64, bool) {
	unreported := m.unreported()
	if len(unreported) == 0 {
		return 0, false
	}
	for _, w := range unreported {
		if m.wall.Before(m.reportDue(w)) {
			return w, true
		}
	}
	return unreported[0], true
}

// unreported returns the frozen windows that this holder has not reported yet, in
// ascending order.
func (m *Meter) unreported() []int64 {
	var out []int64
	for w := range m.frozen.Windows {
		if w > m.frozen.Reported && !m.reported[w] {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// reportedThrough returns the window up to which all windows were reported.
func (m *Meter) reportedThrough() int64 {
	if unreported := m.unreported(); len(unreported) > 0 {
		return unreported[0] - 1
	}
	return m.frozen.Last
}

func (m *Meter) report(window int64) msg.Effect {
	m.lastCall++
	m.callPending = true
	m.announced = false
	m.reportingWindow = window
	return msg.ReportWindow{
		Call: m.lastCall, Holder: m.cfg.Self, Epoch: m.lease.Epoch,
		Window: window, Counts: m.frozen.Windows[window], NotAfter: m.lease.Until,
	}
}

func (m *Meter) onReported(now msg.Time, ev msg.WindowReported) []msg.Effect {
	m.callPending = false
	text := "usage window reported"
	level := msg.LogInfo
	if ev.Status == msg.CallOK {
		m.reported[m.reportingWindow] = true
	} else {
		text = "usage window could not be reported"
		level = msg.LogWarn
		m.retryAt = now + retryInterval
		switch ev.Status {
		case msg.CallRejected:
			m.reported[m.reportingWindow] = true
		case msg.CallUnknown:
			m.unansweredMS = max(m.unansweredMS, m.frozen.UnconfirmedMS)
		}
	}
	return []msg.Effect{msg.LogLine{Component: logComponent, Level: level, Text: text, Attrs: []msg.Attr{
		{Key: "window", Value: strconv.FormatInt(m.reportingWindow, 10)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(m.lease.Epoch), 10)},
		{Key: "reason", Value: ev.Reason},
	}}}
}

func (m *Meter) onFrozenResult(now msg.Time, r store.Result) []msg.Effect {
	m.callPending = false
	switch r.Tag {
	case tagFrozenRead:
		m.onFrozenRead(now, r)
	case tagCollect:
		return m.onRecordsListed(now, r)
	case tagFreeze:
		return m.onFrozenWritten(now, r)
	}
	return nil
}

func (m *Meter) onFrozenRead(now msg.Time, r store.Result) {
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		m.retryAt = now + retryInterval
		return
	}
	rec := frozenWindows{Windows: make(map[int64]runCounts)}
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) != nil {
		m.retryAt = now + retryInterval
		return
	}
	m.frozenLoaded = true
	m.frozen = rec
	if r.Status == msg.CallNotFound && m.era > msg.FirstStoreEra {
		m.frozen = m.restoreLost()
	}
	m.frozenVersion = r.Object.Version
	m.remembered = m.frozen
	m.inherit()
}
