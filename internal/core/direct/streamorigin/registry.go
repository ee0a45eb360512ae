// Package streamorigin remembers which software version of its targets began each
// stream that callers may resume: what the entry daemons tell each other ([Registry]),
// which versions may have begun streams at all ([History]) and what outlives all entry
// daemons ([Archive]).
//
// A caller resumes a stream at any entry daemon, and the one at which the stream began
// may be gone. Each daemon therefore tells the origin of a stream, as soon as it has
// begun, to a few keepers: the entry daemons that rank first for the stream. A daemon
// that does not know the origin of a stream asks them. What each daemon sends, receives
// and holds depends on the streams per daemon and not on the number of daemons.
package streamorigin

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// keeperCount is the number of keepers of a stream. Two may be lost together with
	// the daemon at which the stream began.
	keeperCount = 3
	// retention is the time for which the origin of a stream is kept. It exceeds the
	// duration of a stream with its resumptions.
	retention = time.Minute
	// maxOrigins is the maximum number of origins that are kept.
	maxOrigins = 50_000
	// queryInterval is the time after which keepers that have not answered are asked
	// again, and queryTimeout that after which the origin counts as unknown.
	queryInterval = 80 * time.Millisecond
	queryTimeout  = 300 * time.Millisecond
)

// State states what is known of the origin of a stream.
type State uint8

// States of an origin.
const (
	// Unknown means that no keeper that has answered knows the origin.
	Unknown State = iota
	// Pending means that the keepers are being asked.
	Pending
	// Known means that the origin is known.
	Known
)

// Registry holds the origins that an entry daemon knows. It is not safe for concurrent
// use.
type Registry struct {
	self    msg.HostID
	entries []msg.Host
	origins map[uint64]origin
	// recent lists the streams of origins in the order in which they were added.
	recent  []uint64
	queries map[uint64]*query
}

// origin is the software version that began a stream.
type origin struct {
	version string
	addedAt msg.Time
}

// query is the search for the origin of a stream.
type query struct {
	startedAt, askedAt msg.Time
	// asked reports whether the keepers have been asked, and waiting holds those that have
	// not answered.
	asked   bool
	waiting map[msg.HostID]bool
}

// New returns a registry that knows no stream.
func New() *Registry {
	return &Registry{origins: make(map[uint64]origin), queries: make(map[uint64]*query)}
}

// Step handles one event.
func (r *Registry) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		r.self = ev.Self.Host
	case msg.MembersChanged:
		r.entries = ev.Entries
	case msg.PeerReceived:
		return r.onPeerMessage(now, ev)
	case msg.Tick:
		r.removeExpired(now)
		return r.askAgain(now)
	}
	return nil
}

// Record records that a stream has begun at a version, and tells its keepers.
func (r *Registry) Record(now msg.Time, stream uint64, version string) []msg.Effect {
	if _, ok := r.origins[stream]; ok {
		return nil
	}
	r.add(now, stream, version)
	m := msg.StreamOrigins{Known: []msg.StreamOrigin{{Stream: stream, Version: version}}}
	var effects []msg.Effect
	for _, h := range r.keepers(stream) {
		effects = append(effects, msg.SendPeer{To: h, Message: m})
	}
	return effects
}

// Find returns the version that began a stream. If it is not known, the keepers are
// asked, and the caller has to call Find again until the state is no longer Pending.
func (r *Registry) Find(now msg.Time, stream uint64) (version string, state State, effects []msg.Effect) {
	if o, ok := r.origins[stream]; ok {
		delete(r.queries, stream)
		return o.version, Known, nil
	}
	q := r.queries[stream]
	if q == nil {
		q = &query{startedAt: now, waiting: make(map[msg.HostID]bool)}
		r.queries[stream] = q
	}
	// A daemon that has just started does not know the others yet.
	if !q.asked && len(r.entries) > 1 {
		q.asked = true
		for _, h := range r.keepers(stream) {
			q.waiting[h] = true
		}
		effects = r.ask(now, stream, q)
	}
	if q.ended(now) {
		return "", Unknown, nil
	}
	return "", Pending, effects
}

// ended reports whether the keepers have answered or have had the time for it.
func (q *query) ended(now msg.Time) bool {
	return q.asked && len(q.waiting) == 0 || now-q.startedAt >= queryTimeout
}

// keepers returns the keepers of a stream besides this daemon.
func (r *Registry) keepers(stream uint64) []msg.HostID {
	var out []msg.HostID
	for _, h := range rendezvous.Spread(strconv.FormatUint(stream, 16), r.entries, keeperCount) {
		if h.Host != r.self {
			out = append(out, h.Host)
		}
	}
	return out
}

func (r *Registry) ask(now msg.Time, stream uint64, q *query) []msg.Effect {
	q.askedAt = now
	var effects []msg.Effect
	for _, h := range slices.Sorted(maps.Keys(q.waiting)) {
		effects = append(effects, msg.SendPeer{To: h, Message: msg.StreamOriginQuery{Streams: []uint64{stream}}})
	}
	return effects
}

// askAgain asks the keepers that have not answered, and drops old queries.
func (r *Registry) askAgain(now msg.Time) []msg.Effect {
	maps.DeleteFunc(r.queries, func(_ uint64, q *query) bool { return now-q.startedAt >= 2*queryTimeout })
	var effects []msg.Effect
	for _, stream := range slices.Sorted(maps.Keys(r.queries)) {
		if q := r.queries[stream]; q.asked && !q.ended(now) && now-q.askedAt >= queryInterval {
			effects = append(effects, r.ask(now, stream, q)...)
		}
	}
	return effects
}

func (r *Registry) onPeerMessage(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.StreamOrigins:
		for _, o := range m.Known {
			r.add(now, o.Stream, o.Version)
		}
		for _, stream := range m.Unknown {
			if q := r.queries[stream]; q != nil {
				delete(q.waiting, ev.From)
			}
		}
	case msg.StreamOriginQuery:
		return []msg.Effect{msg.SendPeer{To: ev.From, Message: r.answer(m)}}
	}
	return nil
}

func (r *Registry) answer(q msg.StreamOriginQuery) msg.StreamOrigins {
	var m msg.StreamOrigins
	for _, stream := range q.Streams {
		if o, ok := r.origins[stream]; ok {
			m.Known = append(m.Known, msg.StreamOrigin{Stream: stream, Version: o.version})
			continue
		}
		m.Unknown = append(m.Unknown, stream)
	}
	return m
}

// add records an origin. The first one that is learnt of a stream stays.
func (r *Registry) add(now msg.Time, stream uint64, version string) {
	if _, ok := r.origins[stream]; ok {
		return
	}
	r.origins[stream] = origin{version: version, addedAt: now}
	r.recent = append(r.recent, stream)
	if len(r.recent) > maxOrigins {
		r.removeOldest()
	}
}

func (r *Registry) removeExpired(now msg.Time) {
	for len(r.recent) > 0 && now-r.origins[r.recent[0]].addedAt >= retention {
		r.removeOldest()
	}
}

func (r *Registry) removeOldest() {
	delete(r.origins, r.recent[0])
	r.recent = r.recent[1:]
}
