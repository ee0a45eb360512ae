package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// onInstancesChanged applies a new list of targets.
func (s *stepContext) onInstancesChanged(ev msg.InstancesChanged) {
	defer s.listVersions()
	listed := make(map[msg.TargetID]bool, len(ev.Instances))
	for _, in := range ev.Instances {
		listed[in.Target] = true
		t := s.targets[in.Target]
		if t == nil || t.Addr != in.Addr || t.Service != in.Service {
			if t != nil {
				s.recordCrash(t)
			}
			t = newTarget(s.now, in)
			s.targets[in.Target] = t
		}
		if t.StartedMS != in.StartedMS && t.StartedMS != 0 {
			s.onTargetRestarted(t)
		}
		if in.Role == t.changingTo {
			t.changingUntil = 0
		}
		if t.Role != in.Role {
			t.changingUntil = 0
			t.backoffUntil = 0
			t.backoff = 0
			s.caches.removeEngine(in.Target)
		}
		t.Instance = in
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.recordCrash(t)
			s.caches.removeEngine(id)
			delete(s.targets, id)
		}
	}
	s.speeds.SetTargets(ev.Instances)
	s.assignPaceProbes()
	s.services = make(map[msg.ServiceID][]*target)
	for _, in := range ev.Instances {
		s.services[in.Service] = append(s.services[in.Service], s.targets[in.Target])
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.Target, b.Target) })
	}
}

// onTargetRestarted discards what was recorded of a target's earlier process.
func (s *stepContext) onTargetRestarted(t *target) {
	s.recordCrash(t)
	s.recordOpen(t)
	s.setReachable(t, true)
	s.caches.removeEngine(t.Target)
	t.foundProcess = 0
	t.notices = targetNotices{}
	t.limit = requestLimit{}
	t.skipCacheRead = true // the cache is empty after a restart
	t.congestion = 1
	s.speeds.Restarted(t.Target)
	t.failureRate = 0
	t.refusedDecodes = 0
	t.backoffUntil = 0
	t.backoff = 0
	t.changingUntil = 0
	t.peers = newPeerWork(s.now)
}

// setReachable records whether a target accepts connections.
func (s *stepContext) setReachable(t *target, reachable bool) {
	if t.unreachable != reachable {
		return
	}
	t.unreachable = !reachable
	s.raise(msg.TargetReachable{Target: t.Target, Reachable: reachable})
}

// suspendForRoleChange records that a target is changing its role. The target is
// sent no requests until the list of targets shows the new role, but for d at
// most.
func (s *stepContext) suspendForRoleChange(id msg.TargetID, to msg.Role, d time.Duration) {
	t := s.targets[id]
	if t == nil || t.Role == to {
		return
	}
	t.changingTo = to
	t.changingUntil = s.now + d
}
