package lease

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A store that comes back older may have lost who holds a lease, and under which epoch.
// Each era of the store therefore has lease objects and epochs of its own: those that are
// given out in an era are higher than all of earlier ones. Nobody acquires a lease for
// the first time in an era before the time has passed for which a holder of an earlier
// one may still act.

// epochsPerEra is the number of epochs of a lease in one era.
const epochsPerEra = 1_000_000

// firstEpoch returns the lowest epoch of an era. In the first era, epochs start at 1.
func firstEpoch(era msg.StoreEra) msg.Epoch {
	if era <= msg.FirstStoreEra {
		return 1
	}
	return msg.Epoch(era-msg.FirstStoreEra) * epochsPerEra
}

// onEraChanged ends the authority under all leases, and has their objects in the new
// era read.
func (c *Component) onEraChanged(now msg.Time, ev msg.StoreEraChanged) []msg.Effect {
	c.era = ev.Era
	if c.era <= msg.FirstStoreEra {
		return nil
	}
	c.mayBeUnused = !ev.LostWrites()
	c.unused = false
	c.listAt = now
	var effs []msg.Effect
	for _, l := range c.sortedLeases() {
		if l.held {
			effs = append(effs, l.loseAuthority("the store has lost writes")...)
		}
		l.observed = false
		l.version = 0
		l.observeAt = now
		l.callVoid = l.callOpen
	}
	return effs
}

// nextEpoch returns the epoch of an acquisition.
func (c *Component) nextEpoch(l *lease) msg.Epoch {
	return max(l.record.Epoch+1, firstEpoch(c.era))
}

// fullExclusionTime returns the time during which the holder of a lease may write it or
// act under it, for a lease of at least the configured length.
func (c *Component) fullExclusionTime(length time.Duration) time.Duration {
	return max(c.cfg.Duration, length) + c.cfg.CallDeadline
}

// newInEra reports whether nobody has acquired a lease in this era yet, though somebody
// may have in an earlier one.
func (c *Component) newInEra(l *lease) bool {
	return c.era > msg.FirstStoreEra && l.record.Epoch < firstEpoch(c.era) && !c.unused
}

// objectName returns the name of a lease's object in this era.
func (c *Component) objectName(l *lease) string { return c.era.Name(string(l.name)) }
