package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// tellEvery is the least time between two digests and tellAtLeast the most.
	tellEvery   = 80 * time.Millisecond
	tellAtLeast = time.Second
	// digestAge is the age at which a digest no longer counts.
	digestAge = 2500 * time.Millisecond
	// maxTold bounds the cached parts in one digest.
	maxTold = 48
)

// share is what the entry daemons tell each other of their work.
type share struct {
	toldAt msg.Time
	told   []msg.TargetDigest
	cached []msg.CachedPart
	peers  map[msg.HostID]*peerLoad
}

type peerLoad struct {
	at      msg.Time
	targets map[msg.TargetID]msg.TargetDigest
}

func newShare() share { return share{peers: make(map[msg.HostID]*peerLoad)} }

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

// open is the number of the other daemons' attempts at a target.
func (sh *share) open(id msg.TargetID) int {
	n := 0
	for _, p := range sh.peers {
		n += p.targets[id].Open
	}
	return n
}

func (s *step) onDigest(from msg.HostID, d msg.LoadDigest) {
	p := &peerLoad{at: s.now, targets: make(map[msg.TargetID]msg.TargetDigest, len(d.Targets))}
	for _, t := range d.Targets {
		p.targets[t.Target] = t
	}
	s.share.peers[from] = p
	for _, c := range d.Cached {
		t := s.targets[c.Target]
		if t == nil {
			continue
		}
		if spec := s.engine(t); spec != nil {
			s.caches.add(c.Target, spec.CacheTokens, c.Chain, c.Tokens)
		}
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
	told := s.share.cached[:min(len(s.share.cached), maxTold)]
	s.share.cached = slices.Clone(s.share.cached[len(told):])
	s.share.toldAt = s.now
	s.share.told = digest
	for _, h := range s.entries {
		if h.Host != s.self.Host {
			s.emit(msg.SendPeer{To: h.Host, Message: msg.LoadDigest{Targets: digest, Cached: told}})
		}
	}
}

// digest lists the targets with open work, in order of id.
func (s *step) digest() []msg.TargetDigest {
	var list []msg.TargetDigest
	for id, t := range s.targets {
		if len(t.open) > 0 {
			list = append(list, msg.TargetDigest{Target: id, BacklogMS: round(t.backlog(s.now)), Open: len(t.open)})
		}
	}
	slices.SortFunc(list, func(a, b msg.TargetDigest) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
