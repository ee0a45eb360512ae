package meter

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

func (p *Part) stepReporter(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := p.frozen.Step(now, ev)
	for _, r := range results {
		effs = append(effs, p.onFrozen(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.MembersChanged:
		p.entries = ev.Entries
	case msg.LeaseChanged:
		if ev.Name == LeaseName {
			p.onLease(ev)
		}
	case msg.WindowReported:
		if ev.Call == p.lastCall {
			effs = append(effs, p.onReported(now, ev)...)
		}
	}
	return effs
}

func (p *Part) onLease(ev msg.LeaseChanged) {
	if p.lease.Take(ev) {
		p.known = false
		p.sent = make(map[int64]bool)
	}
}

// advance takes the holder's next step.
func (p *Part) advance(now msg.Time) []msg.Effect {
	if !p.lease.Holds(now) || now < p.nextAt || p.open {
		return nil
	}
	if !p.known {
		p.open = true
		return []msg.Effect{p.frozen.Get(tagFrozenRead, msg.KindWindow, frozenName)}
	}
	if w, ok := p.unsent(); ok {
		return []msg.Effect{p.send(w)}
	}
	if p.wall.Before(p.endOf(p.nextWindow()).Add(collectAfter)) {
		return nil
	}
	p.open = true
	return []msg.Effect{p.frozen.List(tagCollect, msg.KindRuns, "")}
}

// nextWindow is the window to freeze next. Where none was frozen before, it
// is the one in which this process began to count.
func (p *Part) nextWindow() int64 {
	if p.record.Last > 0 {
		return p.record.Last + 1
	}
	return p.windowOf(p.since)
}

// unsent returns the oldest frozen window that this holder has not reported.
func (p *Part) unsent() (int64, bool) {
	var best int64
	for w := range p.record.Windows {
		if w > p.record.Reported && !p.sent[w] && (best == 0 || w < best) {
			best = w
		}
	}
	return best, best != 0
}

func (p *Part) send(window int64) msg.Effect {
	p.lastCall++
	p.open = true
	p.reporting = window
	return msg.ReportWindow{
		Call: p.lastCall, Holder: p.cfg.Self, Epoch: p.lease.Epoch,
		Window: window, Counts: p.record.Windows[window], NotAfter: p.lease.Until,
	}
}

func (p *Part) onReported(now msg.Time, ev msg.WindowReported) []msg.Effect {
	p.open = false
	text := "window reported"
	level := msg.LogInfo
	if ev.Status == msg.CallOK {
		p.sent[p.reporting] = true
	} else {
		text = "window not reported"
		level = msg.LogWarn
		p.nextAt = now + retryEvery
		if ev.Status == msg.CallRejected {
			p.sent[p.reporting] = true
		}
	}
	return []msg.Effect{msg.LogLine{Component: partName, Level: level, Text: text, Attrs: []msg.Attr{
		{Key: "window", Value: strconv.FormatInt(p.reporting, 10)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(p.lease.Epoch), 10)},
		{Key: "reason", Value: ev.Reason},
	}}}
}

func (p *Part) onFrozen(now msg.Time, r store.Result) []msg.Effect {
	p.open = false
	switch r.Tag {
	case tagFrozenRead:
		p.onFrozenRead(now, r)
	case tagCollect:
		return p.onCollected(now, r)
	case tagFreeze:
		p.onFreeze(now, r)
	}
	return nil
}

func (p *Part) onFrozenRead(now msg.Time, r store.Result) {
	if r.Status != msg.CallOK && r.Status != msg.CallNotFound {
		p.nextAt = now + retryEvery
		return
	}
	rec := frozenRecord{Windows: make(map[int64]counts)}
	if r.Status == msg.CallOK && json.Unmarshal(r.Object.Value, &rec) != nil {
		p.nextAt = now + retryEvery
		return
	}
	p.known = true
	p.record = rec
	p.stored = r.Object.Version
}

func (p *Part) onCollected(now msg.Time, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK {
		p.nextAt = now + retryEvery
		return nil
	}
	records := make(map[msg.HostID]ownRecord, len(r.Objects))
	for _, o := range r.Objects {
		var rec ownRecord
		if json.Unmarshal(o.Value, &rec) == nil {
			records[msg.HostID(o.Name)] = rec
		}
	}
	p.merge(records)
	window := p.firstWindow(records)
	if !p.lease.Holds(now) {
		return nil
	}
	complete := p.complete(records, window)
	if !complete && p.wall.Before(p.endOf(window).Add(p.cfg.Collect)) {
		p.nextAt = now + retryEvery
		return nil
	}
	return p.freeze(now, window, records, complete)
}

// firstWindow is the next window to freeze. Before the first one, it is the
// oldest window that has counts.
func (p *Part) firstWindow(records map[msg.HostID]ownRecord) int64 {
	next := p.nextWindow()
	if p.record.Last > 0 {
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
func (p *Part) complete(records map[msg.HostID]ownRecord, window int64) bool {
	return !slices.ContainsFunc(p.entries, func(h msg.Host) bool { return records[h.Host].Through < window })
}

func (p *Part) freeze(now msg.Time, window int64, records map[msg.HostID]ownRecord, complete bool) []msg.Effect {
	sum := make(counts)
	for _, rec := range records {
		sum = addCounts(sum, rec.Windows[window])
	}
	// All that was frozen before has been reported by now: see unsent.
	next := frozenRecord{Windows: make(map[int64]counts), Last: window, Reported: p.record.Last}
	for w, c := range p.record.Windows {
		if w > window-keepFrozen {
			next.Windows[w] = c
		}
	}
	next.Windows[window] = sum
	p.record = next
	p.open = true
	return []msg.Effect{
		p.frozen.Put(now, tagFreeze, msg.KindWindow, frozenName, next, p.stored, p.lease.Until),
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

func (p *Part) onFreeze(now msg.Time, r store.Result) {
	if r.Status == msg.CallOK && !r.Superseded {
		p.stored = r.Object.Version
		return
	}
	p.known = false
	if r.Status != msg.CallConflict {
		p.nextAt = now + retryEvery
	}
}
