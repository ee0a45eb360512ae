package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// listInterval is the interval between two reads of the target
	// interface's list.
	listInterval = 5 * time.Second
	// purchaseRetry is the time after which an unanswered purchase is sent
	// again.
	purchaseRetry = 5 * time.Second
	// headroom is the number of standard deviations of demand that are bought.
	headroom = 1.0
	// surplusFactor is how many lead times a surplus lasts before targets are
	// withdrawn.
	surplusFactor = 2
)

// market follows the target interface for one pool.
type market struct {
	listed   []msg.OrderedTarget
	known    bool
	nextList msg.Time
	leaving  map[msg.TargetID]bool
	// ready holds when each target was first listed as delivered.
	ready map[msg.TargetID]msg.Time
	// calls holds the purchases that are under way by call.
	calls map[msg.CallID]string
	again map[string]msg.Time
	// surplusSince is when more targets were first kept than needed.
	surplusSince msg.Time
	surplus      bool
	needed       int
	reason       string
}

func newMarket() market {
	return market{
		leaving: make(map[msg.TargetID]bool),
		ready:   make(map[msg.TargetID]msg.Time),
		calls:   make(map[msg.CallID]string),
		again:   make(map[string]msg.Time),
	}
}

func (c *Controller) onTargetsListed(now msg.Time, ev msg.TargetsListed) {
	p, ok := c.pools[ev.Pool]
	if !ok || ev.Status != msg.CallOK {
		return
	}
	p.market.listed = ev.Targets
	p.market.known = true
	p.market.follow(now)
}

// follow notes which listed targets leave, and since when each is there.
func (m *market) follow(now msg.Time) {
	before := m.ready
	m.ready = make(map[msg.TargetID]msg.Time)
	clear(m.leaving)
	for _, t := range m.listed {
		if t.Leaving {
			m.leaving[t.Target] = true
		}
		if !t.Ready {
			continue
		}
		m.ready[t.Target] = now
		if at, ok := before[t.Target]; ok {
			m.ready[t.Target] = at
		}
	}
}

// settledIn reports whether a target was delivered long enough ago to be
// heard.
func (m *market) settledIn(now msg.Time, id msg.TargetID) bool {
	at, ok := m.ready[id]
	return ok && now-at > forgetAfter
}

// sendPurchases sends the recorded purchases that are due.
func (c *Controller) sendPurchases(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.stage != stageActive || !a.valid(now) {
		return nil
	}
	var effs []msg.Effect
	for _, buy := range a.record.Purchases {
		if now < p.market.again[buy.Token] {
			continue
		}
		p.market.again[buy.Token] = now + purchaseRetry
		effs = append(effs, c.sendPurchase(p, buy)...)
	}
	return effs
}

