package routing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxReportAge is the age after which a target without a newer report
	// takes no new attempts.
	maxReportAge = 10 * time.Second
	// forgetAfter is the age of the last report after which a target is removed.
	forgetAfter = 10 * time.Minute
	// defaultPrefillRate is the prefill rate in tokens per second of an engine
	// that reports none.
	defaultPrefillRate = 5000
	// defaultMaxBatch is the batch limit of a target that reports none.
	defaultMaxBatch = 32
	// minNetRate is the minimum rate at which the backlog of an engine is
	// estimated to shrink, net of the work that other entries send, as a fraction
	// of the engine's prefill rate.
	minNetRate = 0.1
	// sentTimeConstant is the time constant with which the record of prefill
	// work sent to a pool decays.
	sentTimeConstant = 5 * time.Second
	// minSlots is the number of sequences that an engine may run even if the
	// time between tokens is above the goal, up to its batch limit.
	minSlots = 4
)

// target is this entry's estimate of the state of one target.
type target struct {
	id     msg.TargetID
	pool   msg.PoolID
	kind   msg.TargetKind
	host   msg.HostID
	domain msg.FailureDomain
	// load is the last load report, with changes by MarkDown and MarkDraining.
	// readAt is the time at which the side daemon read it.
	load        msg.LoadReport
	readAt      msg.Time
	unreachable bool
	leaving     bool
	// running is the number of this entry's attempts on the target.
	running int
	// ownChanges are the load changes by this entry since the report was read.
	// ownTotal is the sum of their sequences and KV cache. Their prefill work is
	// added to backlog instead.
	ownChanges []loadChange
	ownTotal   loadChange
	// suspects is the number of this entry's suspects on the target.
	// suspectUntil is the time until which the target is assumed to run a
	// suspect of another entry.
	suspects     int
	suspectUntil msg.Time
	// backlog is the estimated prefill work in tokens, queued or running, at the
	// time backlogAt.
	backlog float64
	// othersRate is the prefill work in tokens per second that the other entries
	// are expected to send.
	othersRate float64
	backlogAt  msg.Time
}

// loadChange is a change to the load of a target by an attempt of this entry.
type loadChange struct {
	at msg.Time
	// running is in sequences, prefill and kv are in tokens.
	running, prefill, kv int
}

// applyReport applies a load report that is not older than the last one. It then
// applies again the changes by this entry that came after the report was read.
func (t *target) applyReport(now msg.Time, ev msg.TargetReported) {
	readAt := now - ev.Age
	if t.host != "" && readAt < t.readAt {
		return
	}
	t.host = ev.Host
	t.domain = ev.Domain
	t.load = ev.Report
	t.readAt = readAt
	t.unreachable = false
	changes := t.ownChanges
	t.ownChanges = t.ownChanges[:0]
	t.ownTotal = loadChange{}
	t.backlog = float64(ev.Report.PrefillTokens)
	t.backlogAt = readAt
	for _, c := range changes {
		if c.at > readAt {
			t.applyChange(c.at, c)
		}
	}
	t.shrinkBacklog(now)
}

// applyChange applies a load change by this entry.
func (t *target) applyChange(now msg.Time, c loadChange) {
	t.shrinkBacklog(now)
	t.backlog = max(t.backlog+float64(c.prefill), 0)
	t.ownTotal.running += c.running
	t.ownTotal.kv += c.kv
	t.ownChanges = append(t.ownChanges, c)
}

// shrinkBacklog subtracts from the backlog the work that the target has done
// since backlogAt, net of the work that other entries are expected to have sent.
func (t *target) shrinkBacklog(now msg.Time) {
	if now <= t.backlogAt {
		return
	}
	net := max(t.prefillRate()-t.othersRate, minNetRate*t.prefillRate())
	t.backlog = max(t.backlog-net*(now-t.backlogAt).Seconds(), 0)
	t.backlogAt = now
}

// prefillRate returns the prefill rate in tokens per second.
func (t *target) prefillRate() float64 {
	if t.load.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return float64(t.load.PrefillRate)
}

// batch estimates the number of sequences on the target, queued or running.
func (t *target) batch() int {
	return max(t.load.Running+t.load.Queued+t.ownTotal.running, t.running)
}

// kvUsed estimates the KV cache in use, in tokens.
func (t *target) kvUsed() int { return max(t.load.KVUsed+t.ownTotal.kv, 0) }

// batchSlots returns the number of sequences at which the time between tokens
// reaches the goal step, within minSlots and the batch limit. It is the batch
// limit for a plain service and for an engine whose step time is not known.
func (t *target) batchSlots(step time.Duration) float64 {
	limit := t.load.MaxBatch
	if limit <= 0 {
		limit = defaultMaxBatch
	}
	if t.kind == msg.TargetService || t.load.StepTime <= 0 || t.load.Running == 0 {
		return float64(limit)
	}
	fits := float64(t.load.Running) * step.Seconds() / t.load.StepTime.Seconds()
	return min(max(fits, minSlots), float64(limit))
}

// pool holds the targets of one pool, sorted by id.
type pool struct {
	targets []*target
	// next is the round-robin position.
	next int
	// sentPrefill is the prefill work in tokens that this entry sent to the
	// pool, and sentOverShare the part of it that belongs to accounts over their
	// fair share. Both decay with sentTimeConstant and were last decayed at
	// estimatedAt.
	sentPrefill, sentOverShare float64
	estimatedAt                msg.Time
}

// estimateOthers sets the rate of prefill work that the other entries are
// expected to send to each target. It assumes that each of them sends as much as
// this entry, spread evenly over the targets.
func (r *Router) estimateOthers(now msg.Time, p *pool) {
	dt := now - p.estimatedAt
	if dt < estimateInterval {
		return
	}
	p.estimatedAt = now
	left := math.Exp(-dt.Seconds() / sentTimeConstant.Seconds())
	p.sentPrefill *= left
	p.sentOverShare *= left
	others := p.sentPrefill / sentTimeConstant.Seconds() * float64(max(r.entries-1, 0)) / float64(len(p.targets))
	for _, t := range p.targets {
		t.shrinkBacklog(now)
		t.othersRate = others
	}
}

// estimateInterval is the minimum time between two estimates.
const estimateInterval = 500 * time.Millisecond

func compareTargets(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) }

func (p *pool) add(t *target) {
	i, _ := slices.BinarySearchFunc(p.targets, t, compareTargets)
	p.targets = slices.Insert(p.targets, i, t)
}

func (p *pool) remove(t *target) {
	i, ok := slices.BinarySearchFunc(p.targets, t, compareTargets)
	if ok {
		p.targets = slices.Delete(p.targets, i, i+1)
	}
}
