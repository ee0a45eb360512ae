package platformpoll

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// A few daemons, the readers, poll the configuration and the list of targets. The others
// ask two of them which ones they know. They read them themselves only when they have
// changed, or when no reader replies in time. The number of reads without a change
// therefore does not grow with the number of daemons.
//
// A reply states how long ago the read was sent on which the reader's knowledge rests.
// The asker counts that age back from the moment at which its own question left, not
// from the arrival of the reply: the reader computed the age after that moment, so
// that the platform's state was as stated at the resulting instant or later, however
// long the reply took and whichever process was suspended meanwhile.
const (
	// readersKey orders the daemons by how likely they are readers.
	readersKey = "platform-readers"
	// maxReaders is the number of readers. They are in different failure domains
	// where there are that many.
	maxReaders = 3
	// askedReaders is the number of readers that a daemon asks.
	askedReaders = 2
	// readerIntervalRatio shortens the poll interval of readers, and askIntervalRatio
	// gives the time between two questions, as fractions of the poll interval.
	// Together they are at most 1, so that others learn of a change as soon as if
	// they polled themselves.
	readerIntervalRatio = 0.6
	askIntervalRatio    = 0.2
	// ownReadRatio is the time after the last confirmation at which a daemon reads
	// the platform itself, as a multiple of the poll interval.
	ownReadRatio = 1.0
	// questionTimeout is how long a reply to a question is accepted.
	questionTimeout = 5 * time.Second
)

// readers is the state of a daemon's questions to readers.
type readers struct {
	self msg.Self
	// isReader reports whether this daemon is a reader itself.
	isReader bool
	// asked lists the readers that this daemon asks.
	asked []msg.HostID
	// sentAt holds the times at which questions were sent, by their numbers.
	sentAt  map[uint64]msg.Time
	lastSeq uint64
	nextAsk msg.Time
}

