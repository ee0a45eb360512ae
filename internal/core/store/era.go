package store

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// rewriteSpread is the time over which all daemons write their own records again after
// the store has lost writes.
const rewriteSpread = 2 * time.Second

// RewriteDelay returns how long after a loss of writes a daemon writes its own record
// again. It differs between daemons, so that hundreds of them don't write at once.
func RewriteDelay(host msg.HostID) time.Duration {
	return time.Duration(rendezvous.Score("rewrite", host) % uint64(rewriteSpread))
}

// onEraChanged handles that the store has lost writes. It gives out versions again, so
// that a condition with an earlier version could hold for another object's content.
func (c *Client) onEraChanged(ev msg.StoreEraChanged) {
	if !ev.LostWrites() {
		return
	}
	c.rewound = true
	clear(c.history)
	for _, cl := range c.calls {
		cl.earlierEra = true
	}
	for _, cl := range c.waiting {
		cl.earlierEra = true
	}
}

// outdated reports whether a version may be one of an earlier era.
func (c *Client) outdated(kind msg.Kind, name string, version msg.Version) bool {
	return c.rewound && version != 0 && c.history[objectKey{kind, name}].version != version
}

// rejectOutdated reads the object in place of a write whose condition is outdated. The
// result of the write is CallConflict.
func (c *Client) rejectOutdated(cl *call, kind msg.Kind, name string) msg.Effect {
	cl.outdated = true
	return c.sendGet(cl, kind, name)
}

// conflict returns the result of a write that was not sent.
func (c *Client) conflict(cl *call) Result {
	if cl.op == OpDelete {
		return Result{Tag: cl.tag, Op: OpDelete, Status: msg.CallConflict, Object: msg.Object{Kind: cl.del.Kind, Name: cl.del.Name}}
	}
	return c.result(cl, msg.CallConflict)
}
