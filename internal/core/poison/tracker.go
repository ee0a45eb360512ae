// Package poison keeps requests that crash their targets from bringing down
// more of them.
//
// When a target goes down, every request that ran on it gets a strike. A
// request with one strike is a suspect: it runs again, but never on a target
// that runs another suspect, so that a second crash tells them apart. A
// request with two strikes is refused. A suspect that completes is cleared.
//
// Strikes are told by the side daemon of the crashed target and by the entry
// daemons to all entry daemons, and are kept at the platform. Each is named by
// its attempt, so that hearing of one more than once changes nothing.
package poison

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// CrashLimit is the number of strikes from which a request is refused.
	CrashLimit = 2
	// Retention is the time for which strikes count.
	Retention = time.Hour
	// readEvery is the interval at which the kept strikes are read again.
	readEvery = time.Minute
	// writeEvery bounds the rate of writes.
	writeEvery = time.Second
	// maxRecords bounds the requests with strikes.
	maxRecords = 20_000
)

// Tags of calls to the object API.
const (
	tagRead uint64 = iota + 1
	tagWrite
	tagDelete
)

// batch is the value of one object at the platform.
type batch struct {
	At time.Time `json:"at"`
	msg.CrashNotice
}

// record is what is known of one request.
type record struct {
	fingerprint uint64
	strikes     []msg.AttemptID
	cleared     []msg.AttemptID
	expires     msg.Time
}

func (r *record) count() int {
	n := 0
	for _, a := range r.strikes {
		if !slices.Contains(r.cleared, a) {
			n++
		}
	}
	return n
}

// Tracker holds the strikes that an entry daemon knows of. It is not safe for
// concurrent use.
type Tracker struct {
	writer
	self    msg.HostID
	entries []msg.HostID
	records map[uint64]*record
	readAt  msg.Time
	reading bool
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker { return &Tracker{records: make(map[uint64]*record)} }

// CrashCount returns the number of strikes that count against a request.
func (l *Tracker) CrashCount(fingerprint uint64) int {
	r := l.records[fingerprint]
	if r == nil {
		return 0
	}
	return r.count()
}

// RecordCrash adds a strike of an attempt of this entry.
func (l *Tracker) RecordCrash(now msg.Time, fingerprint uint64, attempt msg.AttemptID) []msg.Effect {
	s := msg.CrashRecord{Fingerprint: fingerprint, Attempt: attempt}
	if !l.strike(now, s) {
		return nil
	}
	notice := msg.CrashNotice{Crashes: []msg.CrashRecord{s}}
	l.add(notice)
	return l.tell(notice)
}

// ClearCrashes takes note that a request completed, so that its strikes count no
// longer.
func (l *Tracker) ClearCrashes(fingerprint uint64) []msg.Effect {
	r := l.records[fingerprint]
	if r == nil || r.count() == 0 {
		return nil
	}
	var notice msg.CrashNotice
	for _, a := range r.strikes {
		notice.Cleared = append(notice.Cleared, msg.CrashRecord{Fingerprint: fingerprint, Attempt: a})
	}
	r.cleared = slices.Clone(r.strikes)
	l.add(notice)
	return l.tell(notice)
}

// Step takes one event.
func (l *Tracker) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		l.self = ev.Self.Host
		l.start(ev)
	case msg.MembersChanged:
		l.entries = l.entries[:0]
		for _, h := range ev.Entries {
			l.entries = append(l.entries, h.Host)
		}
	case msg.PeerReceived:
		if notice, ok := ev.Message.(msg.CrashNotice); ok {
			l.merge(now, notice, Retention)
		}
	case msg.Tick:
		effects = l.onTick(now, ev)
	}
	if l.client == nil {
		return effects
	}
	results, more := l.client.Step(now, ev)
	for _, r := range results {
		effects = append(effects, l.onResult(now, r)...)
	}
	return append(effects, more...)
}

// tell sends a notice to the other entry daemons.
func (l *Tracker) tell(n msg.CrashNotice) []msg.Effect {
	var out []msg.Effect
	for _, h := range l.entries {
		if h != l.self {
			out = append(out, msg.SendPeer{To: h, Message: n})
		}
	}
	return out
}

func (l *Tracker) merge(now msg.Time, n msg.CrashNotice, left time.Duration) {
	for _, s := range n.Crashes {
		l.strikeUntil(s, now+left)
	}
	for _, s := range n.Cleared {
		r := l.record(s.Fingerprint, now+left)
		if !slices.Contains(r.cleared, s.Attempt) {
			r.cleared = append(r.cleared, s.Attempt)
		}
	}
	l.bound()
}

