package platformpoll

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// settleTime is how long after the store has lost writes its list may show targets
	// that have left. Their registrations expire by then.
	settleTime = 5 * time.Second
	// leftRetention is how long targets that have left are remembered. The copy from
	// which a store continues is not that old.
	leftRetention = time.Minute
	// rereadInterval is the least time between two reads of the list that is known to be
	// out of date. A target may show up in it some time after it has started.
	rereadInterval = 200 * time.Millisecond
)

// leftTarget is a target that has left, the process that started at startedMS.
type leftTarget struct {
	at        msg.Time
	startedMS int64
}

func (c *Component) onInstancesRead(now msg.Time, ev msg.InstancesRead) []msg.Effect {
	if ev.Call != c.targetPoll.call {
		return nil
	}
	ok := ev.Status == msg.CallOK
	effs := c.targetPoll.done(now, ok, "targets", ev.Reason)
	if !ok {
		c.unreached = true
		return effs
	}
	c.targetPoll.next = max(ev.Sent+c.pollInterval(c.cfg.InstancesInterval), now)
	era := cmp.Or(ev.Era, c.era)
	if era < c.era || era == c.era && ev.Revision < c.revision {
		return append(effs, msg.LogLine{Component: componentName, Level: msg.LogError, Text: "list of targets from platform is older than the last one"})
	}
	if c.era != 0 && era > c.era {
		effs = append(effs, c.startEra(now, era))
	}
	c.noteReachable(now, ev.Sent)
	effs = append(effs, c.logInvalidEntries(ev)...)
	return append(effs, c.applyList(now, &targetState{List: ev.Instances, Era: era, Revision: ev.Revision, Digest: digestOf(ev.Instances)}, ev.Sent)...)
}

// noteReachable records that the platform was read at an instant, by this daemon or by
// another. Targets that are missing after an outage may not have left. An outage is a time
// over OutageThreshold between two such instants in which a read of this daemon has failed
// or is still open.
func (c *Component) noteReachable(now, at msg.Time) {
	if at <= c.reachableAt {
		return
	}
	failed := c.unreached || c.targetPoll.call != 0
	if failed && c.reachableAt != 0 && at-c.reachableAt > c.cfg.OutageThreshold {
		c.graceUntil = now + c.cfg.ReregisterTimeout
	}
	c.reachableAt, c.unreached = at, false
}

// applyList applies a list of targets as it was at an instant.
func (c *Component) applyList(now msg.Time, t *targetState, at msg.Time) []msg.Effect {
	c.era, c.revision, c.digest = t.Era, t.Revision, t.Digest
	c.lastListSent = at
	c.outdated = false
	effs := c.merge(now, t.List)
	c.readAtGraceEnd()
	return append(effs, msg.Raise{Event: msg.InstancesChanged{Instances: c.instances()}})
}

// keepsOwnList reports whether targets are kept that are missing from the list, or left out
// though the list shows them. The list then counts by the time at which this daemon reads
// it, and nothing is taken on another daemon's word.
func (c *Component) keepsOwnList(now msg.Time) bool {
	return now < c.graceUntil || now < c.settledAt || c.lastListSent < c.settledAt || len(c.expired) > 0
}

// readAtGraceEnd makes the next read follow as soon as the time ends for which missing
// targets are kept. They may have left long before.
func (c *Component) readAtGraceEnd() {
	for _, until := range c.expired {
		c.targetPoll.next = min(c.targetPoll.next, until)
	}
}

// readTargetsSoon makes the next read of the list follow at once, or rereadInterval after
// the last one, because the list is known to be out of date.
func (c *Component) readTargetsSoon(now msg.Time) {
	c.targetPoll.next = min(c.targetPoll.next, max(now, c.lastListSent+rereadInterval))
}

// startEra prepares for the lists of a store that may have lost registrations and may
// show earlier ones again.
func (c *Component) startEra(now msg.Time, era msg.StoreEra) msg.Effect {
	c.graceUntil = now + c.cfg.ReregisterTimeout
	c.settledAt = now + settleTime
	return msg.LogLine{
		Component: componentName, Level: msg.LogWarn, Text: "store has lost writes",
		Attrs: []msg.Attr{{Key: "era", Value: strconv.FormatUint(uint64(era), 10)}},
	}
}

// leftBefore reports whether an instance is one that has left, and that the store may
// only show because it is older.
func (c *Component) leftBefore(now msg.Time, in msg.Instance) bool {
	l, ok := c.left[in.Target]
	return ok && l.startedMS == in.StartedMS && now < c.settledAt
}

// forgetLeft forgets the targets that left longer than leftRetention ago.
func (c *Component) forgetLeft(now msg.Time) {
	maps.DeleteFunc(c.left, func(_ msg.TargetID, l leftTarget) bool { return now-l.at > leftRetention })
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
	c.forgetLeft(now)
	for _, in := range list {
		previous, known := c.instancesByID[in.Target]
		if !known && c.leftBefore(now, in) {
			continue
		}
		seen[in.Target] = true
		delete(c.expired, in.Target)
		if known && previous.StartedMS == in.StartedMS {
			// A process that leaves does not return, though an older store may say so.
			in.Draining = in.Draining || previous.Draining
		}
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
	c.left[id] = leftTarget{at: now, startedMS: c.instancesByID[id].StartedMS}
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
			{Key: "version", Value: in.Version},
		},
	}
}
