package usage

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	defaultWindow = time.Minute
	defaultGrace  = 30 * time.Second
	defaultShards = 4
	retryInterval = time.Second
	// callMargin is the least time of a lease that is left for a call.
	callMargin = 500 * time.Millisecond
	// reportsAtOnce bounds the usage reports in flight per shard.
	reportsAtOnce = 16
	// reportCalls sets the calls of the usage interface apart from the store's.
	reportCalls = msg.CallID(store.ComponentUsageReport)<<48 | 1<<47
)

// ReporterMutation switches a safeguard off. Only the proof of the safeguards
// uses it.
type ReporterMutation uint8

// Mutations of the reporter.
const (
	// MutateNoReporterFault keeps all safeguards.
	MutateNoReporterFault ReporterMutation = iota
	// MutateNoFreeze reports figures that were not frozen.
	MutateNoFreeze
	// MutateCountTwice counts the records of both ends.
	MutateCountTwice
	// MutateForgetCounted forgets which attempts earlier windows counted.
	MutateForgetCounted
	// MutateIgnoreLease reports without a lease.
	MutateIgnoreLease
)

// ReporterConfig configures a [Reporter].
type ReporterConfig struct {
	Mutation ReporterMutation
}

// Reporter is the part of an entry's reducer that reports usage.
type Reporter struct {
	cfg    ReporterConfig
	clock  clock
	store  *store.Client
	window time.Duration
	grace  time.Duration
	shards []*shard
	// wanted is the number of shards that the manifest asks for.
	wanted  int
	layout  layoutState
	retryAt msg.Time
	calls   uint64
	reports map[msg.CallID]*pendingReport
	// pruneBefore is the time before which flushed objects may be deleted.
	pruneAt     msg.Time
	pruneBefore time.Time
}

// layoutState is how far the reading of the layout has come.
type layoutState uint8

const (
	layoutUnknown layoutState = iota
	layoutReading
	layoutMissing
	layoutWriting
	layoutKnown
)

// pendingReport is a report in flight.
type pendingReport struct {
	shard  *shard
	term   uint64
	figure int
}

// Tags of the store calls: the kind of the call and the shard.
const (
	tagLayout uint64 = iota << 32
	tagProgress
	tagFrozenList
	tagFlushList
	tagFreeze
	tagSaveProgress
	tagPruneFrozen
	tagPruneList
	tagPruneProgress
	tagPruneFlush
	tagMask = 0xffffffff
)

// ReporterStatus is what operators see of a reporter.
type ReporterStatus struct {
	Shards []ShardStatus `json:"shards"`
}

// ShardStatus is the state of one shard whose lease is held here.
type ShardStatus struct {
	Shard      int       `json:"shard"`
	NextFreeze time.Time `json:"nextFreeze"`
	Unreported int       `json:"unreported"`
}

// NewReporter returns a reporter.
func NewReporter(cfg ReporterConfig) *Reporter {
	return &Reporter{
		cfg: cfg, window: defaultWindow, grace: defaultGrace, wanted: defaultShards,
		reports: make(map[msg.CallID]*pendingReport),
	}
}

// LeaseName returns the name of the lease of a shard.
func LeaseName(shard int) msg.LeaseName { return msg.LeaseName(fmt.Sprintf("usage/%03d", shard)) }

// Status returns the reporter's state for operators.
func (r *Reporter) Status(msg.Time) ReporterStatus {
	var st ReporterStatus
	for _, s := range r.shards {
		if s.held {
			st.Shards = append(st.Shards, ShardStatus{Shard: s.index, NextFreeze: s.next, Unreported: len(s.unreported)})
		}
	}
	return st
}

// Step takes one event.
func (r *Reporter) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		writer := string(started.Self.Host) + "." + string(started.Incarnation)
		r.store = store.New(store.ComponentUsageReport, writer)
		r.clock = clock{wall: started.Wall, at: now}
		return nil
	}
	if r.store == nil {
		return nil
	}
	r.clock.observe(now, ev)
	results, effs := r.store.Step(now, ev)
	for _, res := range results {
		effs = append(effs, r.onResult(now, res)...)
	}
	switch ev := ev.(type) {
	case msg.Tick:
		effs = append(effs, r.onTick(now)...)
	case msg.ConfigChanged:
		r.configure(ev.Index.Usage)
	case msg.LeaseChanged:
		r.onLease(ev)
	case msg.UsageReported:
		effs = append(effs, r.onReported(now, ev)...)
	case msg.StopRequested:
		effs = append(effs, r.wantLeases(false)...)
	}
	return effs
}

func (r *Reporter) configure(u manifest.Usage) {
	r.window, r.grace, r.wanted = defaultWindow, defaultGrace, defaultShards
	if u.Window > 0 {
		r.window = u.Window.D()
	}
	if u.Grace > 0 {
		r.grace = u.Grace.D()
	}
	if u.Shards > 0 {
		r.wanted = u.Shards
	}
	if r.layout == layoutUnknown {
		r.layout = layoutReading
		r.retryAt = 0
	}
}

func (r *Reporter) onTick(now msg.Time) []msg.Effect {
	if r.layout == layoutKnown {
		var effs []msg.Effect
		for _, s := range r.shards {
			effs = append(effs, r.advance(now, s)...)
		}
		return append(effs, r.prune(now)...)
	}
	if r.layout == layoutUnknown || now < r.retryAt || r.store.Pending() > 0 {
		return nil
	}
	r.retryAt = now + retryInterval
	if r.layout == layoutMissing {
		r.layout = layoutWriting
		return []msg.Effect{r.store.Put(now, tagLayout, msg.KindUsage, layoutName, layout{Shards: r.wanted}, 0, 0)}
	}
	return []msg.Effect{r.store.Get(tagLayout, msg.KindUsage, layoutName)}
}

// onLayout takes the number of shards, which stays as first written: accounts
// that moved between shards could be counted in both.
func (r *Reporter) onLayout(res store.Result) []msg.Effect {
	switch {
	case res.Op == store.OpGet && res.Status == msg.CallNotFound:
		r.layout = layoutMissing
		r.retryAt = 0
		return nil
	case res.Status != msg.CallOK:
		r.layout = layoutReading
		return nil
	}
	l, ok := decode[layout](res.Object)
	if !ok || l.Shards <= 0 {
		r.layout = layoutReading
		return []msg.Effect{logLine(msg.LogError, "layout can't be decoded")}
	}
	r.layout = layoutKnown
	for i := range l.Shards {
		r.shards = append(r.shards, newShard(i))
	}
	return r.wantLeases(true)
}

func (r *Reporter) wantLeases(want bool) []msg.Effect {
	var effs []msg.Effect
	for _, s := range r.shards {
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: LeaseName(s.index), Want: want}})
	}
	return effs
}

func (r *Reporter) onLease(ev msg.LeaseChanged) {
	for _, s := range r.shards {
		if LeaseName(s.index) != ev.Name {
			continue
		}
		if !ev.Held || ev.Epoch != s.epoch {
			s.reset()
		}
		s.held, s.epoch, s.until = ev.Held, ev.Epoch, ev.Until
	}
}

// mayAct reports whether the shard's lease lasts long enough for a call.
func (r *Reporter) mayAct(now msg.Time, s *shard) bool {
	if r.cfg.Mutation == MutateIgnoreLease {
		return true
	}
	return s.held && now+callMargin < s.until
}

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.LogLine {
	return msg.LogLine{Component: logPart, Level: level, Text: text, Attrs: attrs}
}
