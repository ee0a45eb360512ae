package directrequest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// tellEvery is the least time between two digests and tellAtLeast the most.
	tellEvery   = 80 * time.Millisecond
	tellAtLeast = time.Second
	// worthTelling is the work that is told at once, before the next digest.
	worthTelling = 25 * time.Millisecond
	// digestAge is the age at which a digest no longer counts.
	digestAge = 2500 * time.Millisecond
	// demandEvery is the time between two sums of what engines decode.
	demandEvery = 500 * time.Millisecond
	// maxTold bounds the cached parts in one message, maxToldAll those in one
	// digest to all daemons, of which each gets leastTold: small hosts have 10
	// Mbit/s.
	maxTold    = 200
	maxToldAll = 800
	leastTold  = 10
	// listAfter is the age of a process at which it asks engines what they
	// hold: it knows the other daemons by then.
	listAfter = 300 * time.Millisecond
)

// share is what the entry daemons tell each other of their work.
type share struct {
	toldAt msg.Time
	told   []msg.TargetDigest
	cached []msg.CachedSegment
	peers  map[msg.HostID]*peerLoad
	// changing holds the targets that this daemon told to change.
	changing map[msg.TargetID]bool
	demandAt msg.Time
}

type peerLoad struct {
	at      msg.Time
	targets map[msg.TargetID]msg.TargetDigest
}

func newShare() share {
	return share{peers: make(map[msg.HostID]*peerLoad), changing: make(map[msg.TargetID]bool)}
}

// greet tells daemons that have joined what engines hold. One daemon tells
// each: the picture is long, and after a restart of all everyone has joined.
func (s *step) greet(entries []msg.Host) {
	var parts []msg.CachedSegment
	for _, h := range entries {
		known := slices.ContainsFunc(s.entries, func(o msg.Host) bool { return o.Host == h.Host })
		if known || h.Host == s.self.Host || s.table == nil {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(entries), func(o msg.Host) bool { return o.Host == h.Host })
		if rendezvous.Rank(string(h.Host), s.self.Host, others) != 0 {
			continue
		}
		if parts == nil {
			parts = s.caches.all()
		}
		for chunk := range slices.Chunk(parts, maxTold) {
			s.emit(msg.SendPeer{To: h.Host, Message: msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: s.share.told, Cached: chunk}})
		}
	}
}

// keep drops the digests of daemons that are no members.
func (sh *share) keep(entries []msg.Host) {
	for id := range sh.peers {
		if !slices.ContainsFunc(entries, func(h msg.Host) bool { return h.Host == id }) {
			delete(sh.peers, id)
		}
	}
}

// backlog is what is left of the other daemons' work at a target.
func (sh *share) backlog(now msg.Time, id msg.TargetID) time.Duration {
	var sum time.Duration
	for _, p := range sh.peers {
		age := now - p.at
		if age > digestAge {
			continue
		}
		told := time.Duration(p.targets[id].BacklogMS) * time.Millisecond
		sum += max(told-age, 0)
	}
	return sum
}

// open sums up the other daemons' attempts at a target.
func (sh *share) open(id msg.TargetID) msg.TargetDigest {
	sum := msg.TargetDigest{Target: id}
	for _, p := range sh.peers {
		t := p.targets[id]
		sum.Open += t.Open
		sum.Running += t.Running
		sum.Tokens += t.Tokens
	}
	return sum
}

func (s *step) onPeer(ev msg.PeerReceived) {
	switch m := ev.Message.(type) {
	case msg.LoadDigest:
		s.onDigest(ev.From, m)
	case msg.PrefillSent:
		s.share.add(s.now, ev.From, m)
	}
}

// add counts work that another daemon sent after its last digest.
func (sh *share) add(now msg.Time, from msg.HostID, w msg.PrefillSent) {
	p := sh.peers[from]
	if p == nil {
		return
	}
	t := p.targets[w.Target]
	t.Target = w.Target
	t.Open++
	// What is told counts from the digest's time on.
	age := round(now - p.at)
	t.BacklogMS = max(t.BacklogMS, age) + w.PrefillMS
	p.targets[w.Target] = t
}

