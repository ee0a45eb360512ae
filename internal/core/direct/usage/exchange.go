package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// sendInterval is the time between two messages with counts.
	sendInterval = time.Second
	// sentWindows is the number of windows with complete counts in a message. The
	// message holds all later windows as well.
	sentWindows = 3
	// recipients is the number of daemons that receive the counts, and remember the frozen
	// windows. They are the candidates for the usage lease.
	recipients = 3
)

// sendRuns sends this daemon's counts to the daemons that may hold the usage lease
// and then report them, so that its runs are counted even if it is killed or
// can't reach the platform.
func (m *Meter) sendRuns(now msg.Time) []msg.Effect {
	if now < m.sendAt || !m.unsentRuns {
		return nil
	}
	m.sendAt = now + sendInterval
	m.unsentRuns = false
	update := msg.RunCounts{Through: m.completeThrough}
	for w, c := range m.snapshot().Windows {
		if w > m.completeThrough-sentWindows {
			update.Windows = append(update.Windows, msg.WindowRuns{Window: w, Counts: c})
		}
	}
	slices.SortFunc(update.Windows, func(a, b msg.WindowRuns) int { return cmp.Compare(a.Window, b.Window) })
	return m.tell(update)
}

// tell sends a message to the other daemons that may hold the usage lease.
func (m *Meter) tell(message msg.PeerMessage) []msg.Effect {
	var effs []msg.Effect
	for _, h := range rendezvous.Spread(string(LeaseName), m.entries, recipients) {
		if h.Host != m.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h.Host, Message: message})
		}
	}
	return effs
}

// onMembers notes the live entry daemons, and since when they send their counts to this one.
func (m *Meter) onMembers(ev msg.MembersChanged) {
	was := m.isRecipient()
	m.entries = ev.Entries
	if !was {
		m.recipientSince = m.wall
	}
}

// isRecipient reports whether the other daemons send their counts to this one.
func (m *Meter) isRecipient() bool {
	chosen := rendezvous.Spread(string(LeaseName), m.entries, recipients)
	return slices.ContainsFunc(chosen, func(h msg.Host) bool { return h.Host == m.cfg.Self })
}

// onPeerRuns records the counts that another daemon sent. Those of earlier windows are kept
// for as long as the windows may still have to be frozen: while the store is away, they may
// be nowhere else.
func (m *Meter) onPeerRuns(from msg.HostID, runs msg.RunCounts) {
	rec := daemonRecord{Windows: make(map[int64]runCounts, len(runs.Windows)), Through: runs.Through}
	for w, c := range m.peerRecords[from].Windows {
		if w > runs.Through-keptFrozen {
			rec.Windows[w] = c
		}
	}
	for _, w := range runs.Windows {
		rec.Windows[w.Window] = maxCounts(rec.Windows[w.Window], w.Counts)
	}
	m.peerRecords[from] = rec
}

// mergePeerRecords merges the counts received from other daemons, and this daemon's own,
// into the records read from the platform. Counts only grow, so the higher of two counts
// is the newer one.
func (m *Meter) mergePeerRecords(records map[msg.HostID]daemonRecord) {
	if m.recordLoaded { // the counts of earlier processes are known
		m.peerRecords[m.cfg.Self] = m.snapshot()
	}
	for id, peer := range m.peerRecords {
		rec, ok := records[id]
		if !ok {
			rec = daemonRecord{Windows: make(map[int64]runCounts)}
		}
		if rec.Windows == nil {
			rec.Windows = make(map[int64]runCounts)
		}
		rec.Through = max(rec.Through, peer.Through)
		for w, c := range peer.Windows {
			rec.Windows[w] = maxCounts(rec.Windows[w], c)
		}
		records[id] = rec
	}
}

// maxCounts returns the higher count of each account.
func maxCounts(a, b runCounts) runCounts {
	out := make(runCounts, len(a))
	for id, n := range a {
		out[id] = n
	}
	for id, n := range b {
		out[id] = max(out[id], n)
	}
	return out
}
