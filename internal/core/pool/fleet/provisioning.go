package fleet

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// listInterval is the interval between two reads of the target interface's
	// list.
	listInterval = 5 * time.Second
	// provisionRetryDelay is the time after which a provision request without a
	// response is sent again.
	provisionRetryDelay = 5 * time.Second
)

// provisioning is the provisioning state of one pool in this daemon: the targets
// that it last read from the target interface, its calls to that interface, and
// the number of targets that the pool needs. The target interface is the
// platform's interface for provisioning, releasing and listing targets.
type provisioning struct {
	listed    []msg.ProvisionedTarget
	listKnown bool
	nextList  msg.Time
	// leaving holds the listed targets that the platform is withdrawing.
	leaving map[msg.TargetID]bool
	// readySince holds the time at which each target was first listed as
	// delivered.
	readySince map[msg.TargetID]msg.Time
	// calls holds the tokens of the provision requests whose response is
	// outstanding. nextSend holds, by token, when a request is sent again.
	calls    map[msg.CallID]string
	nextSend map[string]msg.Time
	// surplusSince is when the pool first had more targets than needed. It is
	// valid while hasSurplus is set.
	surplusSince msg.Time
	hasSurplus   bool
	// needed is the number of targets that the pool needs, and reason the reason
	// for it.
	needed int
	reason string
}

func newProvisioning() provisioning {
	return provisioning{
		leaving:    make(map[msg.TargetID]bool),
		readySince: make(map[msg.TargetID]msg.Time),
		calls:      make(map[msg.CallID]string),
		nextSend:   make(map[string]msg.Time),
	}
}

func (c *Controller) onTargetsListed(now msg.Time, ev msg.TargetsListed) {
	p, ok := c.pools[ev.Pool]
	if !ok || ev.Status != msg.CallOK {
		return
	}
	p.provisioning.listed = ev.Targets
	p.provisioning.listKnown = true
	p.provisioning.updateFromList(now)
}

// updateFromList records which listed targets are leaving, and since when each
// one has been delivered.
func (prov *provisioning) updateFromList(now msg.Time) {
	before := prov.readySince
	prov.readySince = make(map[msg.TargetID]msg.Time)
	clear(prov.leaving)
	for _, t := range prov.listed {
		if t.Leaving {
			prov.leaving[t.Target] = true
		}
		if !t.Ready {
			continue
		}
		prov.readySince[t.Target] = now
		if at, ok := before[t.Target]; ok {
			prov.readySince[t.Target] = at
		}
	}
}

// reportIsDue reports whether a target was delivered so long ago that it should
// have reported.
func (prov *provisioning) reportIsDue(now msg.Time, id msg.TargetID) bool {
	at, ok := prov.readySince[id]
	return ok && now-at > silentTimeout
}

// sendProvisionRequests sends the recorded provision requests that are due.
func (c *Controller) sendProvisionRequests(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.stage != stageActive || !a.maySend(now) {
		return nil
	}
	var effs []msg.Effect
	for _, req := range a.record.ProvisionRequests {
		if now < p.provisioning.nextSend[req.Token] {
			continue
		}
		p.provisioning.nextSend[req.Token] = now + provisionRetryDelay
		effs = append(effs, c.sendProvisionRequest(p, req)...)
	}
	return effs
}

