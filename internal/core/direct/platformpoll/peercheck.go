package platformpoll

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// A store that has lost writes may show a configuration that is older than one that it has
// acknowledged, with keys that have been withdrawn since. The first configuration that a
// daemon reads in an era therefore counts only when others have said which ones they know.
// If one of them knows a newer one, that one is taken from it, and stays in force until the
// store shows it or a later one. A process that starts can't tell whether the store has lost
// writes lately, so that it asks too. In the first era a store has lost nothing.

const (
	// checkedPeers is the number of members that are asked. What a daemon knows it has
	// from the readers, so that not all have to be asked in a large fleet.
	checkedPeers = 9
	// checkTimeout is how long the check waits for members that do not reply, and
	// checkInterval the time between two questions to each daemon. Messages may be lost.
	checkTimeout  = 200 * time.Millisecond
	checkInterval = 80 * time.Millisecond
	// lonelyTimeout is how long the check of a process that has just started waits until
	// it knows other daemons. Each of them sends it something within a second.
	lonelyTimeout = 1500 * time.Millisecond
)

// peerCheck is the check of the first configuration that the store shows in an era.
type peerCheck struct {
	era      msg.StoreEra
	begunAt  msg.Time
	finished bool
	// read is the last read. It counts when the check has finished.
	read *msg.RoutesRead
	// replied holds the daemons that are asked, and whether they have replied.
	replied map[msg.HostID]bool
	// knownAt is when the members were first known. It is zero before.
	knownAt msg.Time
	nextAsk msg.Time
}

// checkRead applies a read of the configuration once other daemons have been asked.
func (c *Component) checkRead(now msg.Time, ev msg.RoutesRead) []msg.Effect {
	if ev.Era > c.check.era {
		c.check = peerCheck{era: ev.Era, begunAt: now, replied: make(map[msg.HostID]bool)}
	}
	if ev.Era <= msg.FirstStoreEra || c.check.finished {
		return c.applyRead(now, ev)
	}
	c.check.read = &ev
	return c.advanceCheck(now)
}

// advanceCheck asks the daemons that have yet to reply. It ends the check if there are none,
// or when its time has passed.
func (c *Component) advanceCheck(now msg.Time) []msg.Effect {
	k := &c.check
	if k.finished || k.read == nil {
		return nil
	}
	if members := c.transfer.members; k.knownAt == 0 && (members.Complete || len(members.Entries) > 1) {
		k.knownAt = now
		for _, h := range rendezvous.Spread(readersKey, members.Entries, checkedPeers) {
			k.replied[h.Host] = k.replied[h.Host] || h.Host == c.cfg.Self.Host
		}
	}
	open := k.open()
	if k.over(now, len(open)) {
		read := *k.read
		k.finished, k.read = true, nil
		return c.applyRead(now, read)
	}
	if now < k.nextAsk || len(open) == 0 {
		return nil
	}
	k.nextAsk = now + checkInterval
	return c.readers.question(now, open)
}

// open returns the daemons that have yet to reply.
func (k *peerCheck) open() []msg.HostID {
	var hosts []msg.HostID
	for h, replied := range k.replied {
		if !replied {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// over reports whether the check ends, with some daemons that have yet to reply.
func (k *peerCheck) over(now msg.Time, open int) bool {
	if k.knownAt == 0 {
		return now-k.begunAt >= lonelyTimeout
	}
	return open == 0 || now-k.knownAt >= checkTimeout
}

// noteHeard has a daemon asked from which a process hears that does not know the members yet.
func (c *Component) noteHeard(now msg.Time, from msg.HostID) []msg.Effect {
	k := &c.check
	if _, asked := k.replied[from]; asked || k.finished || k.read == nil || k.knownAt != 0 {
		return nil
	}
	k.replied[from] = false
	k.nextAsk = now
	return c.advanceCheck(now)
}

// onCheckReply notes that a daemon has told which configuration it knows.
func (c *Component) onCheckReply(now msg.Time, from msg.HostID, askedAt msg.Time) []msg.Effect {
	if _, asked := c.check.replied[from]; !asked || askedAt < c.check.begunAt {
		return nil
	}
	c.check.replied[from] = true
	return c.advanceCheck(now)
}

// onOlderRead processes a read of a configuration that is older than the newest known one.
// If the store has lost that one, it stays the newest until the operator has written it
// again: the store would show any later one.
func (c *Component) onOlderRead(ev msg.RoutesRead) []msg.Effect {
	lost := ev.Era > c.shownEra
	var effs []msg.Effect
	if !lost || c.lostVersion != c.newestVersion {
		effs = append(effs, msg.LogLine{
			Component: componentName, Level: msg.LogError, Text: "configuration from platform is older than the newest one",
			Attrs: []msg.Attr{
				{Key: "version", Value: strconv.FormatUint(ev.Table.Version, 10)},
				{Key: "newest", Value: strconv.FormatUint(c.newestVersion, 10)},
				{Key: "lost", Value: strconv.FormatBool(lost)},
			},
		})
	}
	if !lost {
		return effs
	}
	c.lostVersion = c.newestVersion
	if c.table != nil && c.table.Version == c.newestVersion {
		effs = append(effs, c.confirm(ev.Sent)...)
	}
	return effs
}

// storeIsOlder reports whether the store has lost the newest known configuration.
func (c *Component) storeIsOlder() bool {
	if c.newestVersion == 0 {
		return false
	}
	return c.lostVersion == c.newestVersion || c.check.read != nil && c.check.read.Table.Version < c.newestVersion
}
