// Package poison protects targets from requests that crash them.
//
// When a target goes down, a crash is recorded for every request that ran on
// it. A request with one crash is a suspect: it runs again, but never on a
// target that runs another suspect, so that a second crash shows which of them
// caused it. A request with two crashes is refused. A suspect that completes is
// cleared, so that its crashes no longer count.
//
// Crashes are also recorded for the segments that prompts share (see segment.go), since
// prompts that differ in everything else may crash targets by one of them.
//
// On the direct path, crashes are told apart by the processes that went down, and copies
// of a request are let through one at a time where its crashes may have had another cause
// (see request.go).
//
// The side daemon of a crashed target and the entry daemons send crash records
// to all entry daemons, and store them at the platform. A crash record has an ID, so that
// receiving one more than once has no further effect.
//
// Messages and stored records may be lost. Entry daemons therefore compare what they
// hold in pairs (see sync.go), so that each record reaches all of them as long as one
// holds it.
package poison

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// CrashLimit is the number of crashes at which a request is refused.
	CrashLimit = 2
	// Retention is the time for which crashes count.
	Retention = time.Hour
	// readInterval is the interval at which the stored crash records are read.
	readInterval = time.Minute
	// minReadBackoff and maxReadBackoff limit the delay after a failed read, which
	// doubles with each failure in a row.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// maxHistories is the maximum number of requests and segments for which crashes are
	// kept.
	maxHistories = 20_000
)

// Tags of calls to the object API.
const (
	tagRead uint64 = iota + 1
	tagWrite
	tagDelete
)

// Tracker holds the crash records that an entry daemon has received. It is not
// safe for concurrent use.
type Tracker struct {
	crashWriter
	self msg.HostID
	// entries holds all entry daemons, including this one, and histories the crashes of
	// requests and segments, by fingerprint.
	entries   []msg.Host
	histories map[uint64]*crashHistory
	// blocked holds the histories of segments with SegmentCrashLimit crashes or more.
	blocked map[uint64]*crashHistory
	// completions holds the last completed answer to a prompt with each segment.
	completions completions
	nextReadAt  msg.Time
	reading     bool
	// nextExpiryAt is when expired histories are removed next.
	nextExpiryAt msg.Time
	syncState
	// readBackoff is the delay after the last failed read.
	readBackoff time.Duration
}

// NewTracker returns a tracker without crash records.
func NewTracker() *Tracker {
	return &Tracker{
		histories: make(map[uint64]*crashHistory), blocked: make(map[uint64]*crashHistory),
		completions: make(completions),
	}
}

// CrashCount returns the number of crashes that count against a request.
func (t *Tracker) CrashCount(fingerprint uint64) int {
	h := t.histories[fingerprint]
	if h == nil {
		return 0
	}
	return h.count()
}

// RecordCrash records a crash during an attempt of this entry.
func (t *Tracker) RecordCrash(now msg.Time, fingerprint uint64, attempt msg.AttemptID) []msg.Effect {
	return t.RecordCrashes(now, []msg.CrashRecord{{Fingerprint: fingerprint, ID: msg.CrashID(attempt)}})
}

// RecordCrashes records crashes that this entry has observed.
func (t *Tracker) RecordCrashes(now msg.Time, records []msg.CrashRecord) []msg.Effect {
	var notice msg.CrashNotice
	var effects []msg.Effect
	for _, r := range records {
		if added := t.addCrash(r, now+timeLeft(r), msg.CrashObserved); added != nil {
			effects = append(effects, added...)
			notice.Crashes = append(notice.Crashes, r)
		}
	}
	if len(notice.Crashes) == 0 {
		return nil
	}
	effects = append(effects, t.evict()...)
	t.enqueue(notice)
	effects = append(effects, t.broadcast(notice)...)
	return append(effects, t.clearRefuted(notice.Crashes)...)
}

// Step handles one event.
func (t *Tracker) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		t.self = ev.Self.Host
		t.start(ev)
	case msg.MembersChanged:
		t.entries = ev.Entries
		t.stale = true
	case msg.PeerReceived:
		effects = t.onPeerMessage(now, ev)
	case msg.StoreEraChanged:
		if ev.LostWrites() {
			t.storeAgain(now)
		}
	case msg.Tick:
		effects = t.onTick(now, ev)
	}
	if t.client == nil {
		return effects
	}
	results, more := t.client.Step(now, ev)
	for _, r := range results {
		effects = append(effects, t.onResult(now, r)...)
	}
	return append(effects, more...)
}

func (t *Tracker) onPeerMessage(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.CrashNotice:
		return t.applyNotice(now, m, 0, msg.CrashFromPeer)
	case msg.CrashDigest:
		return t.onDigest(now, ev.From, m)
	}
	return nil
}

// broadcast sends a notice to the other entry daemons, in parts if it is long.
func (t *Tracker) broadcast(n msg.CrashNotice) []msg.Effect {
	var out []msg.Effect
	for _, part := range split(n) {
		for _, h := range t.entries {
			if h.Host != t.self {
				out = append(out, msg.SendPeer{To: h.Host, Message: part})
			}
		}
	}
	return out
}