func (c *Controller) sendProvisionRequest(p *pool, req ProvisionRequest) []msg.Effect {
	id := c.nextProvisionCall()
	p.provisioning.calls[id] = req.Token
	a := &p.authority
	attrs := []msg.Attr{attr("pool", string(p.name)), attr("domain", string(req.Domain)), attr("token", req.Token), attr("reason", req.Reason)}
	if req.Target != "" {
		return []msg.Effect{
			logLine(msg.LogInfo, "Target release requested", append(attrs, attr("target", string(req.Target)))...),
			msg.ReleaseTarget{Call: id, Target: req.Target, Token: req.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
		}
	}
	return []msg.Effect{
		logLine(msg.LogInfo, "Target requested from platform", attrs...),
		msg.ProvisionTarget{Call: id, Pool: p.name, Domain: req.Domain, Token: req.Token, Epoch: a.epoch, NotAfter: a.until - sendMargin},
	}
}

func (c *Controller) onProvisionDone(_ msg.Time, ev msg.TargetProvisionDone) []msg.Effect {
	for _, name := range c.poolNames() {
		p := c.pools[name]
		token, ok := p.provisioning.calls[ev.Call]
		if !ok {
			continue
		}
		delete(p.provisioning.calls, ev.Call)
		if p.authority.stage != stageActive {
			return nil
		}
		switch ev.Status {
		case msg.CallOK, msg.CallNotFound:
			p.completeProvisionRequest(token)
		case msg.CallRejected:
			// For example, the target of the token was released by an operator. The
			// request would block all later ones.
			p.completeProvisionRequest(token)
			return []msg.Effect{logLine(msg.LogWarn, "Request to the target interface rejected", attr("pool", string(p.name)), attr("token", token))}
		}
		return nil
	}
	return nil
}

// completeProvisionRequest closes a provision request that took effect or never
// will. The list is read again, because only the next read shows the effect.
func (p *pool) completeProvisionRequest(token string) {
	p.authority.updateRecord(func(r *Record) {
		for _, req := range r.ProvisionRequests {
			if req.Token == token && req.Target != "" {
				r.removeTarget(req.Target)
				r.Retiring = withoutID(r.Retiring, req.Target)
			}
		}
		r.removeProvisionRequest(token)
	})
	delete(p.provisioning.nextSend, token)
	p.provisioning.listKnown = false
	p.provisioning.nextList = 0
}

// proposeProvisioning reads the target interface's list if that is due.
// Otherwise it updates the needed number of targets, and adds provision
// requests and retiring targets to the record.
func (c *Controller) proposeProvisioning(now msg.Time, p *pool, next *Record) []msg.Effect {
	prov := &p.provisioning
	if now >= prov.nextList {
		prov.nextList = now + listInterval
		return []msg.Effect{msg.ListTargets{Call: c.nextProvisionCall(), Pool: p.name}}
	}
	if !prov.listKnown || len(next.ProvisionRequests) > 0 {
		return nil
	}
	c.updateNeeded(p)
	effs := p.retireSilentTarget(now, next)
	remaining := p.remainingTargets(now, next)
	switch total := len(remaining); {
	case total < prov.needed:
		prov.hasSurplus = false
		p.requestTarget(next, remaining)
	case total > prov.needed:
		c.retireSurplus(now, p, next, remaining)
	default:
		prov.hasSurplus = false
	}
	p.releaseRetired(now, next)
	return effs
}

// retireSilentTarget starts to retire one target that was delivered and no
// longer reports, if other targets of its failure domain do report. If none of
// them does, the connection between this daemon and the whole domain may be
// interrupted, and the domain must not lose its targets for that.
func (p *pool) retireSilentTarget(now msg.Time, next *Record) []msg.Effect {
	if len(next.Retiring) > 0 {
		return nil
	}
	reporting := make(map[msg.FailureDomain]bool)
	for _, t := range p.sorted() {
		reporting[t.domain] = reporting[t.domain] || t.reachable(now)
	}
	for _, t := range p.provisioning.listed {
		silent := p.provisioning.reportIsDue(now, t.Target) && p.confirmedSilent(now, t.Target)
		if !silent || t.Leaving || !reporting[t.Domain] {
			continue
		}
		next.Retiring = withID(next.Retiring, t.Target)
		return []msg.Effect{logLine(msg.LogWarn, "Target without reports is retired",
			attr("pool", string(p.name)), attr("target", string(t.Target)), attr("domain", string(t.Domain)))}
	}
	return nil
}
