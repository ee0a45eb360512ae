// Package peerdiscovery provides the component of an entry daemon's reducer
// that finds the other entry daemons in deployments where the platform has no
// host list. Each daemon writes a heartbeat record to an object of its own at
// the platform and reads the objects of the others.
package peerdiscovery

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// writeInterval is the time between two writes of the daemon's own record,
	// and readInterval the time between two reads of all records.
	writeInterval = 8 * time.Second
	readInterval  = 3 * time.Second
	// startupReadInterval is the time between two reads during startupPeriod,
	// the first seconds of a process, in which it has to find its peers.
	startupReadInterval = time.Second
	startupPeriod       = 6 * time.Second
	// minRetryDelay is the time between a failed call and the next. It doubles with
	// each further failure up to maxRetryDelay: during a long outage, each call is
	// paid for and none succeeds.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 2400 * time.Millisecond
	// recordTimeout is how long a daemon is considered live after a new record of
	// it was read.
	recordTimeout = 14 * time.Second
	// messageTimeout is how long a daemon is considered live after a message
	// from it, if no new record of it was read since.
	messageTimeout = 4 * time.Second
)

const (
	tagList uint64 = iota + 1
	tagWrite
	tagReadOwn
)

// peer is the state of another entry daemon.
type peer struct {
	host    msg.Host
	version msg.Version
	// incarnation and heartbeat are those of the last record.
	incarnation msg.Incarnation
	heartbeat   uint64
	leaving     bool
	// lastSeen is when a new record or a message last arrived, and byMessage
	// reports whether it was a message.
	lastSeen  msg.Time
	byMessage bool
}

// live reports whether the daemon is considered live: it is not leaving, and a
// record or a message has arrived recently.
func (p *peer) live(now msg.Time) bool {
	timeout := recordTimeout
	if p.byMessage {
		timeout = messageTimeout
	}
	return !p.leaving && now-p.lastSeen <= timeout
}

// backoff is a delay that doubles with each failure. It is zero after a success.
type backoff time.Duration

// next returns the delay after a failure.
func (b *backoff) next() time.Duration {
	*b = min(max(2**b, backoff(minRetryDelay)), backoff(maxRetryDelay))
	return time.Duration(*b)
}

// Component discovers the other entry daemons.
type Component struct {
	self        msg.Self
	incarnation msg.Incarnation
	addr        string
	store       *store.Client

	heartbeat uint64
	version   msg.Version
	writing   bool
	nextWrite msg.Time
	reading   bool
	nextRead  msg.Time
	// writeBackoff and readBackoff are the delays after the last failures.
	writeBackoff, readBackoff backoff
	leaving                   bool
	// nextTell is when the others are told again that this daemon is leaving.
	nextTell msg.Time
	// writingDeparture reports that the record in flight says that this daemon is
	// leaving. departureWritten is set once the record at the platform says so.
	writingDeparture, departureWritten bool

	peers map[msg.HostID]*peer
	// lastPublished is the set of live daemons that was last raised, if
	// published is set.
	lastPublished []msg.Host
	published     bool
	// complete is set once a list has shown the record of an earlier process of this
	// host. The fleet was there before this process, so that the list names all of it.
	complete bool
}

// New returns a component without peers. addr is the address at which the other
// daemons reach this one.
func New(self msg.Self, incarnation msg.Incarnation, addr string) *Component {
	return &Component{
		self: self, incarnation: incarnation, addr: addr,
		store: store.New(store.ComponentPeerDiscovery, string(self.Host)+"/"+string(incarnation)),
		peers: make(map[msg.HostID]*peer),
	}
}

// Idle reports whether no record remains to be written before a graceful
// shutdown.
func (c *Component) Idle() bool { return !c.leaving || c.departureWritten }

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := c.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, c.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.PeerReceived:
		if p := c.peers[ev.From]; p != nil {
			p.lastSeen = now
			p.byMessage = true
			p.onMessage(ev.Message)
		}
	case msg.EntriesTold:
		c.onEntriesTold(now, ev)
	case msg.StoreEraChanged:
		c.onEraChanged(now, ev)
	case msg.StopRequested:
		c.leaving = true
		c.nextWrite = now
	case msg.Tick:
		effs = append(effs, c.onTick(now)...)
	}
	return effs
}

func (c *Component) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if !c.writing && now >= c.nextWrite && !c.departureWritten {
		effs = append(effs, c.write(now))
	}
	if !c.reading && now >= c.nextRead {
		c.reading = true
		effs = append(effs, c.store.ListStale(tagList, msg.KindEntry))
	}
	return append(append(effs, c.tellLeaving(now)...), c.publish(now)...)
}

func (c *Component) write(now msg.Time) msg.Effect {
	c.writing = true
	c.writingDeparture = c.leaving
	c.heartbeat++
	rec := msg.EntryRecord{
		Addr: c.addr, Domain: c.self.Domain, Region: c.self.Region,
		Incarnation: c.incarnation, Heartbeat: c.heartbeat, Leaving: c.leaving,
	}
	return c.store.Put(now, tagWrite, msg.KindEntry, string(c.self.Host), rec, c.version, now+writeInterval)
}

