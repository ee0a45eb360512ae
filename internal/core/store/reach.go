package store

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// outageLength is the time without a successful call, with failed ones in it, that
	// is considered an outage. Shorter ones leave the backoffs of components as they are,
	// so that calls refused by a store under load are not repeated at once.
	outageLength = time.Second
	// staleCall is the age of a call at the end of an outage above which its response is
	// not waited for any longer.
	staleCall = 300 * time.Millisecond
)

// Reach is the component that notices the end of an outage of the store, by the calls of
// all components of this process.
type Reach struct {
	// lastSuccess is when a call last succeeded, and failed is set if one has failed
	// since.
	lastSuccess msg.Time
	failed      bool
}

// Step implements reducer.Component.
func (r *Reach) Step(now msg.Time, ev msg.Event) []msg.Effect {
	status, ok := statusOf(ev)
	if !ok {
		return nil
	}
	if status == msg.CallUnavailable || status == msg.CallUnknown {
		r.failed = true
		return nil
	}
	ended := r.failed && now-r.lastSuccess >= outageLength
	r.lastSuccess, r.failed = now, false
	if !ended {
		return nil
	}
	return []msg.Effect{msg.Raise{Event: msg.StoreReachable{}}}
}

// statusOf returns the status of a call's result. It returns false for other events.
func statusOf(ev msg.Event) (msg.CallStatus, bool) {
	switch ev := ev.(type) {
	case msg.GetDone:
		return ev.Status, true
	case msg.ListDone:
		return ev.Status, true
	case msg.PutDone:
		return ev.Status, true
	case msg.RoutesRead:
		return ev.Status, true
	case msg.InstancesRead:
		return ev.Status, true
	}
	return 0, false
}

// onReachable makes the calls anew whose responses are overdue: they may hang in
// connections that broke in the outage. A write is read back, since it may have taken
// effect or may still do so. Lists, deletions and the reads of rejectOutdated are left to
// time out.
func (c *Client) onReachable(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		cl := c.calls[id]
		if now-cl.sentAt < staleCall {
			continue
		}
		switch {
		case cl.op == OpPut && !cl.outdated && !cl.readingBack:
			cl.uncertain = true
			delete(c.calls, id)
			effs = append(effs, c.readBack(cl)...)
		case cl.op == OpGet || cl.readingBack:
			delete(c.calls, id)
			get := cl.get
			get.Call = c.register(cl)
			effs = append(effs, get)
		}
	}
	for _, cl := range c.waiting {
		cl.readBackAt = min(cl.readBackAt, now)
	}
	return effs
}