// chooseReaders returns the readers among the live entry daemons. All daemons with the
// same list choose the same ones.
func chooseReaders(entries []msg.Host) []msg.Host {
	ordered := rendezvous.Order(readersKey, entries)
	var chosen []msg.Host
	for _, h := range ordered {
		if len(chosen) == maxReaders {
			return chosen
		}
		if !slices.ContainsFunc(chosen, func(c msg.Host) bool { return c.Domain == h.Domain }) {
			chosen = append(chosen, h)
		}
	}
	for _, h := range ordered {
		if len(chosen) == maxReaders {
			break
		}
		if !slices.Contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// onMembersChanged chooses the readers anew. A daemon prefers the reader of its own
// failure domain.
func (r *readers) onMembersChanged(ev msg.MembersChanged) {
	chosen := chooseReaders(ev.Entries)
	r.isReader = slices.ContainsFunc(chosen, func(h msg.Host) bool { return h.Host == r.self.Host })
	r.asked = r.asked[:0]
	if r.isReader {
		return
	}
	near := func(h msg.Host) bool { return h.Domain == r.self.Domain }
	for _, h := range rendezvous.Order(string(r.self.Host), chosen) {
		if near(h) {
			r.asked = slices.Insert(r.asked, 0, h.Host)
		} else {
			r.asked = append(r.asked, h.Host)
		}
	}
	r.asked = r.asked[:min(len(r.asked), askedReaders)]
}

// ask sends a question to the readers if one is due.
func (r *readers) ask(now msg.Time, interval time.Duration) []msg.Effect {
	if len(r.asked) == 0 || now < r.nextAsk {
		return nil
	}
	r.nextAsk = now + time.Duration(askIntervalRatio*float64(interval))
	return r.question(now, r.asked)
}

// question asks daemons which configuration and which targets they know.
func (r *readers) question(now msg.Time, hosts []msg.HostID) []msg.Effect {
	r.lastSeq++
	r.sentAt[r.lastSeq] = now
	for seq, at := range r.sentAt {
		if now-at > questionTimeout {
			delete(r.sentAt, seq)
		}
	}
	effs := make([]msg.Effect, 0, len(hosts))
	for _, h := range hosts {
		effs = append(effs, msg.SendPeer{To: h, Message: msg.CatalogQuery{Seq: r.lastSeq}})
	}
	return effs
}

// onPeerMessage answers questions and applies replies.
func (c *Component) onPeerMessage(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	var effs []msg.Effect
	switch m := ev.Message.(type) {
	case msg.CatalogQuery:
		effs = c.answer(now, ev.From, m)
	case msg.CatalogReply:
		effs = c.onReply(now, ev.From, m)
	case msg.StateQuery:
		return c.answerState(now, ev.From, m)
	case msg.StateReply:
		return c.onStateReply(now, ev.From, m)
	}
	effs = append(effs, c.noteHeard(now, ev.From)...)
	return append(effs, c.askForState(now, ev.From)...)
}

// answer tells which configuration and which targets this daemon knows. A version of 0 says
// that it knows none.
func (c *Component) answer(now msg.Time, to msg.HostID, q msg.CatalogQuery) []msg.Effect {
	if c.table == nil {
		return []msg.Effect{msg.SendPeer{To: to, Message: msg.CatalogReply{Seq: q.Seq}}}
	}
	return []msg.Effect{msg.SendPeer{To: to, Message: msg.CatalogReply{
		Seq: q.Seq, ConfigVersion: c.table.Version, ConfigAge: now - c.confirmedAt,
		TargetsDigest: c.digest, TargetsAge: now - c.lastListSent, TargetsEra: c.era,
	}}}
}

// onReply applies what another daemon knows. If it knows a newer configuration, this daemon
// reads it at once.
func (c *Component) onReply(now msg.Time, from msg.HostID, m msg.CatalogReply) []msg.Effect {
	askedAt, ok := c.readers.sentAt[m.Seq]
	if !ok {
		return nil
	}
	c.newestVersion = max(c.newestVersion, m.ConfigVersion)
	return append(c.onCheckReply(now, from, askedAt), c.onConfirmation(now, m, askedAt)...)
}

// onConfirmation applies a reply to a question that left at askedAt.
func (c *Component) onConfirmation(now msg.Time, m msg.CatalogReply, askedAt msg.Time) []msg.Effect {
	if c.table == nil {
		return nil
	}
	c.onTargetsReply(now, m, askedAt-m.TargetsAge)
	if m.ConfigVersion > c.table.Version {
		c.routePoll.next = min(c.routePoll.next, now)
	}
	if m.ConfigVersion != c.table.Version {
		return nil
	}
	at := askedAt - m.ConfigAge
	c.routePoll.postpone(at + ownReadDelay(c.cfg.RoutesInterval))
	return c.confirm(at)
}

// confirm records that the configuration in force was the newest at the given time.
func (c *Component) confirm(at msg.Time) []msg.Effect {
	if at <= c.confirmedAt {
		return nil
	}
	c.confirmedAt = at
	return []msg.Effect{msg.Raise{Event: msg.RoutesConfirmed{At: at}}}
}

// ownReadDelay returns the time after a confirmation at which a daemon reads the
// platform itself.
func ownReadDelay(interval time.Duration) time.Duration {
	return time.Duration(ownReadRatio * float64(interval))
}

// postpone delays the next read.
func (p *poll) postpone(until msg.Time) { p.next = max(p.next, until) }

// pollInterval returns the time between two reads of this daemon, of which the interval is
// the least that is configured.
func (c *Component) pollInterval(interval time.Duration) time.Duration {
	if c.readers.isReader {
		return time.Duration(readerIntervalRatio * float64(interval))
	}
	return interval
}

// onTargetsReply applies what a reader knows of the list of targets, as of an instant. A
// list that is the same as this daemon's confirms it. One that differs is read.
func (c *Component) onTargetsReply(now msg.Time, m msg.CatalogReply, at msg.Time) {
	if m.TargetsDigest == 0 || c.digest == 0 || at <= c.lastListSent {
		return
	}
	if m.TargetsEra == c.era {
		c.noteReachable(now, at)
	}
	if c.keepsOwnList(now) {
		return
	}
	if m.TargetsEra != c.era || m.TargetsDigest != c.digest {
		c.outdated = true
		if !c.targetPoll.failing {
			c.targetPoll.next = min(c.targetPoll.next, now)
		}
		return
	}
	c.lastListSent = at
	c.targetPoll.postpone(at + ownReadDelay(c.cfg.InstancesInterval))
}

// digestOf returns a hash of a list of targets, which is not 0. Lists that are the same but
// for their order have the same hash.
func digestOf(list []msg.Instance) uint64 {
	var sum uint64
	for _, in := range list {
		sum += xxhash.Sum64String(fmt.Sprintf("%+v", in))
	}
	return max(sum, 1)
}
