package request

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// peerWork is the prefill work that the other daemons have at a target, as they have
// reported it.
//
// It is designed for engines on which many daemons have work at once. An engine works off
// the prompts of all of them one after the other. The work of each daemon therefore falls
// only by its share of the time that passes, and that of this daemon, which is known
// exactly, takes its share as well.
type peerWork struct {
	at     msg.Time
	shares [classes]workShares
}

// workShares holds the work of a class by daemon. The shares are kept in units that shrink
// together: a unit is scale milliseconds.
type workShares struct {
	scale, units float64
	byPeer       map[msg.HostID]float64
}

// minWorkShare is the fraction of the work below which the rest counts as done.
const minWorkShare = 1e-3

// minScale is the scale below which the units are chosen anew, so that it does not underflow.
const minScale = 1e-6

func newPeerWork(now msg.Time) *peerWork {
	w := &peerWork{at: now}
	for c := range w.shares {
		w.shares[c] = workShares{scale: 1, byPeer: make(map[msg.HostID]float64)}
	}
	return w
}

// advance deducts the work that the target has done up to now. The parameter own returns
// the work of this daemon of a class. Background work is done when there is no other.
func (w *peerWork) advance(now msg.Time, own func(class) time.Duration) {
	left := milliseconds(now - w.at)
	w.at = now
	for c := range w.shares {
		if left <= 0 {
			return
		}
		left = w.shares[c].workOff(left, milliseconds(own(class(c))))
	}
}

// total returns the work of all other daemons of a class.
func (w *peerWork) total(c class) time.Duration {
	return time.Duration(w.shares[c].total() * float64(time.Millisecond))
}

func (w *workShares) total() float64 { return max(w.units*w.scale, 0) }

// set sets the work of a daemon in milliseconds.
func (w *workShares) set(id msg.HostID, ms float64) {
	w.units += ms/w.scale - w.byPeer[id]
	w.byPeer[id] = ms / w.scale
	if ms <= 0 {
		delete(w.byPeer, id)
	}
	if len(w.byPeer) == 0 {
		w.scale, w.units = 1, 0
	}
}

// add adds to the work of a daemon.
func (w *workShares) add(id msg.HostID, ms float64) { w.set(id, w.byPeer[id]*w.scale+ms) }

// workOff deducts up to ms milliseconds from this work and from that of this daemon, in
// proportion, and returns the time that is left over.
func (w *workShares) workOff(ms, own float64) float64 {
	all := w.total() + own
	if all <= 0 {
		return ms
	}
	done := min(ms, all)
	if rest := 1 - done/all; rest >= minWorkShare {
		w.shrink(rest)
	} else {
		clear(w.byPeer)
		w.scale, w.units = 1, 0
	}
	return ms - done
}

// shrink multiplies the work by a factor.
func (w *workShares) shrink(factor float64) {
	w.scale *= factor
	if w.scale >= minScale {
		return
	}
	for id := range w.byPeer {
		w.byPeer[id] *= w.scale
	}
	w.units *= w.scale
	w.scale = 1
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// workOfPeers returns the work that the other daemons have at a target now.
func (s *stepContext) workOfPeers(t *target) *peerWork {
	t.peers.advance(s.now, func(c class) time.Duration { return t.backlog(s.now, c) })
	return t.peers
}

// recordPeerWork records the work that another daemon has reported, in place of what it
// reported before.
func (s *stepContext) recordPeerWork(from msg.HostID, before, reported map[msg.TargetID]msg.TargetDigest) {
	for id := range before {
		if _, ok := reported[id]; !ok {
			s.setPeerWork(from, msg.TargetDigest{Target: id})
		}
	}
	for _, d := range reported {
		s.setPeerWork(from, d)
	}
}

func (s *stepContext) setPeerWork(from msg.HostID, d msg.TargetDigest) {
	t := s.targets[d.Target]
	if t == nil {
		return
	}
	w := s.workOfPeers(t)
	w.shares[foreground].set(from, float64(d.BacklogMS))
	w.shares[background].set(from, float64(d.BackgroundMS))
}

// addPeerWork adds a prefill that another daemon has announced.
func (s *stepContext) addPeerWork(from msg.HostID, m msg.PrefillSent) {
	t := s.targets[m.Target]
	if t == nil {
		return
	}
	c := foreground
	if m.Background {
		c = background
	}
	s.workOfPeers(t).shares[c].add(from, float64(m.PrefillMS))
}

// forgetSilentPeers drops what daemons have reported that have sent no digest for
// digestMaxAge. They no longer say what they have open.
func (s *stepContext) forgetSilentPeers() {
	for _, id := range slices.Sorted(maps.Keys(s.exchange.peers)) {
		if s.now-s.exchange.peers[id].receivedAt > digestMaxAge {
			s.forgetPeer(id)
		}
	}
}

// forgetFormerMembers drops what daemons have reported that are no longer members.
func (s *stepContext) forgetFormerMembers(entries []msg.Host) {
	for _, id := range slices.Sorted(maps.Keys(s.exchange.peers)) {
		if !slices.ContainsFunc(entries, func(h msg.Host) bool { return h.Host == id }) {
			s.forgetPeer(id)
		}
	}
}

func (s *stepContext) forgetPeer(id msg.HostID) {
	s.recordPeerWork(id, s.exchange.peers[id].targets, nil)
	delete(s.exchange.peers, id)
}
