package fleet

import (
	"fmt"
	"math"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// headroom is the number of standard deviations of demand that are bought.
	headroom = 1.0
	// surplusFactor is how many lead times a surplus lasts before targets are
	// withdrawn.
	surplusFactor = 2
)

// need sets the wanted number of targets from the forecast. The pool is to
// carry the expected load without its largest failure domain, and the load
// with some headroom when all are there.
func (c *Controller) need(p *pool) {
	least, most := 0, 0
	for _, s := range p.spec.Shape {
		least += s.Min
		most += s.Max
	}
	f := p.estimator.Forecast()
	if p.spec.Kind != manifest.PoolEngines || p.estimator.Samples() < planAfter {
		p.market.needed, p.market.reason = least, "the manifest's least number"
		return
	}
	eff := c.cfg.Efficiency
	engines := func(prefill, decode float64) float64 { return prefill/eff.Prefill + decode/eff.Decode }
	peak := f.Shifted(headroom, 0)
	want := engines(peak.Prefill, peak.Decode)
	if n := len(p.spec.Shape); n > 1 {
		want = max(want, engines(f.Mean.Prefill, f.Mean.Decode)*float64(n)/float64(n-1))
	}
	p.market.needed = min(most, max(least, int(math.Ceil(want))))
	p.market.reason = fmt.Sprintf("demand %.1f engines, deviation %.1f", f.Mean.Total(), f.TotalDeviation)
}

// kept returns the targets that stay: the listed ones, and those that report
// without being listed, which the target interface did not deliver.
func (p *pool) kept(now msg.Time, rec *Record) []msg.ProvisionedTarget {
	var out []msg.ProvisionedTarget
	listed := make(map[msg.TargetID]bool)
	for _, t := range p.market.listed {
		listed[t.Target] = true
		if !t.Leaving && !slices.Contains(rec.Retiring, t.Target) {
			out = append(out, t)
		}
	}
	for _, t := range p.sorted() {
		if !listed[t.id] && t.reachable(now) {
			out = append(out, msg.ProvisionedTarget{Target: t.id, Domain: t.domain})
		}
	}
	return out
}

// withdrawable reports whether a target can be given back to the interface
// that delivered it.
func (p *pool) withdrawable(id msg.TargetID) bool {
	return slices.ContainsFunc(p.market.listed, func(t msg.ProvisionedTarget) bool { return t.Target == id })
}

// buy adds a purchase in the failure domain that has the fewest targets
// against its shape: first those under their least number.
func (p *pool) buy(next *Record, kept []msg.ProvisionedTarget) {
	have := perDomain(kept)
	best := -1
	for i, s := range p.spec.Shape {
		d := msg.FailureDomain(s.FailureDomain)
		if have[d] >= s.Max {
			continue
		}
		if best < 0 || p.before(have, s, p.spec.Shape[best]) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	next.Seq++
	next.Purchases = append(next.Purchases, Purchase{
		Token:  fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq),
		Domain: msg.FailureDomain(p.spec.Shape[best].FailureDomain),
		Reason: fmt.Sprintf("%d of %d: %s", len(kept), p.market.needed, p.market.reason),
	})
}

func (p *pool) before(have map[msg.FailureDomain]int, a, b manifest.DomainShape) bool {
	na, nb := have[msg.FailureDomain(a.FailureDomain)], have[msg.FailureDomain(b.FailureDomain)]
	if (na < a.Min) != (nb < b.Min) {
		return na < a.Min
	}
	return na < nb
}

func perDomain(ts []msg.ProvisionedTarget) map[msg.FailureDomain]int {
	n := make(map[msg.FailureDomain]int)
	for _, t := range ts {
		n[t.Domain]++
	}
	return n
}

// retire begins to give one target back when the surplus has lasted: from the
// fullest failure domain, the one with the least running work.
func (c *Controller) retire(now msg.Time, p *pool, next *Record, kept []msg.ProvisionedTarget) {
	m := &p.market
	if !m.surplus {
		m.surplus, m.surplusSince = true, now
	}
	overShape := len(kept) > p.mostTargets()
	if len(next.Retiring) > 0 || (!overShape && now-m.surplusSince < surplusFactor*c.cfg.LeadTime) {
		return
	}
	if t := p.leastNeeded(kept); t != "" {
		next.Retiring = with(next.Retiring, t)
	}
}

func (p *pool) mostTargets() int {
	n := 0
	for _, s := range p.spec.Shape {
		n += s.Max
	}
	return n
}

func (p *pool) leastNeeded(kept []msg.ProvisionedTarget) msg.TargetID {
	have := perDomain(kept)
	least := make(map[msg.FailureDomain]int)
	for _, s := range p.spec.Shape {
		least[msg.FailureDomain(s.FailureDomain)] = s.Min
	}
	var best msg.TargetID
	var domain msg.FailureDomain
	for _, t := range kept {
		if have[t.Domain] <= least[t.Domain] || !p.withdrawable(t.Target) {
			continue
		}
		if best == "" || have[t.Domain] > have[domain] || (have[t.Domain] == have[domain] && p.running(t.Target) < p.running(best)) {
			best, domain = t.Target, t.Domain
		}
	}
	return best
}

func (p *pool) running(id msg.TargetID) int {
	if t := p.targets[id]; t != nil {
		return t.report.Running
	}
	return 0
}

// giveBack withdraws retiring targets that are drained, or gone.
func (p *pool) giveBack(now msg.Time, next *Record) {
	for _, id := range next.Retiring {
		t := p.targets[id]
		drained := t != nil && t.reachable(now) && t.report.Running == 0 && slices.Contains(next.Held, id)
		ready := drained || p.gone(now, id)
		if !ready || next.open(id) != nil {
			continue
		}
		next.Seq++
		next.Purchases = append(next.Purchases, Purchase{
			Token:  fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq),
			Domain: p.domainOf(id),
			Target: id,
			Reason: "drained and no longer needed",
		})
		return
	}
}

func (p *pool) domainOf(id msg.TargetID) msg.FailureDomain {
	for _, t := range p.market.listed {
		if t.Target == id {
			return t.Domain
		}
	}
	return ""
}