func (l *Tracker) strike(now msg.Time, s msg.CrashRecord) bool {
	added := l.strikeUntil(s, now+Retention)
	l.bound()
	return added
}

// strikeUntil adds a strike and reports whether it is new.
func (l *Tracker) strikeUntil(s msg.CrashRecord, expires msg.Time) bool {
	r := l.record(s.Fingerprint, expires)
	if slices.Contains(r.strikes, s.Attempt) {
		return false
	}
	r.strikes = append(r.strikes, s.Attempt)
	return true
}

func (l *Tracker) record(fingerprint uint64, expires msg.Time) *record {
	r := l.records[fingerprint]
	if r == nil {
		r = &record{fingerprint: fingerprint}
		l.records[fingerprint] = r
	}
	r.expires = max(r.expires, expires)
	return r
}

// bound drops the records that expire first where there are too many.
func (l *Tracker) bound() {
	if len(l.records) <= maxRecords {
		return
	}
	all := make([]*record, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, r := range all[:len(all)-maxRecords*9/10] {
		delete(l.records, r.fingerprint)
	}
}

func (l *Tracker) onTick(now msg.Time, ev msg.Tick) []msg.Effect {
	l.wall = ev.Wall
	if l.client == nil {
		return nil
	}
	effects := l.flush(now)
	if now < l.readAt || l.reading {
		return effects
	}
	l.readAt = now + readEvery
	l.reading = true
	for f, r := range l.records {
		if now >= r.expires {
			delete(l.records, f)
		}
	}
	return append(effects, l.client.List(tagRead, msg.KindPoison, ""))
}

func (l *Tracker) onResult(now msg.Time, r store.Result) []msg.Effect {
	if r.Tag != tagRead {
		l.onWritten(r)
		return nil
	}
	l.reading = false
	if r.Status != msg.CallOK {
		return nil
	}
	var effects []msg.Effect
	for _, o := range r.Objects {
		effects = append(effects, l.onObject(now, o)...)
	}
	return effects
}

// onObject takes the strikes of an object, or removes it where they no longer
// count.
func (l *Tracker) onObject(now msg.Time, o msg.Object) []msg.Effect {
	var b batch
	if json.Unmarshal(o.Value, &b) != nil {
		return nil
	}
	left := Retention - l.wall.Sub(b.At)
	if left <= 0 {
		return []msg.Effect{l.client.Delete(now, tagDelete, msg.KindPoison, o.Name, o.Version)}
	}
	l.merge(now, b.CrashNotice, min(left, Retention))
	return nil
}

// writer keeps notices at the platform, one object each.
type writer struct {
	client  *store.Client
	prefix  string
	wall    time.Time
	seq     int
	pending msg.CrashNotice
	writing msg.CrashNotice
	busy    bool
	writeAt msg.Time
}

func (w *writer) start(ev msg.Started) {
	w.prefix = string(ev.Self.Host) + "/" + string(ev.Incarnation)
	w.client = store.New(store.ComponentPoison, w.prefix)
	w.wall = ev.Wall
}

func (w *writer) add(n msg.CrashNotice) {
	w.pending.Crashes = append(w.pending.Crashes, n.Crashes...)
	w.pending.Cleared = append(w.pending.Cleared, n.Cleared...)
}

// empty reports whether all is kept at the platform.
func (w *writer) empty() bool {
	return !w.busy && len(w.pending.Crashes)+len(w.pending.Cleared) == 0
}

// flush writes what is pending, if the last write is over.
func (w *writer) flush(now msg.Time) []msg.Effect {
	if w.busy || w.empty() || now < w.writeAt {
		return nil
	}
	w.busy = true
	w.writeAt = now + writeEvery
	w.writing = w.pending
	w.pending = msg.CrashNotice{}
	w.seq++
	name := fmt.Sprintf("%s/%d", w.prefix, w.seq)
	return []msg.Effect{w.client.Put(now, tagWrite, msg.KindPoison, name, batch{At: w.wall, CrashNotice: w.writing}, 0, 0)}
}

func (w *writer) onWritten(r store.Result) {
	if r.Tag != tagWrite {
		return
	}
	w.busy = false
	if r.Status != msg.CallOK {
		w.add(w.writing)
	}
	w.writing = msg.CrashNotice{}
}