func (c *Controller) sendPurchase(p *pool, buy Purchase) []msg.Effect {
	id := c.nextCall()
	p.market.calls[id] = buy.Token
	a := &p.authority
	attrs := []msg.Attr{attr("pool", string(p.name)), attr("domain", string(buy.Domain)), attr("token", buy.Token), attr("reason", buy.Reason)}
	if buy.Target != "" {
		return []msg.Effect{
			logLine(msg.LogInfo, "Target given back", append(attrs, attr("target", string(buy.Target)))...),
			msg.WithdrawTarget{Call: id, Target: buy.Target, Token: buy.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
		}
	}
	return []msg.Effect{
		logLine(msg.LogInfo, "Target ordered", attrs...),
		msg.OrderTarget{Call: id, Pool: p.name, Domain: buy.Domain, Token: buy.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
	}
}

func (c *Controller) onPurchaseDone(_ msg.Time, ev msg.TargetOrderDone) []msg.Effect {
	for _, name := range c.names() {
		p := c.pools[name]
		token, ok := p.market.calls[ev.Call]
		if !ok {
			continue
		}
		delete(p.market.calls, ev.Call)
		if p.authority.stage == stageActive && (ev.Status == msg.CallOK || ev.Status == msg.CallNotFound) {
			p.settlePurchase(token)
		}
		return nil
	}
	return nil
}

// settlePurchase closes a purchase that took effect. The list shows it from
// its next reading on.
func (p *pool) settlePurchase(token string) {
	p.authority.revise(func(r *Record) {
		for _, buy := range r.Purchases {
			if buy.Token == token && buy.Target != "" {
				r.forget(buy.Target)
				r.Retiring = without(r.Retiring, buy.Target)
			}
		}
		r.closePurchase(token)
	})
	delete(p.market.again, token)
	p.market.known = false
	p.market.nextList = 0
}

// proposePurchases reads the target interface's list and adds purchases to
// the record.
func (c *Controller) proposePurchases(now msg.Time, p *pool, next *Record) []msg.Effect {
	m := &p.market
	if now >= m.nextList {
		m.nextList = now + listInterval
		return []msg.Effect{msg.ListTargets{Call: c.nextCall(), Pool: p.name}}
	}
	if !m.known || len(next.Purchases) > 0 {
		return nil
	}
	c.need(p)
	effs := p.replaceSilent(now, next)
	kept := p.kept(now, next)
	switch total := len(kept); {
	case total < m.needed:
		m.surplus = false
		p.buy(next, kept)
	case total > m.needed:
		c.retire(now, p, next, kept)
	default:
		m.surplus = false
	}
	p.giveBack(now, next)
	return effs
}

// replaceSilent begins to give one target back that was delivered and then
// fell silent, while others of its failure domain are heard: a cut between
// this daemon and a whole domain must not cost the domain its targets.
func (p *pool) replaceSilent(now msg.Time, next *Record) []msg.Effect {
	if len(next.Retiring) > 0 {
		return nil
	}
	heard := make(map[msg.FailureDomain]bool)
	for _, t := range p.sorted() {
		heard[t.domain] = heard[t.domain] || t.reachable(now)
	}
	for _, t := range p.market.listed {
		silent := p.market.settledIn(now, t.Target) && p.gone(now, t.Target)
		if !silent || t.Leaving || !heard[t.Domain] {
			continue
		}
		next.Retiring = with(next.Retiring, t.Target)
		return []msg.Effect{logLine(msg.LogWarn, "Silent target is replaced",
			attr("pool", string(p.name)), attr("target", string(t.Target)), attr("domain", string(t.Domain)))}
	}
	return nil
}

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
func (p *pool) kept(now msg.Time, rec *Record) []msg.OrderedTarget {
	var out []msg.OrderedTarget
	listed := make(map[msg.TargetID]bool)
	for _, t := range p.market.listed {
		listed[t.Target] = true
		if !t.Leaving && !slices.Contains(rec.Retiring, t.Target) {
			out = append(out, t)
		}
	}
	for _, t := range p.sorted() {
		if !listed[t.id] && t.reachable(now) {
			out = append(out, msg.OrderedTarget{Target: t.id, Domain: t.domain})
		}
	}
	return out
}

// withdrawable reports whether a target can be given back to the interface
// that delivered it.
func (p *pool) withdrawable(id msg.TargetID) bool {
	return slices.ContainsFunc(p.market.listed, func(t msg.OrderedTarget) bool { return t.Target == id })
}

// buy adds a purchase in the failure domain that has the fewest targets
// against its shape: first those under their least number.
func (p *pool) buy(next *Record, kept []msg.OrderedTarget) {
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

func perDomain(ts []msg.OrderedTarget) map[msg.FailureDomain]int {
	n := make(map[msg.FailureDomain]int)
	for _, t := range ts {
		n[t.Domain]++
	}
	return n
}

// retire begins to give one target back when the surplus has lasted: from the
// fullest failure domain, the one with the least running work.
func (c *Controller) retire(now msg.Time, p *pool, next *Record, kept []msg.OrderedTarget) {
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

func (p *pool) leastNeeded(kept []msg.OrderedTarget) msg.TargetID {
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
