package fleet

import (
	"fmt"
	"math"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// headroomDeviations is the number of standard deviations of the demand
	// that the pool should be able to serve above the mean.
	headroomDeviations = 1.0
	// surplusFactor is the number of lead times for which a surplus must last
	// before targets are released.
	surplusFactor = 2
)

// updateNeeded sets the needed number of targets from the forecast. The pool
// should be able to serve the expected load without its largest failure
// domain, and the load plus headroom with all failure domains.
func (c *Controller) updateNeeded(p *pool) {
	minimum, maximum := 0, 0
	for _, s := range p.spec.Shape {
		minimum += s.Min
		maximum += s.Max
	}
	f := p.estimator.Forecast()
	if p.spec.Kind != manifest.PoolEngines || p.estimator.Samples() < minDemandSamples {
		p.provisioning.needed, p.provisioning.reason = minimum, "the manifest's least number"
		return
	}
	eff := c.cfg.Efficiency
	engines := func(prefill, decode float64) float64 { return prefill/eff.Prefill + decode/eff.Decode }
	peak := f.Shifted(headroomDeviations, 0)
	want := engines(peak.Prefill, peak.Decode)
	if n := len(p.spec.Shape); n > 1 {
		want = max(want, engines(f.Mean.Prefill, f.Mean.Decode)*float64(n)/float64(n-1))
	}
	p.provisioning.needed = min(maximum, max(minimum, int(math.Ceil(want))))
	p.provisioning.reason = fmt.Sprintf("demand %.1f engines, deviation %.1f", f.Mean.Total(), f.TotalDeviation)
}

// remainingTargets returns the targets that are to stay: the listed ones that
// are neither leaving nor retiring, and those that report but are not listed,
// because they were not provisioned through the target interface.
func (p *pool) remainingTargets(now msg.Time, rec *Record) []msg.ProvisionedTarget {
	var out []msg.ProvisionedTarget
	listed := make(map[msg.TargetID]bool)
	for _, t := range p.provisioning.listed {
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

// releasable reports whether a target can be released through the target
// interface, which must have delivered it.
func (p *pool) releasable(id msg.TargetID) bool {
	return slices.ContainsFunc(p.provisioning.listed, func(t msg.ProvisionedTarget) bool { return t.Target == id })
}

// requestTarget adds a request for a new target to the record. It is for the
// failure domain that has the fewest targets; domains below their minimum come
// first, and domains at their maximum are left out.
func (p *pool) requestTarget(next *Record, remaining []msg.ProvisionedTarget) {
	have := countPerDomain(remaining)
	best := -1
	for i, s := range p.spec.Shape {
		d := msg.FailureDomain(s.FailureDomain)
		if have[d] >= s.Max {
			continue
		}
		if best < 0 || p.needsTargetBefore(have, s, p.spec.Shape[best]) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	next.Seq++
	next.ProvisionRequests = append(next.ProvisionRequests, ProvisionRequest{
		Token:  fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq),
		Domain: msg.FailureDomain(p.spec.Shape[best].FailureDomain),
		Reason: fmt.Sprintf("%d of %d: %s", len(remaining), p.provisioning.needed, p.provisioning.reason),
	})
}

// needsTargetBefore reports whether failure domain a should get a target before
// b.
func (p *pool) needsTargetBefore(have map[msg.FailureDomain]int, a, b manifest.DomainShape) bool {
	na, nb := have[msg.FailureDomain(a.FailureDomain)], have[msg.FailureDomain(b.FailureDomain)]
	if (na < a.Min) != (nb < b.Min) {
		return na < a.Min
	}
	return na < nb
}

func countPerDomain(ts []msg.ProvisionedTarget) map[msg.FailureDomain]int {
	n := make(map[msg.FailureDomain]int)
	for _, t := range ts {
		n[t.Domain]++
	}
	return n
}

// retireSurplus starts to retire one target if the surplus has lasted long
// enough, or at once if the pool exceeds the maximum of its shape. It takes the
// target with the least running work from the failure domain with the most
// targets.
func (c *Controller) retireSurplus(now msg.Time, p *pool, next *Record, remaining []msg.ProvisionedTarget) {
	prov := &p.provisioning
	if !prov.hasSurplus {
		prov.hasSurplus, prov.surplusSince = true, now
	}
	exceedsShape := len(remaining) > p.maxTargets()
	if len(next.Retiring) > 0 || (!exceedsShape && now-prov.surplusSince < surplusFactor*c.cfg.LeadTime) {
		return
	}
	if t := p.retirementCandidate(remaining); t != "" {
		next.Retiring = withID(next.Retiring, t)
	}
}

// maxTargets returns the maximum number of targets over all failure domains.
func (p *pool) maxTargets() int {
	n := 0
	for _, s := range p.spec.Shape {
		n += s.Max
	}
	return n
}

// retirementCandidate returns the target to retire next, or an empty ID.
// Failure domains at their minimum are left out.
func (p *pool) retirementCandidate(remaining []msg.ProvisionedTarget) msg.TargetID {
	have := countPerDomain(remaining)
	minimum := make(map[msg.FailureDomain]int)
	for _, s := range p.spec.Shape {
		minimum[msg.FailureDomain(s.FailureDomain)] = s.Min
	}
	var best msg.TargetID
	var domain msg.FailureDomain
	for _, t := range remaining {
		if have[t.Domain] <= minimum[t.Domain] || !p.releasable(t.Target) {
			continue
		}
		if best == "" || have[t.Domain] > have[domain] || (have[t.Domain] == have[domain] && p.runningAttempts(t.Target) < p.runningAttempts(best)) {
			best, domain = t.Target, t.Domain
		}
	}
	return best
}

func (p *pool) runningAttempts(id msg.TargetID) int {
	if t := p.targets[id]; t != nil {
		return t.report.Running
	}
	return 0
}

// releaseRetired adds a request to release one retiring target that is drained
// or no longer reports.
func (p *pool) releaseRetired(now msg.Time, next *Record) {
	for _, id := range next.Retiring {
		t := p.targets[id]
		drained := t != nil && t.reachable(now) && t.report.Running == 0 && slices.Contains(next.Drained, id)
		ready := drained || p.confirmedSilent(now, id)
		if !ready || next.openOrder(id) != nil {
			continue
		}
		next.Seq++
		next.ProvisionRequests = append(next.ProvisionRequests, ProvisionRequest{
			Token:  fmt.Sprintf("%s/%d/%d", p.name, p.authority.epoch, next.Seq),
			Domain: p.domainOf(id),
			Target: id,
			Reason: "drained and no longer needed",
		})
		return
	}
}

func (p *pool) domainOf(id msg.TargetID) msg.FailureDomain {
	for _, t := range p.provisioning.listed {
		if t.Target == id {
			return t.Domain
		}
	}
	return ""
}
