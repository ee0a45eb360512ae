package request

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/streamorigin"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A stream that a caller resumes may go on only at a target of the software version
// that began it. While a service has had one version only, every stream began there.
// Otherwise the entry daemons ask each other for the origin of a stream (see package
// streamorigin), and a stream of unknown origin is refused: a wrong guess would mix what
// two versions write.

// versionMemory is how long a version counts after the last target of a service had it.
// It exceeds the duration of a stream.
const versionMemory = 30 * time.Second

// listMaxAge is the largest age of the list of targets at which it shows all versions.
// A daemon that is cut off from the store sees no new ones.
const listMaxAge = 5 * time.Second

// serviceVersions holds when targets of a service last had each version.
type serviceVersions struct {
	lastListed map[string]msg.Time
	// since is when the first list with the service was read. Versions from before it
	// are not known.
	since msg.Time
}

// recordVersions records the versions that the targets of all services have now.
func (s *stepContext) recordVersions() {
	for id, list := range s.services {
		v := s.versions[id]
		if v == nil {
			v = &serviceVersions{lastListed: make(map[string]msg.Time), since: s.now}
			s.versions[id] = v
		}
		for _, t := range list {
			v.lastListed[t.Version] = s.now
		}
	}
}

// recent returns the versions that targets of the service have had within
// versionMemory.
func (v *serviceVersions) recent(now msg.Time) []string {
	maps.DeleteFunc(v.lastListed, func(_ string, at msg.Time) bool { return now-at >= versionMemory })
	return slices.Sorted(maps.Keys(v.lastListed))
}

// settled reports whether the versions of before the first list no longer count.
func (v *serviceVersions) settled(now msg.Time) bool { return now-v.since >= versionMemory }

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

// fitsOrigin reports whether a target may continue the request's stream.
func (r *request) fitsOrigin(t *target) bool { return r.origin == nil || t.Version == *r.origin }

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
		return nil, false
	}
	recent := s.recentVersions(r.service)
	if len(recent) != 1 {
		return finalRefusal("unknown-version"), false
	}
	r.origin = &recent[0]
	return nil, false
}

// findOrigin looks for the version at which a resumed stream began.
func (s *stepContext) findOrigin(r *request) (string, streamorigin.State) {
	if r.arrival.Resumes == "" || s.alwaysOneVersion(r.service) {
		return "", streamorigin.Unknown
	}
	version, state, effects := s.origins.Find(s.now, r.stream())
	s.effects = append(s.effects, effects...)
	return version, state
}

// originPending reports whether a held request still waits for the origin of its stream.
func (s *stepContext) originPending(r *request) bool {
	if r.origin != nil || !r.resumesStream() {
		return false
	}
	_, state := s.findOrigin(r)
	return state == streamorigin.Pending
}

func (s *stepContext) recentVersions(id msg.ServiceID) []string {
	v := s.versions[id]
	if v == nil {
		return nil
	}
	for _, t := range s.services[id] {
		v.lastListed[t.Version] = s.now
	}
	return v.recent(s.now)
}

// alwaysOneVersion reports whether all streams of a service that callers may still
// resume began at the same version.
func (s *stepContext) alwaysOneVersion(id msg.ServiceID) bool {
	fresh := s.now-s.listedAt < listMaxAge
	return fresh && len(s.recentVersions(id)) == 1 && s.versions[id].settled(s.now)
}