// tellWork tells the other daemons of work at once that is long enough to
// matter to their next choice.
func (s *step) tellWork(a *attempt) {
	if a.work < worthTelling {
		return
	}
	s.tell(msg.PrefillSent{Target: a.target.Target, PrefillMS: round(a.work)})
}

// tell sends a message to all other daemons.
func (s *step) tell(m msg.PeerMessage) {
	for _, h := range s.entries {
		if h.Host != s.self.Host {
			s.emit(msg.SendPeer{To: h.Host, Message: m})
		}
	}
}

func (s *step) onDigest(from msg.HostID, d msg.LoadDigest) {
	p := &peerLoad{at: s.now, targets: make(map[msg.TargetID]msg.TargetDigest, len(d.Targets))}
	for _, t := range d.Targets {
		p.targets[t.Target] = t
	}
	s.share.peers[from] = p
	for _, c := range d.Changing {
		s.changing(c.Target, c.Role, time.Duration(c.MS)*time.Millisecond)
	}
	for _, c := range d.Cached {
		s.learnPart(c.Target, msg.PromptSegment{ID: c.Segment, Tokens: c.Tokens})
	}
}

// tellShare sends a digest to the other daemons where there is news.
func (s *step) tellShare() {
	if s.now-s.share.toldAt < tellEvery || s.table == nil {
		return
	}
	digest := s.digest()
	if len(s.share.cached) == 0 && s.now-s.share.toldAt < tellAtLeast && slices.Equal(digest, s.share.told) {
		return
	}
	told := s.share.cached[:min(len(s.share.cached), s.mostTold())]
	s.share.cached = slices.Clone(s.share.cached[len(told):])
	s.share.toldAt = s.now
	s.share.told = digest
	s.tell(msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: digest, Cached: told, Changing: s.changes()})
}

// mostTold is the number of cached parts in one digest, fewer where it goes to
// many daemons.
func (s *step) mostTold() int {
	return min(max(maxToldAll/max(len(s.entries), 1), leastTold), maxTold)
}

// changes lists the targets that this daemon has told to change their role.
func (s *step) changes() []msg.ChangingTarget {
	var list []msg.ChangingTarget
	for id := range s.share.changing {
		t := s.targets[id]
		if t == nil || s.now >= t.changingUntil {
			delete(s.share.changing, id)
			continue
		}
		list = append(list, msg.ChangingTarget{Target: id, MS: (t.changingUntil - s.now).Milliseconds(), Role: t.changingTo})
	}
	slices.SortFunc(list, func(a, b msg.ChangingTarget) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// tellDemand raises what the engines of each service are decoding, now and
// then.
func (s *step) tellDemand() {
	if s.now < s.share.demandAt {
		return
	}
	s.share.demandAt = s.now + demandEvery
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		d := msg.DecodeDemandUpdated{Service: id}
		for _, t := range s.services[id] {
			if t.Role != msg.RoleDecode {
				continue
			}
			running, tokens := t.running()
			others := s.share.open(t.Target)
			d.Streams += running + others.Running
			d.Tokens += tokens + others.Tokens
		}
		if d.Streams > 0 {
			s.raise(d)
		}
	}
}

// digest lists the targets with open work and those that are left alone, in
// order of id.
func (s *step) digest() []msg.TargetDigest {
	var list []msg.TargetDigest
	for id, t := range s.targets {
		late := max(t.late(s.now), t.avoidUntil-s.now, 0)
		if len(t.open) > 0 || late > 0 {
			running, tokens := t.running()
			list = append(list, msg.TargetDigest{
				Target: id, BacklogMS: round(t.backlog(s.now)), Open: len(t.open), Running: running, Tokens: tokens,
				LateMS: round(late),
			})
		}
	}
	slices.SortFunc(list, func(a, b msg.TargetDigest) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
