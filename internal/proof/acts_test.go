package proof

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// sendKeyed sends a request with a key, whose account is fixed by its name.
func (s *sim) sendKeyed(p *proc, key, op string) { s.send(p, key[:1], key, op, "body of "+op) }

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

func (s *sim) hostIDs(but msg.HostID) []msg.HostID {
	var out []msg.HostID
	for _, h := range s.hosts {
		if h.Host != but {
			out = append(out, h.Host)
		}
	}
	return out
}

// setCut cuts or heals one way (1), the other (2) or both ways (3).
func (s *sim) setCut(a, b msg.HostID, ways int, cut bool) {
	if ways&1 != 0 {
		s.cut[[2]msg.HostID{a, b}] = cut
	}
	if ways&2 != 0 {
		s.cut[[2]msg.HostID{b, a}] = cut
	}
}

func (s *sim) toggleKey(id string) {
	if _, ok := s.keys[id]; ok {
		delete(s.keys, id)
		s.gone = append(s.gone, id)
		return
	}
	s.keys[id] = id[:1]
	s.gone = slices.DeleteFunc(s.gone, func(k string) bool { return k == id })
}

// serving counts the processes that serve what p serves, itself included.
func (s *sim) serving(p *proc) int {
	n := 0
	for _, o := range s.alive(p.self.Kind) {
		same := p.self.Target == nil || p.self.Target.Pool == o.self.Target.Pool
		if same && !o.stopped && s.now-o.born > 5*time.Second {
			n++
		}
	}
	return n
}

// plannedStop drains a host: the host list shows it as leaving, its process is
// asked to stop, and a new process comes some time after that.
func (s *sim) plannedStop(p *proc, away time.Duration) {
	if p.stopped {
		return
	}
	p.stopped = true
	id := p.self.Host
	s.setState(id, msg.HostLeaving)
	if p.self.Kind == msg.HostTarget {
		s.oracle.leaving[id] = s.now
	}
	if s.muts.stopAtOnce {
		s.kill(p)
	}
	p.post(msg.StopRequested{})
	s.awaitStop(p, away)
}

func (s *sim) awaitStop(p *proc, away time.Duration) {
	s.after(away, func() {
		if !p.dead {
			s.awaitStop(p, away)
			return
		}
		id := p.self.Host
		delete(s.oracle.leaving, id)
		s.setState(id, msg.HostLive)
		s.restart(id)
	})
}

func sortedNames(a actions) []string { return slices.Sorted(maps.Keys(a)) }
