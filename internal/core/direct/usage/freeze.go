package usage

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// keptFrozen is the number of frozen windows that the object holds.
const keptFrozen = 8

// onRecordsListed freezes the windows that are due, with the counts of all daemons.
func (m *Meter) onRecordsListed(now msg.Time, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK {
		m.retryAt = now + retryInterval
		return nil
	}
	records := make(map[msg.HostID]daemonRecord, len(r.Objects))
	for _, o := range r.Objects {
		var rec daemonRecord
		if json.Unmarshal(o.Value, &rec) == nil {
			records[msg.HostID(o.Name)] = rec
		}
	}
	m.mergePeerRecords(records)
	if !m.lease.Valid(now) {
		return nil
	}
	first := m.windowToFreeze(records)
	last := m.lastDue(records, first)
	if last < first {
		m.retryAt = now + retryInterval
		return nil
	}
	return m.freeze(now, first, last, records)
}

// lastDue returns the last of the windows from first on that can be frozen now. After an
// outage of the store, several windows are due at once.
func (m *Meter) lastDue(records map[msg.HostID]daemonRecord, first int64) int64 {
	w := first
	for ; w < first+keptFrozen && !m.wall.Before(m.endOf(w).Add(collectDelay)); w++ {
		if !m.complete(records, w) && m.wall.Before(m.endOf(w).Add(m.cfg.CollectTimeout)) {
			break
		}
	}
	return w - 1
}

// windowToFreeze returns the next window to freeze. If none was frozen before,
// this is the oldest window that has counts, or the result of nextWindow if that
// is earlier.
func (m *Meter) windowToFreeze(records map[msg.HostID]daemonRecord) int64 {
	next := m.nextWindow()
	if m.frozen.Last > 0 {
		return next
	}
	for _, rec := range records {
		for w := range rec.Windows {
			next = min(next, w)
		}
	}
	return next
}

// complete reports whether the records hold the complete counts of a window from all live
// daemons. A daemon that has told nothing since before the window began, neither by record
// nor by message, has stopped, and nothing of it is to come. Only a daemon that has received
// the others' messages for a whole window before can tell.
func (m *Meter) complete(records map[msg.HostID]daemonRecord, window int64) bool {
	hearsAll := m.isRecipient() && !m.recipientSince.After(m.endOf(window-2))
	return !slices.ContainsFunc(m.entries, func(h msg.Host) bool {
		rec, known := records[h.Host]
		stopped := hearsAll && known && rec.Through < window-1
		return rec.Through < window && !stopped
	})
}

// freeze writes the counts of the windows from first to last in one write. Their reports
// follow at once unless they have to wait.
func (m *Meter) freeze(now msg.Time, first, last int64, records map[msg.HostID]daemonRecord) []msg.Effect {
	next := frozenWindows{Windows: make(map[int64]runCounts), Last: last, Reported: m.reportedThrough(), UnconfirmedMS: m.nextUnconfirmedMS()}
	if m.held {
		next.UnconfirmedMS = m.frozen.UnconfirmedMS
	}
	for w, c := range m.frozen.Windows {
		if w > last-keptFrozen {
			next.Windows[w] = c
		}
	}
	var effs []msg.Effect
	for w := first; w <= last; w++ {
		sum := make(runCounts)
		for _, rec := range records {
			sum = addCounts(sum, rec.Windows[w])
		}
		next.Windows[w] = sum
		effs = append(effs, msg.LogLine{Component: logComponent, Text: "usage window frozen", Attrs: []msg.Attr{
			{Key: "window", Value: strconv.FormatInt(w, 10)},
			{Key: "runs", Value: strconv.FormatInt(sum.total(), 10)},
			{Key: "complete", Value: strconv.FormatBool(m.complete(records, w))},
			{Key: "daemons", Value: runsByDaemon(records, w)},
		}})
	}
	return append(effs, m.writeFrozen(now, next))
}

// writeFrozen writes the object with the frozen windows.
func (m *Meter) writeFrozen(now msg.Time, next frozenWindows) msg.Effect {
	m.frozen = next
	m.callPending = true
	m.announced = false
	return m.frozenStore.Put(now, tagFreeze, msg.KindWindow, m.era.Name(frozenName), next, m.frozenVersion, m.lease.Until)
}

// runsByDaemon returns the numbers of runs that each daemon counted in a window,
// for the log.
func runsByDaemon(records map[msg.HostID]daemonRecord, window int64) string {
	var parts []string
	for id, rec := range records {
		parts = append(parts, string(id)+"="+strconv.FormatInt(rec.Windows[window].total(), 10))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (m *Meter) onFrozenWritten(now msg.Time, r store.Result) []msg.Effect {
	if r.Status == msg.CallOK && !r.Superseded {
		m.frozenVersion = r.Object.Version
		m.remembered = m.frozen
		m.announced = !m.held && m.frozen.UnconfirmedMS > m.unansweredMS
		return m.tellCandidates()
	}
	m.frozenLoaded = false
	if r.Status != msg.CallConflict {
		m.retryAt = now + retryInterval
	}
	return nil
}
