package usage

import (
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	pruneInterval = 5 * time.Minute
	// pruneAtOnce bounds the objects that are deleted in one go.
	pruneAtOnce = 64
	// pruneMargin is kept beyond the buckets that may still be read.
	pruneMargin = scanBack + 2*bucketLength
)

// pruneFrozen deletes a frozen window that is past the horizon.
func (r *Reporter) pruneFrozen(now msg.Time, s *shard) []msg.Effect {
	if len(s.old) == 0 || r.clock.now(now).Sub(s.old[0].At) < horizon {
		return nil
	}
	f := s.old[0]
	s.old = s.old[1:]
	for _, m := range unpackMarks(f.Attempts) {
		delete(s.counted, m)
	}
	s.busy = true
	return []msg.Effect{r.store.Delete(now, s.tag(tagPruneFrozen), msg.KindUsage, frozenName(s.index, f.Window), f.version)}
}

// prune deletes flushed objects that all shards are done with. The holder of
// the first shard does it for all.
func (r *Reporter) prune(now msg.Time) []msg.Effect {
	if now < r.pruneAt || !r.mayAct(now, r.shards[0]) {
		return nil
	}
	r.pruneAt = now + pruneInterval
	return []msg.Effect{r.store.List(tagPruneProgress, msg.KindUsage, progressRoot)}
}

func (r *Reporter) onPrune(now msg.Time, kind uint64, res store.Result) []msg.Effect {
	if res.Status != msg.CallOK {
		return nil
	}
	switch kind {
	case tagPruneProgress:
		return r.onPruneProgress(res)
	case tagPruneList:
		return r.pruneFlushed(now, res.Objects)
	}
	return nil
}

// onPruneProgress finds the time before which every shard has reported.
func (r *Reporter) onPruneProgress(res store.Result) []msg.Effect {
	if len(res.Objects) < len(r.shards) {
		return nil
	}
	var oldest time.Time
	for _, o := range res.Objects {
		p, ok := decode[progress](o)
		if !ok {
			return nil
		}
		if oldest.IsZero() || p.NextReport.Before(oldest) {
			oldest = p.NextReport
		}
	}
	r.pruneBefore = oldest.Add(-pruneMargin)
	return []msg.Effect{r.store.List(tagPruneList, msg.KindUsage, flushPrefix)}
}

func (r *Reporter) pruneFlushed(now msg.Time, objects []msg.Object) []msg.Effect {
	limit := bucketPrefix(r.pruneBefore)
	var effs []msg.Effect
	for _, o := range objects {
		if len(effs) == pruneAtOnce || strings.Compare(o.Name, limit) >= 0 {
			break
		}
		effs = append(effs, r.store.Delete(now, tagPruneFlush, msg.KindUsage, o.Name, o.Version))
	}
	if len(effs) == pruneAtOnce {
		r.pruneAt = now + retryInterval
	}
	return effs
}