func (c *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	switch r.Tag {
	case tagList:
		c.reading = false
		c.onList(now, r)
	case tagReadOwn:
		c.writing = false
		c.nextWrite = now
		if r.Status == msg.CallOK || r.Status == msg.CallNotFound {
			c.version = r.Object.Version
		}
	case tagWrite:
		return c.onWrite(now, r)
	}
	return nil
}

func (c *Component) onWrite(now msg.Time, r store.Result) []msg.Effect {
	c.writing = false
	switch r.Status {
	case msg.CallOK:
		c.writeBackoff = 0
		c.version = r.Object.Version
		c.departureWritten = c.writingDeparture
		c.nextWrite = now + writeInterval
		if c.leaving {
			c.nextWrite = now
		}
		return nil
	case msg.CallConflict, msg.CallNotFound, msg.CallUnknown:
		// An earlier process on this host wrote the object, the object was
		// deleted, or the outcome of the write is unknown. The object is read for
		// its version.
		c.writing = true
		return []msg.Effect{c.store.Get(tagReadOwn, msg.KindEntry, string(c.self.Host))}
	}
	if c.leaving {
		c.writeBackoff = 0 // The grace period leaves no time for long delays.
	}
	c.nextWrite = now + c.writeBackoff.next()
	return nil
}

func (c *Component) onList(now msg.Time, r store.Result) {
	if r.Status != msg.CallOK {
		c.nextRead = now + c.readBackoff.next()
		return
	}
	c.readBackoff = 0
	c.nextRead = now + readInterval
	if now < startupPeriod {
		c.nextRead = now + startupReadInterval
	}
	for _, o := range r.Objects {
		if msg.HostID(o.Name) == c.self.Host {
			c.noteEarlierProcess(o)
			continue
		}
		c.updatePeer(now, o)
	}
}

// noteEarlierProcess learns from the record of this host whether an earlier process has
// written it.
func (c *Component) noteEarlierProcess(o msg.Object) {
	var rec msg.EntryRecord
	if json.Unmarshal(o.Value, &rec) == nil && rec.Incarnation != c.incarnation && !c.complete {
		c.complete = true
		c.published = false
	}
}

func (c *Component) updatePeer(now msg.Time, o msg.Object) {
	id := msg.HostID(o.Name)
	var rec msg.EntryRecord
	if json.Unmarshal(o.Value, &rec) != nil {
		return
	}
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	if o.Version <= p.version || rec.Incarnation == p.incarnation && rec.Heartbeat <= p.heartbeat {
		return
	}
	sameProcess := rec.Incarnation == p.incarnation
	p.version = o.Version
	p.incarnation, p.heartbeat = rec.Incarnation, rec.Heartbeat
	p.lastSeen = now
	p.byMessage = false
	p.leaving = rec.Leaving || sameProcess && p.leaving
	p.host = msg.Host{Host: id, Addr: rec.Addr, Domain: rec.Domain, Region: rec.Region, Kind: msg.HostEntry}
}

// onEntriesTold adds the daemons that another one knows. They have to be heard from to stay.
func (c *Component) onEntriesTold(now msg.Time, ev msg.EntriesTold) {
	for _, h := range ev.Entries {
		if h.Host != c.self.Host && c.peers[h.Host] == nil {
			c.peers[h.Host] = &peer{host: h, lastSeen: now, byMessage: true}
		}
	}
	if ev.Complete && !c.complete {
		c.complete = true
		c.published = false
	}
}

// onEraChanged has the daemon's own record written again, and compares the others by
// their heartbeats: the store gives out versions again.
func (c *Component) onEraChanged(now msg.Time, ev msg.StoreEraChanged) {
	if !ev.LostWrites() {
		return
	}
	c.nextWrite = now + store.RewriteDelay(c.self.Host)
	if c.leaving {
		c.departureWritten = false
		c.nextWrite = now
	}
	for _, p := range c.peers {
		p.version = 0
	}
}

// publish raises an event with the set of live daemons, including this one, if
// the set has changed.
func (c *Component) publish(now msg.Time) []msg.Effect {
	hosts := []msg.Host{{Host: c.self.Host, Addr: c.addr, Domain: c.self.Domain, Region: c.self.Region, Kind: msg.HostEntry}}
	for _, p := range c.peers {
		// A daemon that is not live stays in the map, so that its old record does
		// not count as a new one.
		if p.live(now) {
			hosts = append(hosts, p.host)
		}
	}
	slices.SortFunc(hosts, func(a, b msg.Host) int { return cmp.Compare(a.Host, b.Host) })
	if c.published && slices.Equal(hosts, c.lastPublished) {
		return nil
	}
	c.published = true
	c.lastPublished = hosts
	effs := []msg.Effect{
		msg.Raise{Event: msg.MembersChanged{Entries: hosts, Complete: c.complete}},
		msg.LogLine{Component: "roster", Text: "set of live entry daemons changed", Attrs: []msg.Attr{{Key: "count", Value: strconv.Itoa(len(hosts))}}},
	}
	for _, h := range hosts {
		effs = append(effs, msg.SetHostAddr{Kind: msg.HostEntry, Host: h.Host, Addr: h.Addr})
	}
	return effs
}
