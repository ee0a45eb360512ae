package usage

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// stage determines the next step of a shard.
type stage uint8

const (
	// stageReadProgress means that the progress object is to be read.
	stageReadProgress stage = iota
	// stageReadFrozen means that the frozen windows are to be read.
	stageReadFrozen
	// stageIdle means that the shard waits for a window to report or freeze.
	stageIdle
	// stageReport means that the first unreported window is being reported.
	stageReport
)

// shard is the state of one shard of client accounts. It is valid only while
// this process holds the shard's lease.
type shard struct {
	index      int
	held       bool
	epoch      msg.Epoch
	leaseUntil msg.Time
	// resets counts the resets of the state, and the times at which the reports
	// of a window are sent again from the first one. Calls carry it, so that
	// results of calls from before are dropped.
	resets  uint64
	stage   stage
	busy    bool
	retryAt msg.Time

	progress        progress
	progressVersion msg.Version
	// nextWindow is the start of the next window to freeze.
	nextWindow time.Time
	// countedAttempts holds the attempts that the kept frozen windows count.
	countedAttempts map[attemptHash]bool
	unreported      []storedWindow
	// unreported and reported hold the kept frozen windows in order of time. A
	// window is kept after its report so that its attempts are not counted again.
	reported   []storedWindow
	collection collection
	// sent is the number of accounts of the first unreported window whose usage
	// was sent. accepted is the number of them whose report was accepted or had
	// a conflict, after which it is not sent again.
	sent, accepted int
}

// storedWindow is a frozen window with the version of its object.
type storedWindow struct {
	frozenWindow
	version msg.Version
}

func newShard(index int) *shard {
	s := &shard{index: index}
	s.reset()
	return s
}

func (s *shard) reset() {
	*s = shard{index: s.index, resets: s.resets + 1, countedAttempts: make(map[attemptHash]bool)}
}

// reload reads the shard's objects again under the same lease.
func (s *shard) reload(now msg.Time) {
	held, epoch, until := s.held, s.epoch, s.leaseUntil
	s.reset()
	s.held, s.epoch, s.leaseUntil = held, epoch, until
	s.retryLater(now)
}

func (s *shard) tag(kind uint64) uint64 { return kind | s.resets<<8&tagMask | uint64(s.index) }

// advance performs the shard's next step if the lease lasts long enough for it.
func (r *Reporter) advance(now msg.Time, s *shard) []msg.Effect {
	if s.busy || now < s.retryAt || !r.leaseAllowsCall(now, s) {
		return nil
	}
	switch s.stage {
	case stageReadProgress:
		s.busy = true
		return []msg.Effect{r.store.Get(s.tag(tagProgress), msg.KindUsage, progressName(s.index))}
	case stageReadFrozen:
		s.busy = true
		return []msg.Effect{r.store.List(s.tag(tagFrozenList), msg.KindUsage, frozenShardPrefix(s.index))}
	case stageReport:
		return r.report(now, s)
	}
	if len(s.unreported) > 0 {
		s.stage, s.accepted, s.sent = stageReport, 0, 0
		return r.report(now, s)
	}
	if effs := r.pruneFrozen(now, s); len(effs) > 0 {
		return effs
	}
	return r.startCollection(now, s)
}

// onResult processes the result of a store call.
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
		return nil // the shard was reset after the call, for example by the loss of the lease
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

func (s *shard) retryLater(now msg.Time) { s.retryAt = now + retryInterval }

func (r *Reporter) onProgress(now msg.Time, s *shard, res store.Result) {
	switch res.Status {
	case msg.CallOK:
		p, ok := decode[progress](res.Object)
		if !ok {
			s.retryLater(now)
			return
		}
		s.progress, s.progressVersion = p, res.Object.Version
	case msg.CallNotFound:
		s.progress, s.progressVersion = progress{}, 0
	default:
		s.retryLater(now)
		return
	}
	s.stage = stageReadFrozen
}

