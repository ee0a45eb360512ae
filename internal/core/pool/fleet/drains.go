package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// drainListInterval is the interval between two reads of the list of operators'
// drains.
const drainListInterval = 2 * time.Second

// operatorDrains holds the targets that operators want drained. known is set
// once they have been read. The platform stores one object for each target.
// When a drain ends, its object stays, so that a late write of an earlier
// request fails and does not start the drain again.
type operatorDrains struct {
	wanted   map[msg.TargetID]bool
	known    bool
	nextList msg.Time
	// requests holds the operators' requests that wait for the version of the
	// object.
	requests map[msg.CallID]msg.DrainRequested
}

// drainBody is the body of a drain object.
type drainBody struct {
	Author string `json:"author"`
	Drain  bool   `json:"drain"`
}

func newDrains() operatorDrains {
	return operatorDrains{wanted: make(map[msg.TargetID]bool), requests: make(map[msg.CallID]msg.DrainRequested)}
}

func (c *Controller) onDrainRequested(ev msg.DrainRequested) []msg.Effect {
	c.drains.requests[ev.Call] = ev
	tag := c.registerCall(storeCall{kind: callReadDrain, operatorCall: ev.Call})
	return []msg.Effect{c.objects.Get(tag, msg.KindDrain, string(ev.Target))}
}

// onDrainRead stores an operator's request under the condition that the drain
// object still has the version that was read.
func (c *Controller) onDrainRead(now msg.Time, call storeCall, r store.Result) []msg.Effect {
	req := c.drains.requests[call.operatorCall]
	delete(c.drains.requests, call.operatorCall)
	missing := r.Status == msg.CallNotFound
	if r.Status != msg.CallOK && !missing {
		return c.answerDrainRequest(call.operatorCall, r.Status)
	}
	if missing && req.Undo {
		return c.answerDrainRequest(call.operatorCall, msg.CallOK)
	}
	tag := c.registerCall(storeCall{kind: callWriteDrain, operatorCall: call.operatorCall})
	body := drainBody{Author: req.Author, Drain: !req.Undo}
	return []msg.Effect{c.objects.Put(now, tag, msg.KindDrain, string(req.Target), body, r.Object.Version, 0)}
}

func (c *Controller) answerDrainRequest(call msg.CallID, status msg.CallStatus) []msg.Effect {
	c.drains.nextList = 0
	return []msg.Effect{msg.AnswerDrainRequest{Call: call, Status: status}}
}

// listDrains reads the list of drains while this daemon manages a pool.
func (c *Controller) listDrains(now msg.Time) []msg.Effect {
	if now < c.drains.nextList || !c.holdsAnyPool() {
		return nil
	}
	c.drains.nextList = now + drainListInterval
	tag := c.registerCall(storeCall{kind: callListDrains})
	return []msg.Effect{c.objects.List(tag, msg.KindDrain, "")}
}

func (c *Controller) holdsAnyPool() bool {
	return slices.ContainsFunc(c.poolNames(), func(n msg.PoolID) bool {
		return c.pools[n].authority.stage == stageActive
	})
}

func (c *Controller) onDrainsListed(r store.Result) {
	if r.Status != msg.CallOK {
		return
	}
	c.drains.known = true
	clear(c.drains.wanted)
	for _, o := range r.Objects {
		var body drainBody
		if !o.Deleted && json.Unmarshal(o.Value, &body) == nil && body.Drain {
			c.drains.wanted[msg.TargetID(o.Name)] = true
		}
	}
}

// drainReason returns the reason why a target is to be drained, or an empty
// string.
func (c *Controller) drainReason(p *pool, rec *Record, t *target) string {
	switch {
	case c.drains.wanted[t.id]:
		return "an operator asks for it"
	case c.leavingHosts[t.host]:
		return "its host is leaving"
	case p.provisioning.leaving[t.id]:
		return "the platform withdraws it"
	case slices.Contains(rec.Retiring, t.id):
		return "it is no longer needed"
	}
	return ""
}

// proposeDrains adds orders to drain targets, and to end drains, to the record.
func (c *Controller) proposeDrains(now msg.Time, p *pool, next *Record) {
	if !c.drains.known {
		return
	}
	for _, t := range p.sorted() {
		if next.openOrder(t.id) != nil || !t.reachable(now) || now < t.backoffUntil {
			continue
		}
		reason := c.drainReason(p, next, t)
		drained := slices.Contains(next.Drained, t.id)
		serving := t.report.Phase == msg.PhaseServing
		switch {
		case reason != "" && (!drained || serving):
			p.addOrder(next, t, msg.Order{Kind: msg.OrderDrain}, c.cfg.OrderTimeout, reason)
		case reason == "" && drained:
			p.addOrder(next, t, msg.Order{Kind: msg.OrderResume}, c.cfg.OrderTimeout, "nothing asks for its drain any more")
		}
	}
}
