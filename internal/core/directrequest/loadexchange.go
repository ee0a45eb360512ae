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
	// minDigestInterval is the least time between two digests and tellAtLeast the most.
	minDigestInterval = 80 * time.Millisecond
	maxDigestInterval = time.Second
	// minAnnouncedPrefill is the work that is told at once, before the next digest.
	minAnnouncedPrefill = 25 * time.Millisecond
	// digestMaxAge is the age at which a digest no longer counts.
	digestMaxAge = 2500 * time.Millisecond
	// demandInterval is the time between two sums of what engines decode.
	demandInterval = 500 * time.Millisecond
	// maxSegmentsPerMessage bounds the cached parts in one message, maxToldAll those in one
	// digest to all daemons, of which each gets leastTold: small hosts have 10
	// Mbit/s.
	maxSegmentsPerMessage = 200
	maxSegmentsAllPeers   = 800
	minSegmentsPerPeer    = 10
	// cacheReadDelay is the age of a process at which it asks engines what they
	// hold: it knows the other daemons by then.
	cacheReadDelay = 300 * time.Millisecond
)

// loadExchange is what the entry daemons tell each other of their work.
type loadExchange struct {
	digestSentAt   msg.Time
	lastDigest     []msg.TargetDigest
	unsentSegments []msg.CachedSegment
	peers          map[msg.HostID]*peerLoad
	// roleChanges holds the targets that this daemon told to change.
	roleChanges  map[msg.TargetID]bool
	nextDemandAt msg.Time
}

type peerLoad struct {
	receivedAt msg.Time
	targets    map[msg.TargetID]msg.TargetDigest
}

func newLoadExchange() loadExchange {
	return loadExchange{peers: make(map[msg.HostID]*peerLoad), roleChanges: make(map[msg.TargetID]bool)}
}

// sendCacheToNewEntries tells daemons that have joined what engines hold. One daemon tells
// each: the picture is long, and after a restart of all everyone has joined.
func (s *stepContext) sendCacheToNewEntries(entries []msg.Host) {
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
			parts = s.caches.segments()
		}
		for chunk := range slices.Chunk(parts, maxSegmentsPerMessage) {
			s.emit(msg.SendPeer{To: h.Host, Message: msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: s.exchange.lastDigest, Cached: chunk}})
		}
	}
}

// dropNonMembers drops the digests of daemons that are no members.
func (sh *loadExchange) dropNonMembers(entries []msg.Host) {
	for id := range sh.peers {
		if !slices.ContainsFunc(entries, func(h msg.Host) bool { return h.Host == id }) {
			delete(sh.peers, id)
		}
	}
}

// backlog is what is left of the other daemons' work at a target.
func (sh *loadExchange) backlog(now msg.Time, id msg.TargetID) time.Duration {
	var sum time.Duration
	for _, p := range sh.peers {
		age := now - p.receivedAt
		if age > digestMaxAge {
			continue
		}
		told := time.Duration(p.targets[id].BacklogMS) * time.Millisecond
		sum += max(told-age, 0)
	}
	return sum
}

// openWork sums up the other daemons' attempts at a target.
func (sh *loadExchange) openWork(id msg.TargetID) msg.TargetDigest {
	sum := msg.TargetDigest{Target: id}
	for _, p := range sh.peers {
		t := p.targets[id]
		sum.Open += t.Open
		sum.Running += t.Running
		sum.Tokens += t.Tokens
	}
	return sum
}

func (s *stepContext) onPeerMessage(ev msg.PeerReceived) {
	switch m := ev.Message.(type) {
	case msg.LoadDigest:
		s.onDigest(ev.From, m)
	case msg.PrefillSent:
		s.exchange.addPrefill(s.now, ev.From, m)
	}
}

// addPrefill counts work that another daemon sent after its last digest.
func (sh *loadExchange) addPrefill(now msg.Time, from msg.HostID, w msg.PrefillSent) {
	p := sh.peers[from]
	if p == nil {
		return
	}
	t := p.targets[w.Target]
	t.Target = w.Target
	t.Open++
	// What is told counts from the digest's time on.
	age := roundMS(now - p.receivedAt)
	t.BacklogMS = max(t.BacklogMS, age) + w.PrefillMS
	p.targets[w.Target] = t
}