// applyNotice adds the crashes of a notice of the given age and the crashes that it
// clears. It returns the events of the crashes that are new.
func (t *Tracker) applyNotice(now msg.Time, n msg.CrashNotice, age time.Duration, source msg.CrashSource) []msg.Effect {
	var effects []msg.Effect
	for _, s := range n.Crashes {
		if left := timeLeft(s) - age; left > 0 {
			effects = append(effects, t.addCrash(s, now+left, source)...)
		}
	}
	for _, s := range n.Cleared {
		if left := timeLeft(s) - age; left > 0 {
			effects = append(effects, t.addCleared(s, now+left)...)
		}
	}
	effects = append(effects, t.evict()...)
	return append(effects, t.clearRefuted(n.Crashes)...)
}

// addCleared adds the clearance of a crash.
func (t *Tracker) addCleared(s msg.CrashRecord, expires msg.Time) []msg.Effect {
	h := t.historyOf(s, expires)
	if slices.Contains(h.cleared, s.ID) {
		return nil
	}
	h.cleared = append(h.cleared, s.ID)
	return t.updateBlocked(h)
}

// addCrash adds a crash that counts until expires. It returns an event if the crash
// is new, and nil otherwise.
func (t *Tracker) addCrash(s msg.CrashRecord, expires msg.Time, source msg.CrashSource) []msg.Effect {
	h := t.historyOf(s, expires)
	if slices.ContainsFunc(h.crashes, func(c crash) bool { return c.id == s.ID }) {
		return nil
	}
	at := expires - Retention
	h.crashes = append(h.crashes, crash{id: s.ID, at: at, sentAt: at - time.Duration(s.RanMS)*time.Millisecond})
	slices.SortFunc(h.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	t.stale = true
	recorded := msg.Raise{Event: msg.CrashRecorded{Record: s, Source: source, Count: h.count()}}
	return append([]msg.Effect{recorded}, t.updateBlocked(h)...)
}

// historyOf returns the history to which a record belongs, which it creates if there is
// none. The history is kept at least until expires.
func (t *Tracker) historyOf(s msg.CrashRecord, expires msg.Time) *crashHistory {
	h := t.histories[s.Fingerprint]
	if h == nil {
		h = &crashHistory{fingerprint: s.Fingerprint, segment: s.Segment}
		t.histories[s.Fingerprint] = h
	}
	h.expires = max(h.expires, expires)
	return h
}

// evict removes the histories that expire first once there are more than
// maxHistories, and keeps nine tenths of maxHistories.
func (t *Tracker) evict() []msg.Effect {
	if len(t.histories) <= maxHistories {
		return nil
	}
	all := make([]*crashHistory, 0, len(t.histories))
	for _, h := range t.histories {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *crashHistory) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), compareFingerprints(a, b))
	})
	for _, h := range all[:len(all)-maxHistories*9/10] {
		delete(t.histories, h.fingerprint)
		h.crashes = nil
	}
	return t.unblockForgotten()
}

// onTick writes pending notices and compares records with other daemons. At each
// readInterval it also removes the histories that have expired and reads the stored
// batches.
func (t *Tracker) onTick(now msg.Time, ev msg.Tick) []msg.Effect {
	t.wall = ev.Wall
	effects := t.removeExpired(now)
	if t.client == nil {
		return effects
	}
	effects = append(effects, t.flush(now)...)
	effects = append(effects, t.sync(now)...)
	if now < t.nextReadAt || t.reading {
		return effects
	}
	t.nextReadAt = now + readInterval
	t.reading = true
	return append(effects, t.client.List(tagRead, msg.KindPoison, ""))
}

// removeExpired removes the crashes and histories that have expired, at each
// readInterval.
func (t *Tracker) removeExpired(now msg.Time) []msg.Effect {
	if now < t.nextExpiryAt {
		return nil
	}
	t.nextExpiryAt = now + readInterval
	t.completions.removeExpired(now)
	for _, h := range t.histories {
		if now >= h.expires {
			delete(t.histories, h.fingerprint)
		}
		h.crashes = slices.DeleteFunc(h.crashes, func(c crash) bool { return now >= c.at+Retention })
	}
	return t.unblockForgotten()
}

func (t *Tracker) onResult(now msg.Time, r store.Result) []msg.Effect {
	if r.Tag != tagRead {
		t.onWritten(r)
		return nil
	}
	t.reading = false
	if r.Status != msg.CallOK {
		t.readBackoff = min(max(2*t.readBackoff, minReadBackoff), maxReadBackoff)
		t.nextReadAt = now + t.readBackoff
		return nil
	}
	t.readBackoff = 0
	var effects []msg.Effect
	for _, o := range r.Objects {
		effects = append(effects, t.onObject(now, o)...)
	}
	return effects
}

// onObject applies a stored batch, or deletes it if its crashes no longer
// count.
func (t *Tracker) onObject(now msg.Time, o msg.Object) []msg.Effect {
	var b storedBatch
	if json.Unmarshal(o.Value, &b) != nil {
		return nil
	}
	age := max(t.wall.Sub(b.At), 0)
	if age >= Retention {
		return []msg.Effect{t.client.Delete(now, tagDelete, msg.KindPoison, o.Name, o.Version)}
	}
	return t.applyNotice(now, b.CrashNotice, age, msg.CrashFromStore)
}

// storeAgain writes the records that the store may have lost. Each is written by the
// entry daemon that ranks first for its fingerprint.
func (t *Tracker) storeAgain(now msg.Time) {
	own := func(h *crashHistory) bool {
		return rendezvous.Rank(strconv.FormatUint(h.fingerprint, 16), t.self, t.entries) == 0
	}
	var again msg.CrashNotice
	for _, h := range t.historiesOf(now, own) {
		again = appendHistory(again, now, h)
	}
	t.enqueue(again)
}
