package roles

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// expectedRole is a role that an engine was ordered to take. It replaces the
// listed role in decisions until the given time.
type expectedRole struct {
	role  msg.Role
	until msg.Time
}

// withExpectedRoles returns a service's engines, with the expected role of each
// engine that has one in place of its listed role. It drops expected roles that
// have expired or that the list shows now.
func (c *Controller) withExpectedRoles(now msg.Time, id msg.ServiceID) []msg.Instance {
	list := c.available(now, id)
	for i := range list {
		exp, ok := c.expected[list[i].Target]
		switch {
		case ok && (now >= exp.until || list[i].Role == exp.role):
			delete(c.expected, list[i].Target)
		case ok:
			list[i].Role = exp.role
		}
	}
	return list
}

// chooseEngine returns the engine that is to change to a role. It is chosen from
// the failure domain with the most engines of the other role. The result is
// false if no engine may be given an order now.
func (c *Controller) chooseEngine(now msg.Time, list []msg.Instance, role msg.Role) (msg.Instance, bool) {
	count := make(map[msg.FailureDomain]int)
	var free []msg.Instance
	for _, in := range list {
		if in.Role == role {
			continue
		}
		count[in.Domain]++
		if now >= c.noOrderBefore[in.Target] {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return msg.Instance{}, false
	}
	return slices.MinFunc(free, func(a, b msg.Instance) int {
		return cmp.Or(cmp.Compare(count[b.Domain], count[a.Domain]), cmp.Compare(a.Target, b.Target))
	}), true
}

func (c *Controller) orderRoleChange(now msg.Time, in msg.Instance, role msg.Role, decoding, want int) []msg.Effect {
	c.lastCall++
	c.orderOpen = true
	c.orderedTarget = in.Target
	c.orderedRole = role
	c.noOrderBefore[in.Target] = now + orderCooldown
	return []msg.Effect{
		msg.Raise{Event: msg.RoleChangePending{Target: in.Target, Role: role, MaxDuration: unknownChangeTime}},
		msg.ChangeRole{
			Call: c.lastCall, Target: in.Target, Addr: in.Addr, Role: role,
			Holder: c.cfg.Self, Epoch: c.lease.Epoch, NotAfter: c.lease.Until,
		},
		msg.LogLine{Component: componentName, Text: "role change ordered", Attrs: []msg.Attr{
			{Key: "target", Value: string(in.Target)},
			{Key: "role", Value: role.String()},
			{Key: "epoch", Value: strconv.FormatUint(uint64(c.lease.Epoch), 10)},
			{Key: "decoding", Value: strconv.Itoa(decoding)},
			{Key: "wanted", Value: strconv.Itoa(want)},
		}},
	}
}

func (c *Controller) onRoleChangeDone(now msg.Time, ev msg.RoleChangeDone) []msg.Effect {
	if ev.Call != c.lastCall {
		return nil
	}
	c.orderOpen = false
	changing := msg.RoleChangePending{Target: c.orderedTarget, Role: c.orderedRole}
	// The list of instances shows the new role only when the change is complete.
	switch ev.Status {
	case msg.OrderDone:
		changing.MaxDuration = maxChangeTime
		c.expected[c.orderedTarget] = expectedRole{c.orderedRole, now + maxChangeTime}
	case msg.OrderUnknown:
		changing.MaxDuration = unknownChangeTime
		c.noOrderBefore[c.orderedTarget] = now + lateOrderWindow
		c.expected[c.orderedTarget] = expectedRole{c.orderedRole, now + lateOrderWindow}
	}
	return []msg.Effect{msg.Raise{Event: changing}, msg.LogLine{Component: componentName, Text: "role change result received", Attrs: []msg.Attr{
		{Key: "target", Value: string(c.orderedTarget)},
		{Key: "status", Value: ev.Status.String()},
		{Key: "reason", Value: ev.Reason},
	}}}
}
