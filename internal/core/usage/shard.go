package usage

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// stage is what a shard does next.
type stage uint8

const (
	stageProgress stage = iota
	stageFrozen
	stageIdle
	stageReport
)

// shard is one shard of client accounts under its lease.
type shard struct {
	index int
	held  bool
	epoch msg.Epoch
	until msg.Time
	// term numbers the resets, so that results of earlier calls are dropped.
	term    uint64
	stage   stage
	busy    bool
	retryAt msg.Time

	progress        progress
	progressVersion msg.Version
	// next is the start of the next window to freeze.
	next time.Time
	// counted holds the attempts of the frozen windows.
	counted    map[mark]bool
	unreported []kept
	// old holds the reported windows that are kept for their attempts.
	old     []kept
	collect collection
	// sent and reported are the numbers of figures of the first unreported
	// window that were sent and that were accepted.
	sent, reported int
}

// kept is a frozen window with the version of its object.
type kept struct {
	frozen
	version msg.Version
}

func newShard(index int) *shard {
	s := &shard{index: index}
	s.reset()
	return s
}

func (s *shard) reset() {
	*s = shard{index: s.index, term: s.term + 1, counted: make(map[mark]bool)}
}

// restart reads the shard's objects again under the same lease.
func (s *shard) restart(now msg.Time) {
	held, epoch, until := s.held, s.epoch, s.until
	s.reset()
	s.held, s.epoch, s.until = held, epoch, until
	s.later(now)
}

func (s *shard) tag(kind uint64) uint64 { return kind | s.term<<8&tagMask | uint64(s.index) }

// advance does the shard's next step under its lease.
func (r *Reporter) advance(now msg.Time, s *shard) []msg.Effect {
	if s.busy || now < s.retryAt || !r.mayAct(now, s) {
		return nil
	}
	switch s.stage {
	case stageProgress:
		s.busy = true
		return []msg.Effect{r.store.Get(s.tag(tagProgress), msg.KindUsage, progressName(s.index))}
	case stageFrozen:
		s.busy = true
		return []msg.Effect{r.store.List(s.tag(tagFrozenList), msg.KindUsage, frozenShardPrefix(s.index))}
	case stageReport:
		return r.report(now, s)
	}
	if len(s.unreported) > 0 {
		s.stage, s.reported, s.sent = stageReport, 0, 0
		return r.report(now, s)
	}
	if effs := r.pruneFrozen(now, s); len(effs) > 0 {
		return effs
	}
	return r.beginFreeze(now, s)
}

// onResult takes a settled call.
func (r *Reporter) onResult(now msg.Time, res store.Result) []msg.Effect {
	kind := res.Tag &^ tagMask
	switch kind {
	case tagLayout:
		return r.onLayout(res)
	case tagPruneList, tagPruneProgress, tagPruneFlush:
		return r.onPrune(now, kind, res)
	}
	s := r.shards[res.Tag&0xff]
	if res.Tag != s.tag(kind) {
		return nil // the lease was lost meanwhile
	}
	s.busy = false
	switch kind {
	case tagProgress:
		r.onProgress(now, s, res)
	case tagFrozenList:
		r.onFrozenList(now, s, res)
	case tagFlushList:
		return r.onFlushList(now, s, res)
	case tagFreeze:
		r.onFrozen(now, s, res)
	case tagSaveProgress:
		r.onProgressSaved(now, s, res)
	}
	return nil
}

func (s *shard) later(now msg.Time) { s.retryAt = now + retryInterval }

func (r *Reporter) onProgress(now msg.Time, s *shard, res store.Result) {
	switch res.Status {
	case msg.CallOK:
		p, ok := decode[progress](res.Object)
		if !ok {
			s.later(now)
			return
		}
		s.progress, s.progressVersion = p, res.Object.Version
	case msg.CallNotFound:
		s.progress, s.progressVersion = progress{}, 0
	default:
		s.later(now)
		return
	}
	s.stage = stageFrozen
}

