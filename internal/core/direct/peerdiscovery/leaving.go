package peerdiscovery

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// tellInterval is the time between two messages that say that this daemon is leaving.
const tellInterval = 500 * time.Millisecond

// tellLeaving tells the others that this daemon is leaving. They learn of it also while
// the store is away, and choose others for the duties that need a daemon that stays.
func (c *Component) tellLeaving(now msg.Time) []msg.Effect {
	if !c.leaving || now < c.nextTell {
		return nil
	}
	c.nextTell = now + tellInterval
	var effs []msg.Effect
	for _, h := range c.lastPublished {
		if h.Host != c.self.Host {
			effs = append(effs, msg.SendPeer{To: h.Host, Message: msg.EntryLeaving{Incarnation: c.incarnation}})
		}
	}
	return effs
}

// onMessage processes a message of the daemon. A later process on its host is not
// leaving.
func (p *peer) onMessage(m msg.PeerMessage) {
	if l, ok := m.(msg.EntryLeaving); ok && l.Incarnation == p.incarnation {
		p.leaving = true
	}
}