// announcePrefill tells the other daemons of work at once that is long enough to
// matter to their next choice.
func (s *stepContext) announcePrefill(a *attempt) {
	if a.prefill < minAnnouncedPrefill {
		return
	}
	s.broadcast(msg.PrefillSent{Target: a.target.Target, PrefillMS: roundMS(a.prefill)})
}

// broadcast sends a message to all other daemons.
func (s *stepContext) broadcast(m msg.PeerMessage) {
	for _, h := range s.entries {
		if h.Host != s.self.Host {
			s.emit(msg.SendPeer{To: h.Host, Message: m})
		}
	}
}

func (s *stepContext) onDigest(from msg.HostID, d msg.LoadDigest) {
	p := &peerLoad{receivedAt: s.now, targets: make(map[msg.TargetID]msg.TargetDigest, len(d.Targets))}
	for _, t := range d.Targets {
		p.targets[t.Target] = t
	}
	s.exchange.peers[from] = p
	for _, c := range d.Changing {
		s.suspendForRoleChange(c.Target, c.Role, time.Duration(c.MS)*time.Millisecond)
	}
	for _, c := range d.Cached {
		s.recordSegment(c.Target, msg.PromptSegment{ID: c.Segment, Tokens: c.Tokens})
	}
}

// sendDigest sends a digest to the other daemons where there is news.
func (s *stepContext) sendDigest() {
	if s.now-s.exchange.digestSentAt < minDigestInterval || s.table == nil {
		return
	}
	digest := s.digest()
	if len(s.exchange.unsentSegments) == 0 && s.now-s.exchange.digestSentAt < maxDigestInterval && slices.Equal(digest, s.exchange.lastDigest) {
		return
	}
	told := s.exchange.unsentSegments[:min(len(s.exchange.unsentSegments), s.maxDigestSegments())]
	s.exchange.unsentSegments = slices.Clone(s.exchange.unsentSegments[len(told):])
	s.exchange.digestSentAt = s.now
	s.exchange.lastDigest = digest
	s.broadcast(msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: digest, Cached: told, Changing: s.changingTargets()})
}

// maxDigestSegments is the number of cached parts in one digest, fewer where it goes to
// many daemons.
func (s *stepContext) maxDigestSegments() int {
	return min(max(maxSegmentsAllPeers/max(len(s.entries), 1), minSegmentsPerPeer), maxSegmentsPerMessage)
}

// changingTargets lists the targets that this daemon has told to change their role.
func (s *stepContext) changingTargets() []msg.ChangingTarget {
	var list []msg.ChangingTarget
	for id := range s.exchange.roleChanges {
		t := s.targets[id]
		if t == nil || s.now >= t.changingUntil {
			delete(s.exchange.roleChanges, id)
			continue
		}
		list = append(list, msg.ChangingTarget{Target: id, MS: (t.changingUntil - s.now).Milliseconds(), Role: t.changingTo})
	}
	slices.SortFunc(list, func(a, b msg.ChangingTarget) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// raiseDecodeDemand raises what the engines of each service are decoding, now and
// then.
func (s *stepContext) raiseDecodeDemand() {
	if s.now < s.exchange.nextDemandAt {
		return
	}
	s.exchange.nextDemandAt = s.now + demandInterval
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		d := msg.DecodeDemandUpdated{Service: id}
		for _, t := range s.services[id] {
			if t.Role != msg.RoleDecode {
				continue
			}
			running, tokens := t.running()
			others := s.exchange.openWork(t.Target)
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
func (s *stepContext) digest() []msg.TargetDigest {
	var list []msg.TargetDigest
	for id, t := range s.targets {
		late := max(t.lateness(s.now), t.backoffUntil-s.now, 0)
		if len(t.open) > 0 || late > 0 {
			running, tokens := t.running()
			list = append(list, msg.TargetDigest{
				Target: id, BacklogMS: roundMS(t.backlog(s.now)), Open: len(t.open), Running: running, Tokens: tokens,
				LateMS: roundMS(late),
			})
		}
	}
	slices.SortFunc(list, func(a, b msg.TargetDigest) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
