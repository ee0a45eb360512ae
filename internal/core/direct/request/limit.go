package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// limitRetention is how long a limit holds that no response has confirmed. Its holders
// receive responses all the time as long as the target is used at all.
const limitRetention = 30 * time.Second

// requestLimit is what is known of a target's limit of requests per second.
type requestLimit struct {
	// perSecond is the limit. Zero means that there is none.
	perSecond float64
	// namedAt is when a response to this or another daemon named the limit, or none.
	// firsthand reports whether it was this daemon.
	namedAt   msg.Time
	firsthand bool
	// announced reports whether the target has ever named a limit, so that the other
	// daemons are told when it ceases to.
	announced bool
	// bucket permits this daemon's share, which was computed for the given version of
	// the members.
	bucket  sharedrate.TargetBucket
	version uint64
}

// limited reports whether a limit holds now.
func (l *requestLimit) limited(now msg.Time) bool {
	return l.perSecond > 0 && now-l.namedAt < limitRetention
}

// learnLimit records a limit that a response named at an instant, unless a later
// response is known.
func (s *stepContext) learnLimit(t *target, perSecond float64, namedAt msg.Time, firsthand bool) {
	l := &t.limit
	if namedAt < l.namedAt {
		return
	}
	changed := perSecond != l.perSecond
	l.perSecond, l.namedAt, l.firsthand = perSecond, namedAt, firsthand
	l.announced = l.announced || perSecond > 0
	if !changed {
		return
	}
	l.version = 0 // The share has changed.
	if firsthand {
		s.exchange.sendSoon()
	}
}

// permits reports whether this daemon's share of the target's limit, if there is one,
// permits a request now.
func (s *stepContext) permits(t *target) bool {
	l := &t.limit
	if !l.limited(s.now) {
		return true
	}
	if l.version != s.limitMembers.Version {
		l.version = s.limitMembers.Version
		l.bucket.SetRate(s.now, s.limitMembers.TargetShare(t.Target, s.self.Host, l.perSecond))
	}
	return l.bucket.Permits(s.now)
}

// namedLimits lists the limits that targets have named to this daemon, or have ceased
// to name, for the other daemons.
func (s *stepContext) namedLimits() []msg.TargetLimit {
	var list []msg.TargetLimit
	for id, t := range s.targets {
		age := s.now - t.limit.namedAt
		if t.limit.firsthand && t.limit.announced && age < limitRetention {
			list = append(list, msg.TargetLimit{Target: id, PerSecond: t.limit.perSecond, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b msg.TargetLimit) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// onLimits applies the limits that targets have named to another daemon.
func (s *stepContext) onLimits(limits []msg.TargetLimit) {
	for _, l := range limits {
		if t := s.targets[l.Target]; t != nil {
			s.learnLimit(t, l.PerSecond, s.now-time.Duration(l.AgeMS)*time.Millisecond, false)
		}
	}
}

// reportLimited raises the targets that name limits if they have changed.
func (s *stepContext) reportLimited() {
	var limited []msg.TargetID
	for id, t := range s.targets {
		if t.limit.limited(s.now) {
			limited = append(limited, id)
		}
	}
	slices.Sort(limited)
	if slices.Equal(limited, s.exchange.limited) {
		return
	}
	s.exchange.limited = limited
	s.raise(msg.TargetsLimited{Targets: limited})
}
