package fleet

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// listInterval is the interval between two reads of the target
	// interface's list.
	listInterval = 5 * time.Second
	// purchaseRetry is the time after which an unanswered purchase is sent
	// again.
	purchaseRetry = 5 * time.Second
)

// market follows the target interface for one pool.
type market struct {
	listed   []msg.ProvisionedTarget
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
			msg.ReleaseTarget{Call: id, Target: buy.Target, Token: buy.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
		}
	}
	return []msg.Effect{
		logLine(msg.LogInfo, "Target ordered", attrs...),
		msg.ProvisionTarget{Call: id, Pool: p.name, Domain: buy.Domain, Token: buy.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
	}
}

func (c *Controller) onPurchaseDone(_ msg.Time, ev msg.TargetProvisionDone) []msg.Effect {
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
