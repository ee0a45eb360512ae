// Package peerdiscovery is the part of an entry daemon's reducer that finds the
// other entry daemons where the platform has no host list: each keeps an
// object of its own at the platform and reads those of the others.
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
	// writeEvery and readEvery are the times between two writes of the own
	// record and between two reads of all.
	writeEvery = 5 * time.Second
	readEvery  = 3 * time.Second
	// readSoon is the time between reads of a young process, which has to
	// find its peers.
	readSoon = time.Second
	youth    = 6 * time.Second
	// retryEvery is the time between a failed call and the next.
	retryEvery = 300 * time.Millisecond
	// silence is the time without a sign of life after which a daemon counts
	// as gone.
	silence = 3*writeEvery - time.Second
	// quiet is the same for one whose messages have been heard.
	quiet = 4 * time.Second
)

const (
	tagRead uint64 = iota + 1
	tagWrite
	tagOwn
)

// peer is what is known of another entry daemon.
type peer struct {
	host    msg.Host
	version msg.Version
	leaving bool
	// alive is the last sign of life, and heard says that it was a message.
	alive msg.Time
	heard bool
}

// live reports whether the daemon counts as running.
func (o *peer) live(now msg.Time) bool {
	limit := silence
	if o.heard {
		limit = quiet
	}
	return !o.leaving && now-o.alive <= limit
}

// Component is the roster part.
type Component struct {
	self        msg.Self
	incarnation msg.Incarnation
	addr        string
	store       *store.Client

	beat    uint64
	version msg.Version
	writing bool
	writeAt msg.Time
	reading bool
	readAt  msg.Time
	leaving bool
	// told says that the others were told of the stop.
	told bool

	peers map[msg.HostID]*peer
	last  []msg.Host
	begun bool
}

// New returns the part. Addr is where the other daemons reach this one.
func New(self msg.Self, incarnation msg.Incarnation, addr string) *Component {
	return &Component{
		self: self, incarnation: incarnation, addr: addr,
		store: store.New(store.ComponentPeerDiscovery, string(self.Host)+"/"+string(incarnation)),
		peers: make(map[msg.HostID]*peer),
	}
}

// Idle reports whether nothing is left to be told before a stop.
func (p *Component) Idle() bool { return !p.leaving || p.told }

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := p.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, p.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.PeerReceived:
		if o := p.peers[ev.From]; o != nil {
			o.alive = now
			o.heard = true
		}
	case msg.StopRequested:
		p.leaving = true
		p.writeAt = now
	case msg.Tick:
		effs = append(effs, p.onTick(now)...)
	}
	return effs
}

func (p *Component) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if !p.writing && now >= p.writeAt && !p.told {
		effs = append(effs, p.write(now))
	}
	if !p.reading && now >= p.readAt {
		p.reading = true
		effs = append(effs, p.store.ListStale(tagRead, msg.KindEntry))
	}
	return append(effs, p.publish(now)...)
}

func (p *Component) write(now msg.Time) msg.Effect {
	p.writing = true
	p.beat++
	rec := msg.EntryRecord{
		Addr: p.addr, Domain: p.self.Domain, Region: p.self.Region,
		Incarnation: p.incarnation, Heartbeat: p.beat, Leaving: p.leaving,
	}
	return p.store.Put(now, tagWrite, msg.KindEntry, string(p.self.Host), rec, p.version, now+writeEvery)
}

func (p *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	switch r.Tag {
	case tagRead:
		p.reading = false
		p.onList(now, r)
	case tagOwn:
		p.writing = false
		p.writeAt = now
		if r.Status == msg.CallOK || r.Status == msg.CallNotFound {
			p.version = r.Object.Version
		}
	case tagWrite:
		return p.onWrite(now, r)
	}
	return nil
}

func (p *Component) onWrite(now msg.Time, r store.Result) []msg.Effect {
	p.writing = false
	switch r.Status {
	case msg.CallOK:
		p.version = r.Object.Version
		p.writeAt = now + writeEvery
		p.told = p.leaving
		return nil
	case msg.CallConflict, msg.CallNotFound, msg.CallUnknown:
		// A former process on this host wrote it, or somebody removed it.
		p.writing = true
		return []msg.Effect{p.store.Get(tagOwn, msg.KindEntry, string(p.self.Host))}
	}
	p.writeAt = now + retryEvery
	return nil
}

func (p *Component) onList(now msg.Time, r store.Result) {
	if r.Status != msg.CallOK {
		p.readAt = now + retryEvery
		return
	}
	p.readAt = now + readEvery
	if now < youth {
		p.readAt = now + readSoon
	}
	for _, o := range r.Objects {
		p.learn(now, o)
	}
}

func (p *Component) learn(now msg.Time, o msg.Object) {
	id := msg.HostID(o.Name)
	if id == p.self.Host {
		return
	}
	var rec msg.EntryRecord
	if json.Unmarshal(o.Value, &rec) != nil {
		return
	}
	known := p.peers[id]
	if known == nil {
		known = &peer{}
		p.peers[id] = known
	}
	if o.Version <= known.version {
		return
	}
	known.version = o.Version
	known.alive = now
	known.heard = false
	known.leaving = rec.Leaving
	known.host = msg.Host{Host: id, Addr: rec.Addr, Domain: rec.Domain, Region: rec.Region, Kind: msg.HostEntry}
}

// publish raises the set of live daemons where it has changed.
func (p *Component) publish(now msg.Time) []msg.Effect {
	list := []msg.Host{{Host: p.self.Host, Addr: p.addr, Domain: p.self.Domain, Region: p.self.Region, Kind: msg.HostEntry}}
	for _, o := range p.peers {
		// A silent one is remembered, so that its old object is no news.
		if o.live(now) {
			list = append(list, o.host)
		}
	}
	slices.SortFunc(list, func(a, b msg.Host) int { return cmp.Compare(a.Host, b.Host) })
	if p.begun && slices.Equal(list, p.last) {
		return nil
	}
	p.begun = true
	p.last = list
	effs := []msg.Effect{
		msg.Raise{Event: msg.MembersChanged{Entries: list}},
		msg.LogLine{Component: "roster", Text: "entries changed", Attrs: []msg.Attr{{Key: "count", Value: strconv.Itoa(len(list))}}},
	}
	for _, h := range list {
		effs = append(effs, msg.SetHostAddr{Kind: msg.HostEntry, Host: h.Host, Addr: h.Addr})
	}
	return effs
}
