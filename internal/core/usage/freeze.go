package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// maxBucketLists is the number of buckets up to which each is listed by itself.
const maxBucketLists = 16

// collection gathers the flushed records for one window.
type collection struct {
	prefixes []string
	entry    map[msg.AttemptID]record
	side     map[msg.AttemptID]record
	freezing frozen
}

// beginFreeze starts to read the flushed records once the next window and its
// grace are over.
func (r *Reporter) beginFreeze(now msg.Time, s *shard) []msg.Effect {
	wall := r.clock.now(now)
	if wall.Before(r.endOf(s.next).Add(r.grace)) {
		return nil
	}
	s.collect = collection{entry: make(map[msg.AttemptID]record), side: make(map[msg.AttemptID]record)}
	first := bucketOf(s.next.Add(-scanBack))
	if wall.Sub(first) > maxBucketLists*bucketLength {
		s.collect.prefixes = []string{flushPrefix}
		return r.listNext(s)
	}
	for b := first; !b.After(wall.Add(bucketLength)); b = b.Add(bucketLength) {
		s.collect.prefixes = append(s.collect.prefixes, bucketPrefix(b))
	}
	return r.listNext(s)
}

// endOf returns the end of the window that starts at t. Windows end at
// multiples of their length, also after the length was changed.
func (r *Reporter) endOf(t time.Time) time.Time { return t.Truncate(r.window).Add(r.window) }

func (r *Reporter) listNext(s *shard) []msg.Effect {
	s.busy = true
	return []msg.Effect{r.store.List(s.tag(tagFlushList), msg.KindUsage, s.collect.prefixes[0])}
}

func (r *Reporter) onFlushList(now msg.Time, s *shard, res store.Result) []msg.Effect {
	if res.Status != msg.CallOK {
		s.later(now)
		return nil
	}
	for _, o := range res.Objects {
		if f, ok := decode[flushed](o); ok {
			s.collect.add(f)
		}
	}
	s.collect.prefixes = s.collect.prefixes[1:]
	if len(s.collect.prefixes) > 0 {
		return r.listNext(s)
	}
	return r.freeze(now, s)
}

func (c *collection) add(f flushed) {
	into := c.entry
	if f.Source == sourceSide {
		into = c.side
	}
	for _, rec := range f.Records {
		if _, ok := into[rec.Attempt]; !ok {
			into[rec.Attempt] = rec
		}
	}
}

// freeze creates the window's frozen object.
func (r *Reporter) freeze(now msg.Time, s *shard) []msg.Effect {
	if !r.mayAct(now, s) {
		return nil
	}
	s.collect.freezing = r.compute(now, s)
	if r.cfg.Mutation == MutateNoFreeze {
		r.onFrozen(now, s, store.Result{})
		return nil
	}
	s.busy = true
	f := s.collect.freezing
	return []msg.Effect{r.store.Put(now, s.tag(tagFreeze), msg.KindUsage, frozenName(s.index, f.Window), f, 0, s.until)}
}

// compute counts each attempt once: as the side has it, else as the entry has
// it, and not if an earlier window counted it.
func (r *Reporter) compute(now msg.Time, s *shard) frozen {
	records := r.uncounted(s)
	f := frozen{Window: s.next, At: r.clock.now(now).UTC()}
	end := r.windowEnd(now, s.next, records)
	f.Length = end.Sub(f.Window)
	figures := make(map[msg.AccountID]*figure)
	var marks []mark
	for _, rec := range records {
		at := time.UnixMilli(rec.At)
		if !at.Before(end) {
			continue
		}
		marks = append(marks, markOf(rec.Attempt))
		fig := figures[rec.Account]
		if fig == nil {
			fig = &figure{Account: rec.Account}
			figures[rec.Account] = fig
		}
		fig.count(rec, at.Before(f.Window))
	}
	for _, account := range slices.Sorted(maps.Keys(figures)) {
		f.Figures = append(f.Figures, *figures[account])
	}
	f.Attempts = packMarks(marks)
	return f
}

// uncounted returns the records of the shard's accounts that no frozen window
// counts, in order of time.
func (r *Reporter) uncounted(s *shard) []record {
	var out []record
	take := func(records map[msg.AttemptID]record, skip map[msg.AttemptID]record) {
		for id, rec := range records {
			_, twice := skip[id]
			counted := s.counted[markOf(id)] && r.cfg.Mutation != MutateForgetCounted
			if twice || counted || ShardOf(rec.Account, len(r.shards)) != s.index {
				continue
			}
			out = append(out, rec)
		}
	}
	take(s.collect.side, nil)
	if r.cfg.Mutation == MutateCountTwice {
		take(s.collect.entry, nil)
	} else {
		take(s.collect.entry, s.collect.side)
	}
	slices.SortFunc(out, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

// windowEnd returns the end of the window to freeze. A window without usage
// reaches up to the first one that has some, so that the time of a long stop
// is frozen at once.
func (r *Reporter) windowEnd(now msg.Time, start time.Time, records []record) time.Time {
	end := r.endOf(start)
	quiet := r.clock.now(now).Add(-r.grace).UTC().Truncate(r.window)
	if len(records) > 0 {
		first := time.UnixMilli(records[0].At).UTC().Truncate(r.window)
		if first.Before(quiet) {
			quiet = first
		}
	}
	if quiet.After(end) {
		return quiet
	}
	return end
}

func (f *figure) count(rec record, late bool) {
	if !rec.Continued {
		f.Requests++
	}
	sum := &f.Usage
	if late {
		sum = &f.Late
	}
	sum.Prompt += rec.Usage.Prompt
	sum.Cached += rec.Usage.Cached
	sum.Generated += rec.Usage.Generated
}

func (r *Reporter) onFrozen(now msg.Time, s *shard, res store.Result) {
	if res.Status == msg.CallOK {
		f := s.collect.freezing
		s.remember(f)
		s.unreported = append(s.unreported, kept{f, res.Object.Version})
		s.collect = collection{}
		return
	}
	// Another holder froze the window, or it is not known: read again.
	s.restart(now)
}
