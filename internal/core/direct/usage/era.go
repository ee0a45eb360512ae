package usage

import (
	"maps"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// A store that comes back older may have lost frozen windows whose counts were reported.
// No window may be reported with other counts. The holder therefore tells the daemons
// that may follow it which windows it has frozen, before it reports them. A daemon that
// finds windows missing restores those it remembers, and gives up those that another
// holder may have reported with counts it does not know.

// maxAuthority is how long a holder that has not learnt of the loss may go on.
const maxAuthority = 4 * time.Second

// onEraChanged has this daemon's record written again, and the frozen windows read
// again.
func (m *Meter) onEraChanged(now msg.Time, ev msg.StoreEraChanged) {
	m.era = ev.Era
	if !ev.LostWrites() {
		return
	}
	m.dirty, m.writtenThrough = true, 0
	m.flushAt = now + store.RewriteDelay(m.cfg.Self)
	m.frozenLoaded = false
	m.lossAt = m.wall
	m.heldAtLoss = m.lease.Valid(now)
}

// lostThrough returns the last window that a holder before the loss may have reported.
// A process that started after the loss does not know when it was.
func (m *Meter) lostThrough() int64 {
	last := m.wall
	if !m.lossAt.IsZero() {
		last = m.lossAt.Add(maxAuthority)
	}
	return m.windowOf(last.Add(-collectDelay)) - 1
}

// tellCandidates tells the daemons that may follow as holder which windows are frozen, and
// whether a report is unconfirmed. It tells the counts once.
func (m *Meter) tellCandidates() []msg.Effect {
	notice := msg.WindowsFrozen{Last: m.frozen.Last, UnconfirmedMS: m.frozen.UnconfirmedMS}
	if m.toldLast != m.frozen.Last {
		m.toldLast = m.frozen.Last
		notice.Windows = make(map[int64]map[msg.AccountID]int64, len(m.frozen.Windows))
		for w, c := range m.frozen.Windows {
			notice.Windows[w] = c
		}
	}
	return m.tell(notice)
}

// remember records the windows that the holder has frozen.
func (m *Meter) remember(f msg.WindowsFrozen) {
	if f.Last == m.remembered.Last {
		m.remembered.UnconfirmedMS = f.UnconfirmedMS
	}
	if f.Last <= m.remembered.Last || len(f.Windows) == 0 {
		return
	}
	m.remembered = frozenWindows{Windows: make(map[int64]runCounts, len(f.Windows)), Last: f.Last, UnconfirmedMS: f.UnconfirmedMS}
	for w, c := range f.Windows {
		m.remembered.Windows[w] = c
	}
}

// restoreLost returns the frozen windows with which this daemon begins as the first
// holder in an era of the store. It gives up windows once: while nobody has frozen any in
// the era, those that it gave up first are all that holders before the loss may have
// reported.
func (m *Meter) restoreLost() frozenWindows {
	rec := frozenWindows{Windows: maps.Clone(m.remembered.Windows), Last: m.remembered.Last, UnconfirmedMS: m.remembered.UnconfirmedMS}
	if rec.Windows == nil {
		rec.Windows = make(map[int64]runCounts)
	}
	if !m.heldAtLoss && m.restoredEra != m.era {
		rec.Last = max(rec.Last, m.lostThrough())
	}
	m.restoredEra = m.era
	return rec
}
