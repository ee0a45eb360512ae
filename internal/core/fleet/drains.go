package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// drainsInterval is the interval between two reads of the operators' drains.
const drainsInterval = 2 * time.Second

// drains are the targets that operators want drained, as kept at the
// platform: one object for each target. An ended drain stays as an object, so
// that a late write of an earlier wish fails instead of bringing it back.
type drains struct {
	wanted map[msg.TargetID]bool
	known  bool
	next   msg.Time
	// wishes holds the operators' calls that wait for the object's version.
	wishes map[msg.CallID]msg.DrainRequested
}

// drainBody is the body of a drain object.
type drainBody struct {
	Author string `json:"author"`
	Drain  bool   `json:"drain"`
}

func newDrains() drains {
	return drains{wanted: make(map[msg.TargetID]bool), wishes: make(map[msg.CallID]msg.DrainRequested)}
}

func (c *Controller) onDrainRequested(ev msg.DrainRequested) []msg.Effect {
	c.drains.wishes[ev.Call] = ev
	tag := c.call(storeCall{kind: callReadDrain, operator: ev.Call})
	return []msg.Effect{c.objects.Get(tag, msg.KindDrain, string(ev.Target))}
}

// onDrainRead writes a wish over the version that was read.
func (c *Controller) onDrainRead(now msg.Time, call storeCall, r store.Result) []msg.Effect {
	wish := c.drains.wishes[call.operator]
	delete(c.drains.wishes, call.operator)
	missing := r.Status == msg.CallNotFound
	if r.Status != msg.CallOK && !missing {
		return c.answerDrain(call.operator, r.Status)
	}
	if missing && wish.Undo {
		return c.answerDrain(call.operator, msg.CallOK)
	}
	tag := c.call(storeCall{kind: callWriteDrain, operator: call.operator})
	body := drainBody{Author: wish.Author, Drain: !wish.Undo}
	return []msg.Effect{c.objects.Put(now, tag, msg.KindDrain, string(wish.Target), body, r.Object.Version, 0)}
}

func (c *Controller) answerDrain(call msg.CallID, status msg.CallStatus) []msg.Effect {
	c.drains.next = 0
	return []msg.Effect{msg.AnswerDrainRequest{Call: call, Status: status}}
}

// listDrains reads the drains while this daemon looks after a pool.
func (c *Controller) listDrains(now msg.Time) []msg.Effect {
	if now < c.drains.next || !c.active() {
		return nil
	}
	c.drains.next = now + drainsInterval
	tag := c.call(storeCall{kind: callListDrains})
	return []msg.Effect{c.objects.List(tag, msg.KindDrain, "")}
}

func (c *Controller) active() bool {
	return slices.ContainsFunc(c.names(), func(n msg.PoolID) bool {
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

// drainReason says why a target is to be drained, or "".
func (c *Controller) drainReason(p *pool, rec *Record, t *target) string {
	switch {
	case c.drains.wanted[t.id]:
		return "an operator asks for it"
	case c.leaving[t.host]:
		return "its host is leaving"
	case p.market.leaving[t.id]:
		return "the platform withdraws it"
	case slices.Contains(rec.Retiring, t.id):
		return "it is no longer needed"
	}
	return ""
}

// proposeDrains adds drains and their ends to the record.
func (c *Controller) proposeDrains(now msg.Time, p *pool, next *Record) {
	if !c.drains.known {
		return
	}
	for _, t := range p.sorted() {
		if next.open(t.id) != nil || !t.reachable(now) || now < t.resting {
			continue
		}
		reason := c.drainReason(p, next, t)
		held := slices.Contains(next.Held, t.id)
		serving := t.report.Phase == msg.PhaseServing
		switch {
		case reason != "" && (!held || serving):
			p.add(next, t, msg.Order{Kind: msg.OrderDrain}, c.cfg.OrderTimeout, reason)
		case reason == "" && held:
			p.add(next, t, msg.Order{Kind: msg.OrderResume}, c.cfg.OrderTimeout, "nothing asks for its drain any more")
		}
	}
}
