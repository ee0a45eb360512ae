package usage

import (
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	pruneInterval = 5 * time.Minute
	// maxDeletesPerPrune bounds the objects that are deleted at a time.
	maxDeletesPerPrune = 64
	// pruneMargin is how long before the start of the oldest unreported window
	// buckets are kept. It exceeds the time in which they may still be read.
	pruneMargin = bucketLookback + 2*bucketLength
)

// pruneFrozen deletes the oldest reported window once dedupRetention has passed
// since it was frozen.
func (r *Reporter) pruneFrozen(now msg.Time, s *shard) []msg.Effect {
	if len(s.reported) == 0 || r.clock.now(now).Sub(s.reported[0].At) < dedupRetention {
		return nil
	}
	f := s.reported[0]
	s.reported = s.reported[1:]
	for _, h := range decodeHashes(f.Attempts) {
		delete(s.countedAttempts, h)
	}
	s.busy = true
	return []msg.Effect{r.store.Delete(now, s.tag(tagPruneFrozen), msg.KindUsage, frozenName(s.index, f.Window), f.version)}
}

// prune starts to delete the flushed objects that no shard needs any more. The
// holder of the first shard's lease does this for all shards.
func (r *Reporter) prune(now msg.Time) []msg.Effect {
	if now < r.pruneAt || !r.leaseAllowsCall(now, r.shards[0]) {
		return nil
	}
	r.pruneAt = now + pruneInterval
	return []msg.Effect{r.store.List(tagPruneProgress, msg.KindUsage, progressPrefix)}
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

// onPruneProgress determines the time before which every shard has reported its
// usage, and lists the flushed objects. It does nothing if a shard has no stored
// progress yet.
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

// pruneFlushed deletes the flushed objects from before pruneBefore, at most
// maxDeletesPerPrune at a time; the others are deleted after retryInterval.
func (r *Reporter) pruneFlushed(now msg.Time, objects []msg.Object) []msg.Effect {
	limit := bucketPrefix(r.pruneBefore)
	var effs []msg.Effect
	for _, o := range objects {
		if len(effs) == maxDeletesPerPrune || strings.Compare(o.Name, limit) >= 0 {
			break
		}
		effs = append(effs, r.store.Delete(now, tagPruneFlush, msg.KindUsage, o.Name, o.Version))
	}
	if len(effs) == maxDeletesPerPrune {
		r.pruneAt = now + retryInterval
	}
	return effs
}
