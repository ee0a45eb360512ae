package platformpoll

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// A few daemons, the readers, poll the platform. The others ask two of them what they
// know. They read the platform themselves only when the configuration has changed, or
// when no reader replies in time. The number of reads therefore does not grow with the
// number of daemons.
//
// A reply states how long ago the read was sent on which the reader's knowledge rests.
// The asker counts that age back from the moment at which its own question left, not
// from the arrival of the reply: the reader computed the age after that moment, so
// that the platform's state was as stated at the resulting instant or later, however
// long the reply took and whichever process was suspended meanwhile.
const (
	// maxReaders is the number of readers. They are in different failure domains
	// where there are that many.
	maxReaders = 3
	// askedReaders is the number of readers that a daemon asks.
	askedReaders = 2
	// readerIntervalRatio shortens the poll interval of readers, and askIntervalRatio
	// gives the time between two questions, as fractions of the poll interval.
	// Together they are at most 1, so that others learn of a change as soon as if
	// they polled themselves.
	readerIntervalRatio = 0.8
	askIntervalRatio    = 0.2
	// ownReadRatio is the time after the last confirmation at which a daemon reads
	// the platform itself, as a multiple of the poll interval.
	ownReadRatio = 1.4
	// maxListInReply is the largest number of targets in a reply. A longer list does
	// not fit into a datagram and is read from the platform.
	maxListInReply = 400
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
	ordered := rendezvous.Order("platform-readers", entries)
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
func (r *readers) ask(now msg.Time, interval time.Duration, listHash uint64) []msg.Effect {
	if len(r.asked) == 0 || now < r.nextAsk {
		return nil
	}
	r.nextAsk = now + time.Duration(askIntervalRatio*float64(interval))
	r.lastSeq++
	r.sentAt[r.lastSeq] = now
	for seq, at := range r.sentAt {
		if now-at > questionTimeout {
			delete(r.sentAt, seq)
		}
	}
	effs := make([]msg.Effect, 0, len(r.asked))
	for _, h := range r.asked {
		effs = append(effs, msg.SendPeer{To: h, Message: msg.CatalogQuery{Seq: r.lastSeq, InstancesHash: listHash}})
	}
	return effs
}

// onPeerMessage answers questions and applies replies.
func (c *Component) onPeerMessage(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.CatalogQuery:
		return c.answer(now, ev.From, m)
	case msg.CatalogReply:
		return c.onReply(now, m)
	}
	return nil
}

func (c *Component) answer(now msg.Time, to msg.HostID, q msg.CatalogQuery) []msg.Effect {
	if c.table == nil || c.lastListSent == 0 {
		return nil
	}
	reply := msg.CatalogReply{
		Seq: q.Seq, ConfigVersion: c.table.Version, ConfigAge: now - c.confirmedAt,
		InstancesHash: c.listHash, InstancesAge: now - c.lastListSent,
	}
	if q.InstancesHash != c.listHash && len(c.list) <= maxListInReply {
		reply.Instances = c.list
		reply.Revision = c.revision
	}
	return []msg.Effect{msg.SendPeer{To: to, Message: reply}}
}

// onReply applies what a reader knows. If the reader knows a newer configuration, or
// another list that is not in the reply, this daemon reads the platform at once.
func (c *Component) onReply(now msg.Time, m msg.CatalogReply) []msg.Effect {
	askedAt, ok := c.readers.sentAt[m.Seq]
	if !ok || c.table == nil {
		return nil
	}
	effs := c.onListReply(now, askedAt, m)
	if m.ConfigVersion > c.table.Version {
		c.routePoll.next = min(c.routePoll.next, now)
	}
	if m.ConfigVersion != c.table.Version {
		return effs
	}
	at := askedAt - m.ConfigAge
	c.routePoll.postpone(at + ownReadDelay(c.cfg.RoutesInterval))
	return append(effs, c.confirm(at)...)
}

// onListReply applies what a reader knows of the targets.
func (c *Component) onListReply(now, askedAt msg.Time, m msg.CatalogReply) []msg.Effect {
	// The reader's read of the list left between these two instants.
	earliest, latest := askedAt-m.InstancesAge, now-m.InstancesAge
	until := earliest + ownReadDelay(c.cfg.InstancesInterval)
	switch {
	case m.InstancesHash == c.listHash:
		c.lastListSent = max(c.lastListSent, earliest)
		c.targetPoll.postpone(until)
	case m.Revision > c.revision:
		c.targetPoll.postpone(until)
		return c.applyList(now, earliest, m.Revision, m.Instances, c.targetPoll.failing)
	case m.Revision == 0 && latest > c.lastListSent:
		c.targetPoll.next = min(c.targetPoll.next, now)
	}
	return nil
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

// interval returns the time between two reads of this daemon.
func (c *Component) interval(configured time.Duration) time.Duration {
	if c.readers.isReader {
		return time.Duration(readerIntervalRatio * float64(configured))
	}
	return configured
}

// hashInstances returns a hash of a list of targets.
func hashInstances(list []msg.Instance) uint64 {
	d := xxhash.New()
	sorted := slices.SortedFunc(slices.Values(list), func(a, b msg.Instance) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	for _, in := range sorted {
		for _, s := range []string{string(in.Target), string(in.Service), in.Addr, string(in.Domain), in.State()} {
			_, _ = d.WriteString(s)
			_, _ = d.Write([]byte{0})
		}
		var b [24]byte
		binary.LittleEndian.PutUint64(b[0:], uint64(in.Slots))
		binary.LittleEndian.PutUint64(b[8:], uint64(in.Role))
		binary.LittleEndian.PutUint64(b[16:], uint64(in.StartedMS))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