// onFrozenList takes the frozen windows that are kept: what they counted, and
// which of them are yet to be reported.
func (r *Reporter) onFrozenList(now msg.Time, s *shard, res store.Result) {
	if res.Status != msg.CallOK {
		s.later(now)
		return
	}
	s.next = s.progress.NextReport
	for _, o := range res.Objects {
		f, ok := decode[frozen](o)
		if !ok {
			s.later(now)
			return
		}
		s.remember(f)
		if f.Window.Before(s.progress.NextReport) {
			s.old = append(s.old, kept{f, o.Version})
		} else {
			s.unreported = append(s.unreported, kept{f, o.Version})
		}
	}
	byWindow := func(a, b kept) int { return a.Window.Compare(b.Window) }
	slices.SortFunc(s.old, byWindow)
	slices.SortFunc(s.unreported, byWindow)
	if s.next.IsZero() {
		s.next = r.clock.now(now).UTC().Truncate(r.window)
	}
	s.stage = stageIdle
}

// remember takes a frozen window's attempts into account.
func (s *shard) remember(f frozen) {
	for _, m := range unpackMarks(f.Attempts) {
		s.counted[m] = true
	}
	if f.end().After(s.next) {
		s.next = f.end()
	}
}

// report sends the figures of the first unreported window.
func (r *Reporter) report(now msg.Time, s *shard) []msg.Effect {
	f := s.unreported[0].frozen
	if s.reported == len(f.Figures) {
		return r.saveProgress(now, s, f)
	}
	var effs []msg.Effect
	for s.sent < len(f.Figures) && s.sent-s.reported < reportsAtOnce {
		effs = append(effs, r.send(s, f, s.sent))
		s.sent++
	}
	return effs
}

func (r *Reporter) send(s *shard, f frozen, figure int) msg.Effect {
	r.calls++
	id := reportCalls | msg.CallID(r.calls)
	r.reports[id] = &pendingReport{shard: s, term: s.term, figure: figure}
	fig := f.Figures[figure]
	return msg.ReportUsage{
		Call: id, Epoch: s.epoch, NotAfter: s.until,
		Report: msg.UsageReport{
			Account: fig.Account, Window: f.Window, Length: f.Length,
			Requests: fig.Requests, Usage: fig.Usage, Late: fig.Late,
		},
	}
}

func (r *Reporter) onReported(now msg.Time, ev msg.UsageReported) []msg.Effect {
	p := r.reports[ev.Call]
	delete(r.reports, ev.Call)
	if p == nil || p.term != p.shard.term {
		return nil
	}
	s := p.shard
	switch ev.Status {
	case msg.CallOK:
		s.reported++
		return r.advance(now, s)
	case msg.CallConflict:
		s.reported++
		f := s.unreported[0]
		return []msg.Effect{logLine(msg.LogError, "usage interface has other figures for a frozen window",
			msg.Attr{Key: "account", Value: string(f.Figures[p.figure].Account)},
			msg.Attr{Key: "window", Value: f.Window.Format(time.RFC3339)},
		)}
	}
	// The same figures may be reported again: start the window over.
	s.term++
	s.reported, s.sent = 0, 0
	s.later(now)
	return nil
}

func (r *Reporter) saveProgress(now msg.Time, s *shard, f frozen) []msg.Effect {
	s.busy = true
	return []msg.Effect{
		logLine(msg.LogInfo, "window reported",
			msg.Attr{Key: "shard", Value: strconv.Itoa(s.index)},
			msg.Attr{Key: "window", Value: f.Window.Format(time.RFC3339)},
			msg.Attr{Key: "accounts", Value: strconv.Itoa(len(f.Figures))},
		),
		r.store.Put(now, s.tag(tagSaveProgress), msg.KindUsage, progressName(s.index), progress{NextReport: f.end()}, s.progressVersion, s.until),
	}
}

func (r *Reporter) onProgressSaved(now msg.Time, s *shard, res store.Result) {
	if res.Status != msg.CallOK {
		s.restart(now)
		return
	}
	s.progress.NextReport = s.unreported[0].end()
	s.progressVersion = res.Object.Version
	s.old = append(s.old, s.unreported[0])
	s.unreported = s.unreported[1:]
	s.stage = stageIdle
}
