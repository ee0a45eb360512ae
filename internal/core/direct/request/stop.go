package request

import (
	"cmp"
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// While the daemon stops, it goes on serving the requests that it still receives. Each of
// them is answered before the process ends: one that may outlive the drain is refused at
// once, so that its caller has time to ask another daemon, and what is open at the end of
// the drain is ended.

// codeStopping is the code of requests that do not end before the daemon stops.
const codeStopping = "stopping"

// drain is the state of a graceful shutdown.
type drain struct {
	// requested reports whether the daemon was asked to stop.
	requested bool
	// acceptUntil is the last instant at which requests are accepted whatever their
	// deadlines, and endAt the end of the drain. Both are zero if the drain has no end.
	acceptUntil, endAt msg.Time
}

// limited reports whether the drain has an end.
func (d *drain) limited() bool { return d.endAt > 0 }

// over reports whether the drain has ended.
func (d *drain) over(now msg.Time) bool { return d.limited() && now >= d.endAt }

// onStopRequested begins the drain. Only the first request to stop counts.
func (s *stepContext) onStopRequested(ev msg.StopRequested) {
	if s.drain.requested {
		return
	}
	s.drain.requested = true
	if ev.DrainFor > 0 {
		s.drain.acceptUntil, s.drain.endAt = s.now+ev.AcceptFor, s.now+ev.DrainFor
		s.log("drain begins", attr("accept_for_ms", formatMS(ev.AcceptFor)), attr("drain_for_ms", formatMS(ev.DrainFor)), attr("open", len(s.requests)))
	}
	if s.stopsInSecondHalf() {
		s.emit(msg.AcceptLonger{})
	}
	s.updateReady()
}

// stopsInSecondHalf reports whether this daemon is in the half of the entries that goes on
// accepting connections while callers open them, so that the first half is back before the
// second ends if all are stopped at once. It holds every second entry in the order of
// failure domains and names, which leaves some of each domain.
func (s *stepContext) stopsInSecondHalf() bool {
	before := 0
	for _, e := range s.entries {
		if cmp.Or(cmp.Compare(e.Domain, s.self.Domain), cmp.Compare(e.Host, s.self.Host)) < 0 {
			before++
		}
	}
	return before%2 == 1
}

// stoppingRefusal returns the refusal of a request that another daemon may serve.
func stoppingRefusal() *refusal {
	return &refusal{statusUnavailable, codeStopping, retryAfterOtherEntry}
}

// checkDrain returns a refusal if an arriving request may still be open at the end of the
// drain and did not arrive early enough to be served as long as that lasts.
func (s *stepContext) checkDrain(r *request) *refusal {
	d := &s.drain
	early := s.now <= d.acceptUntil && !d.over(s.now)
	if !d.limited() || early || r.deadline <= d.endAt {
		return nil
	}
	return stoppingRefusal()
}

// endDrain ends the requests that are still open at the end of the drain.
func (s *stepContext) endDrain() {
	if !s.drain.over(s.now) || len(s.requests) == 0 {
		return
	}
	s.log("drain has ended with open requests", attr("open", len(s.requests)))
	for _, r := range slices.SortedFunc(maps.Values(s.requests), compareRequests) {
		r.countOpenRun()
		if r.mayHaveRun {
			s.fail(r, codeStopping)
			continue
		}
		s.refuse(r, *stoppingRefusal())
	}
}
