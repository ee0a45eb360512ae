package streamorigin

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// record is the stored value.
type record map[msg.ServiceID]serviceRecord

// serviceRecord lists the versions at which streams of a service may have begun, in
// order.
type serviceRecord struct {
	Versions []string `json:"versions"`
	Complete bool     `json:"complete,omitempty"`
}

// serviceVersion is a software version of a service.
type serviceVersion struct {
	service msg.ServiceID
	version string
}

// setRecord replaces the record, and notes since when its content is known.
func (h *History) setRecord(now msg.Time, rec record, version msg.Version) {
	h.record, h.version = rec, version
	clear(h.confirmed)
	for id, r := range rec {
		for _, v := range r.Versions {
			h.confirmed[serviceVersion{id, v}] = true
			noteSince(h.knownSince, serviceVersion{id, v}, now)
		}
		if !r.Complete {
			noteSince(h.incompleteSince, id, now)
		}
	}
	maps.DeleteFunc(h.knownSince, func(v serviceVersion, _ msg.Time) bool { return !h.confirmed[v] })
	maps.DeleteFunc(h.incompleteSince, func(id msg.ServiceID, _ msg.Time) bool {
		r, ok := rec[id]
		return !ok || r.Complete
	})
}

// noteSince notes the time of a fact that was not known before.
func noteSince[K comparable](since map[K]msg.Time, key K, now msg.Time) {
	if _, ok := since[key]; !ok {
		since[key] = now
	}
}

// dropUnlisted drops the confirmation of versions that no target has had for half of the
// time after which other daemons remove them from the record.
func (h *History) dropUnlisted(now msg.Time) {
	maps.DeleteFunc(h.confirmed, func(f serviceVersion, _ bool) bool {
		h.recent(now, f.service)
		return now-max(h.listed[f.service][f.version], h.knownSince[f]) >= h.lifetimes[f.service]/2
	})
}

// lacksConfirmation reports whether targets have a version that the known record holds, but
// that is not confirmed.
func (h *History) lacksConfirmation() bool {
	for id, r := range h.record {
		for _, v := range h.listedNow[id] {
			if slices.Contains(r.Versions, v) && !h.confirmed[serviceVersion{id, v}] {
				return true
			}
		}
	}
	return false
}

// wanted returns the record as it should be, or nil if it is that already.
func (h *History) wanted(now msg.Time) record {
	next := make(record, len(h.lifetimes))
	changed := false
	for id := range h.lifetimes {
		r, ok := h.record[id]
		if !ok && len(h.recent(now, id)) == 0 {
			continue
		}
		next[id] = h.wantedService(now, id)
		changed = changed || !ok || r.Complete != next[id].Complete || !slices.Equal(r.Versions, next[id].Versions)
	}
	if !changed {
		return nil
	}
	return next
}

// wantedService returns the record of a service as it should be: with the versions that are
// listed or were lately, and without those that have been gone for the lifetime of streams.
func (h *History) wantedService(now msg.Time, id msg.ServiceID) serviceRecord {
	old, ok := h.record[id]
	versions := h.recent(now, id)
	for _, v := range old.Versions {
		if now-h.knownSince[serviceVersion{id, v}] < h.lifetimes[id] {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	complete := old.Complete || ok && now-h.incompleteSince[id] >= h.lifetimes[id]
	return serviceRecord{Versions: slices.Compact(versions), Complete: complete}
}
