package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/streamorigin"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A stream that a caller resumes may go on only at a target of the software version
// that began it. The entry daemons ask each other for the origin of a stream (see package
// streamorigin). If none of them knows it, it is known only if the platform's store says
// that all streams of the service began at one version, or at which one this stream began.
// A stream of unknown origin is refused: a wrong guess would mix what two versions write.

const (
	// originSlack is the time by which the lifetime of streams exceeds two timeouts of
	// their route: daemons learn of changes at different times.
	originSlack = 8 * time.Second
	// recordTimeout is how long a request waits until the versions of its targets are
	// recorded.
	recordTimeout = time.Second
)

// configureOrigins sets how long the origin of the streams of each service counts. A
// caller that comes back once may take up a stream until two timeouts after its begin.
func (s *stepContext) configureOrigins(t *msg.RouteTable) {
	lifetimes := make(map[msg.ServiceID]time.Duration)
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Resumable {
			continue
		}
		for _, sh := range r.Shares {
			lifetimes[sh.Service] = max(lifetimes[sh.Service], streamLifetime(r))
		}
	}
	s.history.Configure(lifetimes)
}

func streamLifetime(r *msg.DirectRoute) time.Duration {
	return 2*cmp.Or(r.Timeout, defaultTimeout) + originSlack
}

// listVersions records the versions that the targets of all services have now.
func (s *stepContext) listVersions() {
	versions := make(map[msg.ServiceID][]string, len(s.services))
	for id, list := range s.services {
		for _, t := range list {
			if !slices.Contains(versions[id], t.Version) {
				versions[id] = append(versions[id], t.Version)
			}
		}
	}
	s.history.SetListed(s.now, versions)
}

// stepOrigins delivers an event to what is kept of the origins of streams.
func (s *stepContext) stepOrigins(ev msg.Event) {
	s.effects = append(s.effects, s.origins.Step(s.now, ev)...)
	s.effects = append(s.effects, s.history.Step(s.now, ev)...)
	s.effects = append(s.effects, s.archive.Step(s.now, ev, func(id msg.ServiceID) bool { return s.history.Several(s.now, id) })...)
}

// resumesStream reports whether the caller has received a part of the request's stream
// from an earlier request.
func (r *request) resumesStream() bool { return r.route.Resumable && r.arrival.LastEvent > 0 }

// stream identifies the request's stream in all requests that resume it.
func (r *request) stream() uint64 {
	if r.resumesStream() && r.arrival.Resumes != "" {
		return xxhash.Sum64String(r.arrival.Resumes)
	}
	return xxhash.Sum64String(r.arrival.CallerID)
}

// fitsOrigin reports whether a target may begin or continue the request's stream.
func (s *stepContext) fitsOrigin(r *request, t *target) bool {
	switch {
	case !r.route.Resumable:
		return true
	case t.foundProcess != 0:
		return false // The list tells the version of another process.
	case r.origin != nil:
		return t.Version == *r.origin
	}
	return s.history.MayBegin(s.now, r.service, t.Version)
}

// requiredProcess returns the process that an attempt is meant for, or 0 if any process of
// the target may serve it. The list of targets tells the version of one process. A target
// may have started again since, at another version and under its ID. Only engines say which
// process they are.
func (s *stepContext) requiredProcess(r *request, c candidate) int64 {
	spec := s.table.services[r.service]
	if !r.route.Resumable || c.step == msg.StepPrefill || spec == nil || spec.Engine == nil {
		return 0
	}
	return c.target.StartedMS
}

// recordProcess records that another process than the listed one was found at a target, or
// that the target did not say which, if found is zero. The list is read again at once.
func (s *stepContext) recordProcess(t *target, a *attempt, found int64) {
	if found == 0 {
		t.updateFailureRate(s.now, false)
		return
	}
	if a.process != t.StartedMS || found == t.StartedMS {
		return // The list has changed meanwhile.
	}
	t.foundProcess = found
	s.raise(msg.TargetReplaced{Target: t.Target})
	s.log("another process than the listed one is at the target", attr("target", t.Target), attr("listed", t.StartedMS), attr("found", found))
}

// awaitsRecord reports whether a new stream has to wait until the versions of its targets
// are recorded.
func (s *stepContext) awaitsRecord(r *request) bool {
	if !r.route.Resumable || r.origin != nil || s.now-r.arrivedAt >= recordTimeout {
		return false
	}
	list := s.services[r.service]
	return len(list) > 0 && !slices.ContainsFunc(list, func(t *target) bool { return s.fitsOrigin(r, t) })
}

// recordOrigin records the version that begins a request's stream, for the case that the
// stream has to go on elsewhere.
func (s *stepContext) recordOrigin(r *request, a *attempt) {
	if !r.route.Resumable {
		return
	}
	if r.origin == nil {
		r.origin = &a.version
	}
	s.effects = append(s.effects, s.origins.Record(s.now, r.stream(), *r.origin)...)
	s.archive.Begin(s.now, r.stream(), r.service, *r.origin)
}

// endOrigin records that an answer has ended. Its caller may take up a stream that is not
// complete.
func (s *stepContext) endOrigin(r *request, complete bool) {
	if r.route != nil && r.route.Resumable {
		s.archive.End(r.stream(), complete, s.now+streamLifetime(r.route))
	}
}

// resolveOrigin determines the version at which a resumed stream began. It reports
// whether the request has to wait for that, and returns a refusal if it can't be known.
func (s *stepContext) resolveOrigin(r *request) (ref *refusal, pending bool) {
	if r.origin != nil || !r.resumesStream() {
		return nil, false
	}
	version, state := s.findOrigin(r)
	switch state {
	case streamorigin.Pending:
		s.hold(r, "waits for the origin of its stream")
		return nil, true
	case streamorigin.Known:
		r.origin = &version
		s.logRequest(r, "origin of the stream found", attr("resumes", r.arrival.Resumes), attr("version", version))
		return nil, false
	}
	return finalRefusal("unknown-version"), false
}

// findOrigin looks for the version at which a resumed stream began: at the daemons that
// keep it, and then at the platform's store.
func (s *stepContext) findOrigin(r *request) (string, streamorigin.State) {
	sources := []func() (string, streamorigin.State, []msg.Effect){
		func() (string, streamorigin.State, []msg.Effect) { return s.origins.Find(s.now, r.stream()) },
		func() (string, streamorigin.State, []msg.Effect) {
			return s.history.Only(s.now, r.arrivedAt, r.service)
		},
		func() (string, streamorigin.State, []msg.Effect) {
			return s.archive.Find(s.now, r.arrivedAt, r.stream())
		},
	}
	for _, find := range sources {
		version, state, effects := find()
		s.effects = append(s.effects, effects...)
		if state != streamorigin.Unknown {
			return version, state
		}
	}
	return "", streamorigin.Unknown
}

// originPending reports whether a held request still waits for the origin of its stream,
// or for the record of versions.
func (s *stepContext) originPending(r *request) bool {
	if r.origin != nil || !r.resumesStream() {
		return s.awaitsRecord(r)
	}
	_, state := s.findOrigin(r)
	return state == streamorigin.Pending
}
