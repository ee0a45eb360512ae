package proof

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// sendKeyed sends a request with an API key. The first letter of the key's ID
// names its account.
func (s *sim) sendKeyed(p *proc, key, op string) { s.send(p, key[:1], key, op, "body of "+op) }

// restart starts a process on a host unless one is running there.
func (s *sim) restart(id msg.HostID) {
	if p := s.procs[id]; p != nil && !p.dead {
		return
	}
	for _, h := range s.hosts {
		if h.Host == id {
			s.start(h)
		}
	}
}

// hostIDs returns all hosts but one.
func (s *sim) hostIDs(except msg.HostID) []msg.HostID {
	var out []msg.HostID
	for _, h := range s.hosts {
		if h.Host != except {
			out = append(out, h.Host)
		}
	}
	return out
}

// setBlocked blocks or unblocks the network between two hosts. Bit 0 of ways
// stands for the direction from a to b and bit 1 for that from b to a.
func (s *sim) setBlocked(a, b msg.HostID, ways int, cut bool) {
	if ways&1 != 0 {
		s.blocked[[2]msg.HostID{a, b}] = cut
	}
	if ways&2 != 0 {
		s.blocked[[2]msg.HostID{b, a}] = cut
	}
}

// toggleKey withdraws an API key or restores it, in the next manifest.
func (s *sim) toggleKey(id string) {
	if _, ok := s.keys[id]; ok {
		delete(s.keys, id)
		s.withdrawnKeys = append(s.withdrawnKeys, id)
		return
	}
	s.keys[id] = id[:1]
	s.withdrawnKeys = slices.DeleteFunc(s.withdrawnKeys, func(k string) bool { return k == id })
}

// servingCount counts the live processes that can replace p, itself included:
// those of its kind and pool that are not stopping and have run for over 5 s.
func (s *sim) servingCount(p *proc) int {
	n := 0
	for _, other := range s.live(p.self.Kind) {
		same := p.self.Target == nil || p.self.Target.Pool == other.self.Target.Pool
		if same && !other.stopped && s.now-other.startedAt > 5*time.Second {
			n++
		}
	}
	return n
}

// plannedStop drains a host: the host list shows it as leaving, its process
// receives a request to stop, and a new process starts some time after it has
// stopped.
func (s *sim) plannedStop(p *proc, away time.Duration) {
	if p.stopped {
		return
	}
	p.stopped = true
	id := p.self.Host
	s.setState(id, msg.HostLeaving)
	if p.self.Kind == msg.HostTarget {
		s.oracle.leavingSince[id] = s.now
	}
	if s.mutations.killOnStop {
		s.kill(p)
	}
	p.post(msg.StopRequested{})
	s.awaitStop(p, away)
}

// awaitStop checks at the interval away whether a process has stopped, and then
// starts a new one on its host.
func (s *sim) awaitStop(p *proc, away time.Duration) {
	s.after(away, func() {
		if !p.dead {
			s.awaitStop(p, away)
			return
		}
		id := p.self.Host
		delete(s.oracle.leavingSince, id)
		s.setState(id, msg.HostLive)
		s.restart(id)
	})
}

// sortedNames returns the names of actions in a fixed order.
func sortedNames(a actions) []string { return slices.Sorted(maps.Keys(a)) }
