package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// minDigestInterval is the shortest time between two digests and
	// maxDigestInterval the longest.
	minDigestInterval = 80 * time.Millisecond
	maxDigestInterval = time.Second
	// announcedShare is the share of a route's objective that a prefill must take to
	// be announced to the other daemons at once instead of with the next digest.
	announcedShare = 0.05
	// digestMaxAge is the largest age at which the backlog and the lateness in a
	// digest are still used.
	digestMaxAge = 2500 * time.Millisecond
	// demandInterval is the time between two updates of the decode demand.
	demandInterval = 500 * time.Millisecond
	// maxSegmentsPerMessage limits the cached segments in one message. A digest
	// is sent to each of the other daemons: maxSegmentsAllPeers limits the cached
	// segments in all these messages together, but each message may hold
	// minSegmentsPerPeer in any case. The reason for the limits is that small
	// hosts have a link of 10 Mbit/s.
	maxSegmentsPerMessage = 200
	maxSegmentsAllPeers   = 800
	minSegmentsPerPeer    = 10
	// cacheReadDelay is how long after its start the process begins to read the
	// caches of engines. By then it has received the list of the other daemons.
	cacheReadDelay = 300 * time.Millisecond
)

// loadExchange is the state of the exchange of load digests between the entry
// daemons.
type loadExchange struct {
	digestSentAt msg.Time
	lastDigest   []msg.TargetDigest
	// unsentSegments holds the cached segments that no digest contains yet.
	unsentSegments []msg.CachedSegment
	peers          map[msg.HostID]*peerLoad
	// roleChanges holds the targets that this daemon has ordered to change
	// their role.
	roleChanges  map[msg.TargetID]bool
	nextDemandAt msg.Time
	// limited holds the targets of the last TargetsLimited.
	limited []msg.TargetID
}

// peerLoad is the load that another entry daemon last reported.
type peerLoad struct {
	receivedAt msg.Time
	targets    map[msg.TargetID]msg.TargetDigest
}

func newLoadExchange() loadExchange {
	return loadExchange{peers: make(map[msg.HostID]*peerLoad), roleChanges: make(map[msg.TargetID]bool)}
}

// informNewEntries sends the estimated cache contents of all engines and the speeds of all
// targets to the entry daemons that have joined. Each of them receives these from
// one daemon only, because the lists are long, and after a restart of all daemons
// each one is new to every other.
func (s *stepContext) informNewEntries(entries []msg.Host) {
	var segments []msg.CachedSegment
	for _, h := range entries {
		known := slices.ContainsFunc(s.entries, func(o msg.Host) bool { return o.Host == h.Host })
		if known || h.Host == s.self.Host || s.table == nil {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(entries), func(o msg.Host) bool { return o.Host == h.Host })
		if rendezvous.Rank(string(h.Host), s.self.Host, others) != 0 {
			continue
		}
		if segments == nil {
			segments = s.caches.segments()
		}
		for chunk := range slices.Chunk(s.speeds.Known(s.now), maxSpeedsPerMessage) {
			s.emit(msg.SendPeer{To: h.Host, Message: msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: s.exchange.lastDigest, Speeds: chunk}})
		}
		for chunk := range slices.Chunk(segments, maxSegmentsPerMessage) {
			s.emit(msg.SendPeer{To: h.Host, Message: msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: s.exchange.lastDigest, Cached: chunk}})
		}
	}
}

// openWork returns the sum of the other daemons' open work at a target. A digest
// that is older than digestMaxAge is left out: its daemon no longer says what is open.
func (x *loadExchange) openWork(now msg.Time, id msg.TargetID) msg.TargetDigest {
	sum := msg.TargetDigest{Target: id}
	for _, p := range x.peers {
		if now-p.receivedAt > digestMaxAge {
			continue
		}
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
		s.onPrefillSent(ev.From, m)
	case msg.StreamOrigins, msg.StreamVersionsRecorded:
		s.resumeHeld()
	case msg.QuotaAsk, msg.QuotaReply, msg.QuotaReturn:
		s.onQuotaMessage(ev.From, m)
	}
}

// onPrefillSent adds to what a daemon has reported a prefill that it has sent since.
func (s *stepContext) onPrefillSent(from msg.HostID, m msg.PrefillSent) {
	p := s.exchange.peers[from]
	if p == nil {
		return
	}
	t := p.targets[m.Target]
	t.Target = m.Target
	t.Open++
	p.targets[m.Target] = t
	s.addPeerWork(from, m)
}

