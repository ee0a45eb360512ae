package route

import (
	"slices"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
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
	// running and prefill count this entry's own attempts.
	running int
	prefill int
	tokens  int
}

func (t *target) report(now msg.Time, ev msg.TargetReported) {
	t.host = ev.Host
	t.domain = ev.Domain
	readAt := now - ev.Age
	if readAt < t.readAt {
		return
	}
	t.load = ev.Report
	t.readAt = readAt
	t.lost = false
}

func (t *target) begin(f *flight) {
	t.running++
	t.prefill += f.prefill
	t.tokens += f.tokens
}

func (t *target) end(f *flight) {
	t.running--
	t.prefill -= f.prefill
	t.tokens -= f.tokens
}

// pool holds the targets of one pool in order of their ids.
type pool struct{ targets []*target }

func (p *pool) add(t *target) {
	i, _ := slices.BinarySearchFunc(p.targets, t, func(a, b *target) int {
		return strings.Compare(string(a.id), string(b.id))
	})
	p.targets = slices.Insert(p.targets, i, t)
}
