package directusage

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// tellEvery is the time between two messages with counts.
	tellEvery = time.Second
	// toldWindows is the number of windows in a message.
	toldWindows = 3
	// listeners is the number of daemons that are told: the candidates for
	// the lease.
	listeners = 3
)

// tell sends this daemon's counts to those that may have to report them, so
// that a daemon which is cut off from the platform or killed is still counted.
func (m *Meter) tell(now msg.Time) []msg.Effect {
	if now < m.tellAt || !m.untold {
		return nil
	}
	m.tellAt = now + tellEvery
	m.untold = false
	update := msg.RunCounts{Through: m.through}
	for w, c := range m.snapshot().Windows {
		if w > m.through-toldWindows {
			update.Windows = append(update.Windows, msg.WindowRuns{Window: w, Counts: c})
		}
	}
	slices.SortFunc(update.Windows, func(a, b msg.WindowRuns) int { return cmp.Compare(a.Window, b.Window) })
	var effs []msg.Effect
	for _, h := range rendezvous.Spread(string(LeaseName), m.entries, listeners) {
		if h.Host != m.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h.Host, Message: update})
		}
	}
	return effs
}

// hear keeps the counts of another daemon.
func (m *Meter) hear(from msg.HostID, runs msg.RunCounts) {
	rec := ownRecord{Windows: make(map[int64]counts, len(runs.Windows)), Through: runs.Through}
	for _, w := range runs.Windows {
		rec.Windows[w.Window] = w.Counts
	}
	m.heard[from] = rec
}

// merge adds what was heard to the records at the platform. Counts only grow,
// so the higher one is the later.
func (m *Meter) merge(records map[msg.HostID]ownRecord) {
	for id, h := range m.heard {
		rec, ok := records[id]
		if !ok {
			rec = ownRecord{Windows: make(map[int64]counts)}
		}
		if rec.Windows == nil {
			rec.Windows = make(map[int64]counts)
		}
		rec.Through = max(rec.Through, h.Through)
		for w, c := range h.Windows {
			rec.Windows[w] = highest(rec.Windows[w], c)
		}
		records[id] = rec
	}
}

func highest(a, b counts) counts {
	out := make(counts, len(a))
	for id, n := range a {
		out[id] = n
	}
	for id, n := range b {
		out[id] = max(out[id], n)
	}
	return out
}