// onFrozenList loads the kept frozen windows: the attempts that they count, and
// which of them are still to be reported.
func (r *Reporter) onFrozenList(now msg.Time, s *shard, res store.Result) {
	if res.Status != msg.CallOK {
		s.retryLater(now)
		return
	}
	s.nextWindow = s.progress.NextReport
	for _, o := range res.Objects {
		f, ok := decode[frozenWindow](o)
		if !ok {
			s.retryLater(now)
			return
		}
		s.addFrozen(f)
		if f.Window.Before(s.progress.NextReport) {
			s.reported = append(s.reported, storedWindow{f, o.Version})
		} else {
			s.unreported = append(s.unreported, storedWindow{f, o.Version})
		}
	}
	byStart := func(a, b storedWindow) int { return a.Window.Compare(b.Window) }
	slices.SortFunc(s.reported, byStart)
	slices.SortFunc(s.unreported, byStart)
	if s.nextWindow.IsZero() {
		s.nextWindow = r.clock.now(now).UTC().Truncate(r.window)
	}
	s.stage = stageIdle
}

// addFrozen marks a frozen window's attempts as counted, and moves nextWindow to
// its end if that is later.
func (s *shard) addFrozen(f frozenWindow) {
	for _, h := range decodeHashes(f.Attempts) {
		s.countedAttempts[h] = true
	}
	if f.end().After(s.nextWindow) {
		s.nextWindow = f.end()
	}
}

// report sends the usage of the first unreported window, and saves the progress
// once all reports are accepted.
func (r *Reporter) report(now msg.Time, s *shard) []msg.Effect {
	f := s.unreported[0].frozenWindow
	if s.accepted == len(f.Accounts) {
		return r.saveProgress(now, s, f)
	}
	var effs []msg.Effect
	for s.sent < len(f.Accounts) && s.sent-s.accepted < maxReportsInFlight {
		effs = append(effs, r.send(s, f, s.sent))
		s.sent++
	}
	return effs
}

func (r *Reporter) send(s *shard, f frozenWindow, account int) msg.Effect {
	r.lastCall++
	id := reportCallBase | msg.CallID(r.lastCall)
	r.pendingReports[id] = &pendingReport{shard: s, resets: s.resets, account: account}
	u := f.Accounts[account]
	return msg.ReportUsage{
		Call: id, Epoch: s.epoch, NotAfter: s.leaseUntil,
		Report: msg.UsageReport{
			Account: u.Account, Window: f.Window, Length: f.Length,
			Requests: u.Requests, Usage: u.Usage, Late: u.Late,
		},
	}
}

func (r *Reporter) onReported(now msg.Time, ev msg.UsageReported) []msg.Effect {
	p := r.pendingReports[ev.Call]
	delete(r.pendingReports, ev.Call)
	if p == nil || p.resets != p.shard.resets {
		return nil
	}
	s := p.shard
	switch ev.Status {
	case msg.CallOK:
		s.accepted++
		return r.advance(now, s)
	case msg.CallConflict:
		s.accepted++
		f := s.unreported[0]
		return []msg.Effect{logLine(msg.LogError, "usage interface already has different usage for a frozen window",
			msg.Attr{Key: "account", Value: string(f.Accounts[p.account].Account)},
			msg.Attr{Key: "window", Value: f.Window.Format(time.RFC3339)},
		)}
	}
	// Repeated reports with the same usage are accepted, so all reports of the
	// window are sent again. The new value of resets makes onReported ignore the
	// results of those in flight.
	s.resets++
	s.accepted, s.sent = 0, 0
	s.retryLater(now)
	return nil
}

func (r *Reporter) saveProgress(now msg.Time, s *shard, f frozenWindow) []msg.Effect {
	s.busy = true
	return []msg.Effect{
		logLine(msg.LogInfo, "usage window reported",
			msg.Attr{Key: "shard", Value: strconv.Itoa(s.index)},
			msg.Attr{Key: "window", Value: f.Window.Format(time.RFC3339)},
			msg.Attr{Key: "accounts", Value: strconv.Itoa(len(f.Accounts))},
		),
		r.store.Put(now, s.tag(tagSaveProgress), msg.KindUsage, progressName(s.index), progress{NextReport: f.end()}, s.progressVersion, s.leaseUntil),
	}
}

func (r *Reporter) onProgressSaved(now msg.Time, s *shard, res store.Result) {
	if res.Status != msg.CallOK {
		s.reload(now)
		return
	}
	s.progress.NextReport = s.unreported[0].end()
	s.progressVersion = res.Object.Version
	s.reported = append(s.reported, s.unreported[0])
	s.unreported = s.unreported[1:]
	s.stage = stageIdle
}
