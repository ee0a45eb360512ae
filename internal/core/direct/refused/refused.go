// Package refused remembers the requests that the entry daemons have refused and whose
// callers may come back, so that a request that comes again is known not to be new.
//
// It answers a lasting overload, in which many callers come back as they were told. The
// objective of a request counts from the time at which its caller first asked. A daemon
// that takes it for a new one expects its answer in time, and lets it take the place of
// one that still can be. Callers come back to any daemon, so each tells the others what it
// has refused, with its next digest. A message that is lost, or a daemon that has just
// started, makes a request look new, which is what it was before.
package refused

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxRequests is the largest number of requests that are remembered. Further ones are not.
const maxRequests = 20_000

// maxTime limits the times in messages, so that they do not overflow.
const maxTime = time.Hour

// Memory holds refused requests by their fingerprints. It is not safe for concurrent use.
type Memory struct {
	requests map[uint64]request
	// unsent lists the requests that the other daemons have not been told.
	unsent []uint64
}

// request is a refused request. Its caller first asked at askedAt and may come back up to
// until.
type request struct{ askedAt, until msg.Time }

// New returns a memory without requests.
func New() *Memory { return &Memory{requests: make(map[uint64]request)} }

// Add remembers a request that this daemon has refused.
func (m *Memory) Add(now msg.Time, fingerprint uint64, askedAt, until msg.Time) {
	if m.add(now, fingerprint, request{askedAt, until}) {
		m.unsent = append(m.unsent, fingerprint)
	}
}

func (m *Memory) add(now msg.Time, fingerprint uint64, r request) bool {
	_, known := m.requests[fingerprint]
	if r.until <= now || !known && len(m.requests) >= maxRequests {
		return false
	}
	m.requests[fingerprint] = r
	return true
}

// AskedAt returns when the caller of a request first asked, if the request was refused
// before.
func (m *Memory) AskedAt(now msg.Time, fingerprint uint64) (msg.Time, bool) {
	r, ok := m.requests[fingerprint]
	return r.askedAt, ok && now < r.until
}

// Remove forgets a request that has been answered.
func (m *Memory) Remove(fingerprint uint64) { delete(m.requests, fingerprint) }

// Unsent returns requests that this daemon has refused since the last call, at most limit.
// The rest is returned by later calls.
func (m *Memory) Unsent(now msg.Time, limit int) []msg.RefusedRequest {
	batch := m.unsent[:min(len(m.unsent), limit)]
	m.unsent = slices.Clone(m.unsent[len(batch):])
	var list []msg.RefusedRequest
	for _, id := range batch {
		if r, ok := m.requests[id]; ok && now < r.until {
			list = append(list, msg.RefusedRequest{Fingerprint: id, AskedMS: (now - r.askedAt).Milliseconds(), LeftMS: (r.until - now).Milliseconds()})
		}
	}
	return list
}

// Merge remembers requests that another daemon has refused. Of two times at which a caller
// may have first asked, the earlier one holds.
func (m *Memory) Merge(now msg.Time, list []msg.RefusedRequest) {
	for _, in := range list {
		r := request{now - fromMS(in.AskedMS), now + fromMS(in.LeftMS)}
		if old, ok := m.requests[in.Fingerprint]; ok && now < old.until {
			r.askedAt, r.until = min(r.askedAt, old.askedAt), max(r.until, old.until)
		}
		m.add(now, in.Fingerprint, r)
	}
}

func fromMS(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxTime.Milliseconds())) * time.Millisecond
}

// Advance forgets the requests whose callers no longer come back.
func (m *Memory) Advance(now msg.Time) {
	maps.DeleteFunc(m.requests, func(_ uint64, r request) bool { return now >= r.until })
}
