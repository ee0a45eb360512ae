package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// maxSingleBucketLists is the largest number of buckets that are listed one by
// one. More buckets are read by one list of all flushed objects.
const maxSingleBucketLists = 16

// collection holds the flushed records that were read for one window.
type collection struct {
	// prefixes holds the name prefixes that are still to be listed.
	prefixes     []string
	entryRecords map[msg.AttemptID]record
	sideRecords  map[msg.AttemptID]record
	window       frozenWindow
}

// startCollection starts to read the flushed records for the next window, once
// that window and its grace period have ended.
func (r *Reporter) startCollection(now msg.Time, s *shard) []msg.Effect {
	wall := r.clock.now(now)
	if wall.Before(r.endOf(s.nextWindow).Add(r.grace)) {
		return nil
	}
	s.collection = collection{entryRecords: make(map[msg.AttemptID]record), sideRecords: make(map[msg.AttemptID]record)}
	first := bucketOf(s.nextWindow.Add(-bucketLookback))
	if wall.Sub(first) > maxSingleBucketLists*bucketLength {
		s.collection.prefixes = []string{flushPrefix}
		return r.listNext(s)
	}
	for b := first; !b.After(wall.Add(bucketLength)); b = b.Add(bucketLength) {
		s.collection.prefixes = append(s.collection.prefixes, bucketPrefix(b))
	}
	return r.listNext(s)
}

// endOf returns the end of the window that starts at t. Windows end at
// multiples of the window length, also after the length was changed.
func (r *Reporter) endOf(t time.Time) time.Time { return t.Truncate(r.window).Add(r.window) }

func (r *Reporter) listNext(s *shard) []msg.Effect {
	s.busy = true
	return []msg.Effect{r.store.List(s.tag(tagFlushList), msg.KindUsage, s.collection.prefixes[0])}
}

func (r *Reporter) onFlushList(now msg.Time, s *shard, res store.Result) []msg.Effect {
	if res.Status != msg.CallOK {
		s.retryLater(now)
		return nil
	}
	for _, o := range res.Objects {
		if f, ok := decode[flushed](o); ok {
			s.collection.add(f)
		}
	}
	s.collection.prefixes = s.collection.prefixes[1:]
	if len(s.collection.prefixes) > 0 {
		return r.listNext(s)
	}
	return r.freeze(now, s)
}

func (c *collection) add(f flushed) {
	records := c.entryRecords
	if f.Source == sourceSide {
		records = c.sideRecords
	}
	for _, rec := range f.Records {
		if _, ok := records[rec.Attempt]; !ok {
			records[rec.Attempt] = rec
		}
	}
}

// freeze creates the object of the frozen window.
func (r *Reporter) freeze(now msg.Time, s *shard) []msg.Effect {
	if !r.leaseAllowsCall(now, s) {
		return nil
	}
	s.collection.window = r.computeWindow(now, s)
	if r.cfg.Mutation == MutateNoFreeze {
		r.onFrozen(now, s, store.Result{})
		return nil
	}
	s.busy = true
	f := s.collection.window
	return []msg.Effect{r.store.Put(now, s.tag(tagFreeze), msg.KindUsage, frozenName(s.index, f.Window), f, 0, s.leaseUntil)}
}

// computeWindow returns the usage of the next window. It counts each attempt
// once: by the side daemon's record if there is one, otherwise by the entry
// daemon's, and not at all if an earlier window counted it.
func (r *Reporter) computeWindow(now msg.Time, s *shard) frozenWindow {
	records := r.uncountedRecords(s)
	f := frozenWindow{Window: s.nextWindow, At: r.clock.now(now).UTC()}
	end := r.windowEnd(now, s.nextWindow, records)
	f.Length = end.Sub(f.Window)
	accounts := make(map[msg.AccountID]*accountUsage)
	var hashes []attemptHash
	for _, rec := range records {
		at := time.UnixMilli(rec.At)
		if !at.Before(end) {
			continue
		}
		hashes = append(hashes, hashAttempt(rec.Attempt))
		u := accounts[rec.Account]
		if u == nil {
			u = &accountUsage{Account: rec.Account}
			accounts[rec.Account] = u
		}
		u.add(rec, at.Before(f.Window))
	}
	for _, account := range slices.Sorted(maps.Keys(accounts)) {
		f.Accounts = append(f.Accounts, *accounts[account])
	}
	f.Attempts = encodeHashes(hashes)
	return f
}

// uncountedRecords returns the records of the shard's accounts that no frozen
// window counts, in order of time.
func (r *Reporter) uncountedRecords(s *shard) []record {
	var out []record
	add := func(records map[msg.AttemptID]record, skip map[msg.AttemptID]record) {
		for id, rec := range records {
			_, skipped := skip[id]
			counted := s.countedAttempts[hashAttempt(id)] && r.cfg.Mutation != MutateForgetCounted
			if skipped || counted || ShardOf(rec.Account, len(r.shards)) != s.index {
				continue
			}
			out = append(out, rec)
		}
	}
	add(s.collection.sideRecords, nil)
	if r.cfg.Mutation == MutateCountTwice {
		add(s.collection.entryRecords, nil)
	} else {
		add(s.collection.entryRecords, s.collection.sideRecords)
	}
	slices.SortFunc(out, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

// windowEnd returns the end of the window to freeze. A window without usage is
// extended to the start of the first window with usage, or else to the end of the
// last window whose grace period is over, so that a long outage is frozen as one
// window.
func (r *Reporter) windowEnd(now msg.Time, start time.Time, records []record) time.Time {
	end := r.endOf(start)
	quietEnd := r.clock.now(now).Add(-r.grace).UTC().Truncate(r.window)
	if len(records) > 0 {
		first := time.UnixMilli(records[0].At).UTC().Truncate(r.window)
		if first.Before(quietEnd) {
			quietEnd = first
		}
	}
	if quietEnd.After(end) {
		return quietEnd
	}
	return end
}

// add adds an attempt, as late if it belongs to an earlier window.
func (u *accountUsage) add(rec record, late bool) {
	if !rec.Continued {
		u.Requests++
	}
	sum := &u.Usage
	if late {
		sum = &u.Late
	}
	sum.Prompt += rec.Usage.Prompt
	sum.Cached += rec.Usage.Cached
	sum.Generated += rec.Usage.Generated
}

func (r *Reporter) onFrozen(now msg.Time, s *shard, res store.Result) {
	if res.Status == msg.CallOK {
		f := s.collection.window
		s.addFrozen(f)
		s.unreported = append(s.unreported, storedWindow{f, res.Object.Version})
		s.collection = collection{}
		return
	}
	// Another holder froze the window, or the result is unknown: read again.
	s.reload(now)
}
