package platformpoll

import (
	"slices"
	"strconv"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func (p *Component) onInstances(now msg.Time, ev msg.InstancesRead) []msg.Effect {
	if ev.Call != p.list.call {
		return nil
	}
	ok := ev.Status == msg.CallOK
	wasDown := p.list.down
	effs := p.list.answered(now, ok, "targets", ev.Reason)
	if !ok {
		return effs
	}
	p.list.next = max(ev.Sent+p.cfg.InstancesEvery, now)
	if ev.Revision < p.revision {
		return append(effs, msg.LogLine{Component: partName, Level: msg.LogError, Text: "list of targets is older than the last one"})
	}
	if wasDown && p.listed != 0 && ev.Sent-p.listed > p.cfg.Outage {
		p.graceUntil = now + p.cfg.Return
	}
	p.revision = ev.Revision
	p.listed = ev.Sent
	effs = append(effs, p.logOdd(ev)...)
	effs = append(effs, p.merge(now, ev.Instances)...)
	return append(effs, msg.Raise{Event: msg.InstancesChanged{Instances: p.instances()}})
}

func (p *Component) logOdd(ev msg.InstancesRead) []msg.Effect {
	if ev.Invalid == p.odd {
		return nil
	}
	p.odd = ev.Invalid
	return []msg.Effect{msg.LogLine{
		Component: partName, Level: msg.LogWarn, Text: "entries name no target",
		Attrs: []msg.Attr{{Key: "count", Value: strconv.Itoa(ev.Invalid)}, {Key: "reason", Value: ev.InvalidReason}},
	}}
}

// merge takes a list. A target that is missing from the first lists after an
// outage is kept for a while, since the platform may have dropped its entry
// while it could not renew it.
func (p *Component) merge(now msg.Time, list []msg.Instance) []msg.Effect {
	var effs []msg.Effect
	seen := make(map[msg.TargetID]bool, len(list))
	for _, in := range list {
		seen[in.Target] = true
		delete(p.lapsed, in.Target)
		old, known := p.known[in.Target]
		if !known {
			p.order = append(p.order, in.Target)
		}
		if !known || old != in {
			effs = append(effs, logInstance(in))
		}
		p.known[in.Target] = in
	}
	for _, id := range slices.Clone(p.order) {
		if !seen[id] {
			effs = append(effs, p.missing(now, id)...)
		}
	}
	slices.Sort(p.order)
	return effs
}

func (p *Component) missing(now msg.Time, id msg.TargetID) []msg.Effect {
	until, waiting := p.lapsed[id]
	if !waiting && now < p.graceUntil && !p.known[id].Draining {
		until = p.graceUntil
		p.lapsed[id] = until
		waiting = true
	}
	if waiting && now < until {
		return nil
	}
	delete(p.lapsed, id)
	delete(p.known, id)
	p.order = slices.DeleteFunc(p.order, func(t msg.TargetID) bool { return t == id })
	return []msg.Effect{msg.LogLine{
		Component: partName, Text: "target gone",
		Attrs: []msg.Attr{{Key: "target", Value: string(id)}},
	}}
}

func (p *Component) instances() []msg.Instance {
	out := make([]msg.Instance, 0, len(p.order))
	for _, id := range p.order {
		out = append(out, p.known[id])
	}
	return out
}

func logInstance(in msg.Instance) msg.Effect {
	return msg.LogLine{
		Component: partName, Text: "target listed",
		Attrs: []msg.Attr{
			{Key: "target", Value: string(in.Target)},
			{Key: "service", Value: string(in.Service)},
			{Key: "addr", Value: in.Addr},
			{Key: "state", Value: in.State()},
			{Key: "role", Value: in.Role.String()},
		},
	}
}