// announcePrefill announces a prefill to the other daemons at once if it is
// long enough to affect their next placements.
func (s *stepContext) announcePrefill(a *attempt) {
	if float64(a.prefill) < announcedShare*float64(a.req.route.Objective) {
		return
	}
	s.broadcast(msg.PrefillSent{Target: a.target.Target, PrefillMS: roundMS(a.prefill), Background: a.class == background})
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
	var before map[msg.TargetID]msg.TargetDigest
	if last := s.exchange.peers[from]; last != nil {
		before = last.targets
	}
	s.exchange.peers[from] = p
	s.recordPeerWork(from, before, p.targets)
	for _, c := range d.Changing {
		s.suspendForRoleChange(c.Target, c.Role, time.Duration(c.MS)*time.Millisecond)
	}
	s.onLimits(d.Limits)
	s.onLeaving(d.Leaving)
	s.speeds.Merge(s.now, d.Speeds)
	s.refusals.Merge(s.now, d.Refused)
	for _, c := range d.Cached {
		s.recordSegment(c.Target, msg.PromptSegment{ID: c.Segment, Tokens: c.Tokens})
	}
}

// sendSoon makes the next tick send a digest, because the other daemons should know of
// something at once.
func (x *loadExchange) sendSoon() { x.digestSentAt = 0 }

// sendDigest sends a digest to the other daemons if something has changed or
// maxDigestInterval has passed.
func (s *stepContext) sendDigest() {
	if s.now-s.exchange.digestSentAt < minDigestInterval || s.table == nil {
		return
	}
	digest := s.digest()
	refusals := s.refusals.Unsent(s.now, s.maxDigestSegments())
	if len(s.exchange.unsentSegments) == 0 && len(refusals) == 0 && s.now-s.exchange.digestSentAt < maxDigestInterval && slices.Equal(digest, s.exchange.lastDigest) {
		return
	}
	batch := s.exchange.unsentSegments[:min(len(s.exchange.unsentSegments), s.maxDigestSegments())]
	s.exchange.unsentSegments = slices.Clone(s.exchange.unsentSegments[len(batch):])
	s.exchange.digestSentAt = s.now
	s.exchange.lastDigest = digest
	s.broadcast(msg.LoadDigest{WallMS: s.wall.UnixMilli(), Targets: digest, Cached: batch, Changing: s.changingTargets(), Limits: s.namedLimits(), Leaving: s.leavingTargets(), Speeds: s.speeds.Unsent(s.now, maxSpeedsPerDigest), Refused: refusals})
}

// maxDigestSegments returns the largest number of cached segments in one
// digest. It falls with the number of daemons to which the digest is sent.
func (s *stepContext) maxDigestSegments() int {
	return min(max(maxSegmentsAllPeers/max(len(s.entries), 1), minSegmentsPerPeer), maxSegmentsPerMessage)
}

// changingTargets lists the targets that this daemon has ordered to change
// their role and that have not changed yet.
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

// reportDecodeDemand periodically raises an event with the load of the decode
// engines of each service.
func (s *stepContext) reportDecodeDemand() {
	if s.now < s.exchange.nextDemandAt {
		return
	}
	s.exchange.nextDemandAt = s.now + demandInterval
	s.reportLimited()
	s.reportSpeeds()
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		d := msg.DecodeDemandUpdated{Service: id}
		for _, t := range s.services[id] {
			if t.Role != msg.RoleDecode {
				continue
			}
			running, tokens := t.running()
			others := s.exchange.openWork(s.now, t.Target)
			d.Streams += running + others.Running
			d.Tokens += tokens + others.Tokens
		}
		if d.Streams > 0 {
			s.raise(d)
		}
	}
}

// digest lists the targets at which this daemon has open work and those in
// backoff, ordered by ID. For a target in backoff, the lateness is at least the
// rest of the backoff.
func (s *stepContext) digest() []msg.TargetDigest {
	var list []msg.TargetDigest
	for id, t := range s.targets {
		late := max(t.lateness(s.now), t.backoffUntil-s.now, 0)
		if len(t.open) > 0 || late > 0 {
			running, tokens := t.running()
			list = append(list, msg.TargetDigest{
				Target: id, BacklogMS: roundMS(t.backlog(s.now, foreground)), BackgroundMS: roundMS(t.backlog(s.now, background)), Open: len(t.open), Running: running, Tokens: tokens,
				LateMS: roundMS(late),
			})
		}
	}
	slices.SortFunc(list, func(a, b msg.TargetDigest) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
