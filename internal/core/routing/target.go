package routing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// reportLimit is the age after which a target without a newer report
	// takes no new attempts.
	reportLimit = 10 * time.Second
	// dropAfter is the age after which a silent target is forgotten.
	dropAfter = 10 * time.Minute
	// defaultRate is the prefill rate of an engine that reports none, in
	// tokens a second.
	defaultRate = 5000
	// defaultBatch is the batch limit of a target that reports none.
	defaultBatch = 32
	// minDrain is the least part of an engine's prefill rate at which its
	// backlog is taken to shrink.
	minDrain = 0.1
	// sentTime is the time constant of the prefill work sent to a pool.
	sentTime = 5 * time.Second
	// minSlots is the number of sequences that an engine is always given.
	minSlots = 4
)

// target is the state of one target as this entry knows it.
type target struct {
	id      msg.TargetID
	pool    msg.PoolID
	kind    msg.TargetKind
	host    msg.HostID
	domain  msg.FailureDomain
	load    msg.LoadReport
	readAt  msg.Time
	lost    bool
	leaving bool
	// running counts this entry's own attempts.
	running int
	// changes are this entry's own doings after the report was read; sum is
	// their total without prefill.
	changes []change
	sum     change
	// suspects counts this entry's suspect attempts; suspectUntil is the time
	// until which the target is taken to run one of another entry.
	suspects     int
	suspectUntil msg.Time
	// backlog is the prefill work in tokens as of backlogAt.
	backlog float64
	// others is the prefill work in tokens a second that other entries are
	// expected to send.
	others    float64
	backlogAt msg.Time
}

// change is an own attempt's effect on the load of a target.
type change struct {
	at msg.Time
	// running is in sequences; prefill and kv are in tokens.
	running, prefill, kv int
}

// report takes a newer report and replays the own changes that it does not
// cover.
func (t *target) report(now msg.Time, ev msg.TargetReported) {
	readAt := now - ev.Age
	if t.host != "" && readAt < t.readAt {
		return
	}
	t.host = ev.Host
	t.domain = ev.Domain
	t.load = ev.Report
	t.readAt = readAt
	t.lost = false
	changes := t.changes
	t.changes = t.changes[:0]
	t.sum = change{}
	t.backlog = float64(ev.Report.PrefillTokens)
	t.backlogAt = readAt
	for _, c := range changes {
		if c.at > readAt {
			t.apply(c.at, c)
		}
	}
	t.drain(now)
}

// apply adds an own change.
func (t *target) apply(now msg.Time, c change) {
	t.drain(now)
	t.backlog = max(t.backlog+float64(c.prefill), 0)
	t.sum.running += c.running
	t.sum.kv += c.kv
	t.changes = append(t.changes, c)
}

// drain lets the backlog shrink by the work done since it was last looked at.
func (t *target) drain(now msg.Time) {
	if now <= t.backlogAt {
		return
	}
	net := max(t.rate()-t.others, minDrain*t.rate())
	t.backlog = max(t.backlog-net*(now-t.backlogAt).Seconds(), 0)
	t.backlogAt = now
}

// rate is the prefill rate in tokens a second.
func (t *target) rate() float64 {
	if t.load.PrefillRate <= 0 {
		return defaultRate
	}
	return float64(t.load.PrefillRate)
}

// batch estimates the sequences on the target now.
func (t *target) batch() int {
	return max(t.load.Running+t.load.Queued+t.sum.running, t.running)
}

// kv estimates the tokens of KV cache in use.
func (t *target) kv() int { return max(t.load.KVUsed+t.sum.kv, 0) }

// slots is the number of sequences at which the time between tokens reaches
// the goal.
func (t *target) slots(step time.Duration) float64 {
	limit := t.load.MaxBatch
	if limit <= 0 {
		limit = defaultBatch
	}
	if t.kind == msg.TargetService || t.load.StepTime <= 0 || t.load.Running == 0 {
		return float64(limit)
	}
	fits := float64(t.load.Running) * step.Seconds() / t.load.StepTime.Seconds()
	return min(max(fits, minSlots), float64(limit))
}

// pool holds the targets of one pool in order of their ids.
type pool struct {
	targets []*target
	// next is the position of the round robin.
	next int
	// sent is this entry's prefill work for the pool, decaying over sentTime,
	// as of sentAt; sentOver is the part of accounts over their fair share.
	sent, sentOver float64
	sentAt         msg.Time
}

// estimateOthers sets the prefill work that the other entries are expected to
// send to each target: as much for each of them as this entry sends itself.
func (r *Router) estimateOthers(now msg.Time, p *pool) {
	dt := now - p.sentAt
	if dt < estimateEvery {
		return
	}
	p.sentAt = now
	left := math.Exp(-dt.Seconds() / sentTime.Seconds())
	p.sent *= left
	p.sentOver *= left
	others := p.sent / sentTime.Seconds() * float64(max(r.entries-1, 0)) / float64(len(p.targets))
	for _, t := range p.targets {
		t.drain(now)
		t.others = others
	}
}

// estimateEvery is the interval between two estimates.
const estimateEvery = 500 * time.Millisecond

func compareTargets(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) }

func (p *pool) add(t *target) {
	i, _ := slices.BinarySearchFunc(p.targets, t, compareTargets)
	p.targets = slices.Insert(p.targets, i, t)
}

func (p *pool) drop(t *target) {
	i, ok := slices.BinarySearchFunc(p.targets, t, compareTargets)
	if ok {
		p.targets = slices.Delete(p.targets, i, i+1)
	}
}
