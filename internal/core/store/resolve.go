package store

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// scheduleReadBack begins to resolve the outcome of a write by reading its object back
// after a delay. Past the deadline, the outcome stays unknown.
func (c *Client) scheduleReadBack(now msg.Time, cl *call) ([]Result, []msg.Effect) {
	if c.pastDeadline(now, cl) {
		return []Result{c.result(cl, msg.CallUnknown)}, nil
	}
	cl.backoff = min(max(2*cl.backoff, minBackoff), maxBackoff)
	cl.readBackAt = now + cl.backoff
	c.waiting = append(c.waiting, cl)
	return nil, nil
}

func (c *Client) pastDeadline(now msg.Time, cl *call) bool {
	limit := cl.startedAt + resolveTimeout
	if cl.put.NotAfter != 0 {
		limit = min(limit, cl.put.NotAfter)
	}
	return now >= limit
}

func (c *Client) readBack(cl *call) []msg.Effect {
	cl.readingBack = true
	return []msg.Effect{c.sendGet(cl, cl.put.Kind, cl.put.Name)}
}

func (c *Client) onReadBack(now msg.Time, cl *call, ev msg.GetDone) ([]Result, []msg.Effect) {
	cl.readingBack = false
	if ev.Status != msg.CallOK && ev.Status != msg.CallNotFound {
		return c.scheduleReadBack(now, cl)
	}
	_, writers := c.unwrap(ev.Object)
	switch {
	case cl.earlierEra && !slices.Contains(writers, cl.token):
		return []Result{c.result(cl, msg.CallUnknown)}, nil
	case ev.Object.Version == cl.put.IfVersion:
		return c.resend(now, cl)
	case ev.Status == msg.CallOK && ev.Object.Version < cl.put.IfVersion:
		return c.scheduleReadBack(now, cl) // a stale read is not conclusive
	case slices.Index(writers, cl.token) == 0:
		return []Result{c.succeeded(cl, ev.Object.Version)}, nil
	case slices.Contains(writers, cl.token):
		r := c.result(cl, msg.CallOK)
		r.Superseded = true
		return []Result{r}, nil
	case ev.Status == msg.CallOK && len(writers) < maxWriters:
		// The history is complete and lacks the write, so it never took effect.
		return []Result{c.result(cl, msg.CallConflict)}, nil
	}
	return []Result{c.result(cl, msg.CallUnknown)}, nil
}

func (c *Client) resend(now msg.Time, cl *call) ([]Result, []msg.Effect) {
	if c.pastDeadline(now, cl) {
		return []Result{c.result(cl, msg.CallUnknown)}, nil
	}
	cl.put.Call = c.register(cl)
	return nil, []msg.Effect{cl.put}
}

func (c *Client) onTick(now msg.Time) ([]Result, []msg.Effect) {
	var effs []msg.Effect
	keep := c.waiting[:0]
	for _, cl := range c.waiting {
		if now < cl.readBackAt {
			keep = append(keep, cl)
			continue
		}
		effs = append(effs, c.readBack(cl)...)
	}
	c.waiting = keep
	return nil, effs
}
