package platformpoll

import (
	"slices"
	"strconv"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func (c *Component) onInstancesRead(now msg.Time, ev msg.InstancesRead) []msg.Effect {
	if ev.Call != c.targetPoll.call {
		return nil
	}
	ok := ev.Status == msg.CallOK
	wasFailing := c.targetPoll.failing
	effs := c.targetPoll.done(now, ok, "targets", ev.Reason)
	if !ok {
		return effs
	}
	c.targetPoll.next = max(ev.Sent+c.cfg.InstancesInterval, now)
	if ev.Revision < c.revision {
		return append(effs, msg.LogLine{Component: componentName, Level: msg.LogError, Text: "list of targets from platform is older than the last one"})
	}
	if wasFailing && c.lastListSent != 0 && ev.Sent-c.lastListSent > c.cfg.OutageThreshold {
		c.graceUntil = now + c.cfg.ReregisterTimeout
	}
	c.revision = ev.Revision
	c.lastListSent = ev.Sent
	effs = append(effs, c.logInvalidEntries(ev)...)
	effs = append(effs, c.merge(now, ev.Instances)...)
	return append(effs, msg.Raise{Event: msg.InstancesChanged{Instances: c.instances()}})
}

func (c *Component) logInvalidEntries(ev msg.InstancesRead) []msg.Effect {
	if ev.Invalid == c.invalidEntries {
		return nil
	}
	c.invalidEntries = ev.Invalid
	return []msg.Effect{msg.LogLine{
		Component: componentName, Level: msg.LogWarn, Text: "list of targets has invalid entries",
		Attrs: []msg.Attr{{Key: "count", Value: strconv.Itoa(ev.Invalid)}, {Key: "reason", Value: ev.InvalidReason}},
	}}
}

// merge updates the known targets from a list. A target that is missing from the
// lists that follow an outage is kept for some time, because the platform may
// have dropped its entry while the target could not renew it.
func (c *Component) merge(now msg.Time, list []msg.Instance) []msg.Effect {
	var effs []msg.Effect
	seen := make(map[msg.TargetID]bool, len(list))
	for _, in := range list {
		seen[in.Target] = true
		delete(c.expired, in.Target)
		previous, known := c.instancesByID[in.Target]
		if !known {
			c.targetIDs = append(c.targetIDs, in.Target)
		}
		if !known || previous != in {
			effs = append(effs, logInstance(in))
		}
		c.instancesByID[in.Target] = in
	}
	for _, id := range slices.Clone(c.targetIDs) {
		if !seen[id] {
			effs = append(effs, c.onMissing(now, id)...)
		}
	}
	slices.Sort(c.targetIDs)
	return effs
}

func (c *Component) onMissing(now msg.Time, id msg.TargetID) []msg.Effect {
	until, kept := c.expired[id]
	if !kept && now < c.graceUntil && !c.instancesByID[id].Draining {
		until = c.graceUntil
		c.expired[id] = until
		kept = true
	}
	if kept && now < until {
		return nil
	}
	delete(c.expired, id)
	delete(c.instancesByID, id)
	c.targetIDs = slices.DeleteFunc(c.targetIDs, func(t msg.TargetID) bool { return t == id })
	return []msg.Effect{msg.LogLine{
		Component: componentName, Text: "target removed from list",
		Attrs: []msg.Attr{{Key: "target", Value: string(id)}},
	}}
}

func (c *Component) instances() []msg.Instance {
	out := make([]msg.Instance, 0, len(c.targetIDs))
	for _, id := range c.targetIDs {
		out = append(out, c.instancesByID[id])
	}
	return out
}

func logInstance(in msg.Instance) msg.Effect {
	return msg.LogLine{
		Component: componentName, Text: "target added or changed in list",
		Attrs: []msg.Attr{
			{Key: "target", Value: string(in.Target)},
			{Key: "service", Value: string(in.Service)},
			{Key: "addr", Value: in.Addr},
			{Key: "state", Value: in.State()},
			{Key: "role", Value: in.Role.String()},
		},
	}
}
