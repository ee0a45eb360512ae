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
	// leaseMargin is the minimum remaining time of a lease for a call to be made
	// under it.
	leaseMargin = 500 * time.Millisecond
	// maxReportsInFlight bounds the usage reports in flight per shard.
	maxReportsInFlight = 16
	// reportCallBase distinguishes the ids of calls to the usage interface from
	// those of the store.
	reportCallBase = msg.CallID(store.ComponentUsageReport)<<48 | 1<<47
)

// ReporterMutation disables a safeguard. Only the mutation tests set it; they
// check that each disabled safeguard is detected.
type ReporterMutation uint8

// Values of [ReporterMutation].
const (
	// MutateReporterNothing keeps all safeguards.
	MutateReporterNothing ReporterMutation = iota
	// MutateNoFreeze reports usage that was not frozen.
	MutateNoFreeze
	// MutateCountTwice counts the records of both daemons of an attempt.
	MutateCountTwice
	// MutateForgetCounted ignores which attempts earlier windows counted.
	MutateForgetCounted
	// MutateIgnoreLease freezes and reports without a lease.
	MutateIgnoreLease
)

// ReporterConfig configures a [Reporter].
type ReporterConfig struct {
	Mutation ReporterMutation
}

// Reporter is the reducer component of an entry daemon that reports usage.
type Reporter struct {
	cfg    ReporterConfig
	clock  clock
	store  *store.Client
	window time.Duration
	grace  time.Duration
	shards []*shard
	// configuredShards is the number of shards in the manifest. It is used only
	// if no number is stored yet.
	configuredShards int
	layout           layoutState
	retryAt          msg.Time
	lastCall         uint64
	pendingReports   map[msg.CallID]*pendingReport
	// pruneAt is when flushed objects are next deleted; pruneBefore is the time
	// before which they may be deleted.
	pruneAt     msg.Time
	pruneBefore time.Time
}

// layoutState is the progress of reading or creating the layout object.
type layoutState uint8

const (
	// layoutUnknown means that no configuration was received yet.
	layoutUnknown layoutState = iota
	// layoutReading means that the object is to be read.
	layoutReading
	// layoutMissing means that the object does not exist and is to be created.
	layoutMissing
	// layoutWriting means that the object is being created.
	layoutWriting
	// layoutKnown means that the number of shards is fixed.
	layoutKnown
)

// pendingReport is a report whose result has not arrived. account is the index
// of its client account in the frozen window.
type pendingReport struct {
	shard   *shard
	resets  uint64
	account int
}

// Tags of the store calls. The upper half is the kind of the call; the lower
// half, tagMask, holds the shard's number of resets and its index.
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

// ReporterStatus describes a reporter to operators.
type ReporterStatus struct {
	Shards []ShardStatus `json:"shards"`
}

// ShardStatus describes one shard whose lease this process holds.
type ShardStatus struct {
	Shard      int       `json:"shard"`
	NextFreeze time.Time `json:"nextFreeze"`
	Unreported int       `json:"unreported"`
}

// NewReporter returns a reporter. It acts after [msg.Started].
func NewReporter(cfg ReporterConfig) *Reporter {
	return &Reporter{
		cfg: cfg, window: defaultWindow, grace: defaultGrace, configuredShards: defaultShards,
		pendingReports: make(map[msg.CallID]*pendingReport),
	}
}

// LeaseName returns the name of a shard's lease.
func LeaseName(shard int) msg.LeaseName { return msg.LeaseName(fmt.Sprintf("usage/%03d", shard)) }

// Status returns the reporter's state for operators.
func (r *Reporter) Status(msg.Time) ReporterStatus {
	var st ReporterStatus
	for _, s := range r.shards {
		if s.held {
			st.Shards = append(st.Shards, ShardStatus{Shard: s.index, NextFreeze: s.nextWindow, Unreported: len(s.unreported)})
		}
	}
	return st
}

// Step processes one event and returns the effects to carry out.
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
		effs = append(effs, r.requestLeases(false)...)
	}
	return effs
}

func (r *Reporter) configure(u manifest.Usage) {
	r.window, r.grace, r.configuredShards = defaultWindow, defaultGrace, defaultShards
	if u.Window > 0 {
		r.window = u.Window.D()
	}
	if u.Grace > 0 {
		r.grace = u.Grace.D()
	}
	if u.Shards > 0 {
		r.configuredShards = u.Shards
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
		return []msg.Effect{r.store.Put(now, tagLayout, msg.KindUsage, layoutName, layout{Shards: r.configuredShards}, 0, 0)}
	}
	return []msg.Effect{r.store.Get(tagLayout, msg.KindUsage, layoutName)}
}

// onLayout loads the number of shards. The number never changes after it was
// first stored, because an account that moved between shards could be counted
// in both.
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
		return []msg.Effect{logLine(msg.LogError, "usage layout object can't be decoded")}
	}
	r.layout = layoutKnown
	for i := range l.Shards {
		r.shards = append(r.shards, newShard(i))
	}
	return r.requestLeases(true)
}

func (r *Reporter) requestLeases(want bool) []msg.Effect {
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
		s.held, s.epoch, s.leaseUntil = ev.Held, ev.Epoch, ev.Until
	}
}

// leaseAllowsCall reports whether this process holds the shard's lease for long
// enough to make a call.
func (r *Reporter) leaseAllowsCall(now msg.Time, s *shard) bool {
	if r.cfg.Mutation == MutateIgnoreLease {
		return true
	}
	return s.held && now+leaseMargin < s.leaseUntil
}

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.LogLine {
	return msg.LogLine{Component: logComponent, Level: level, Text: text, Attrs: attrs}
}
