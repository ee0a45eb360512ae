package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// syncInterval is the time between two digests that an entry daemon sends, each to
	// one other daemon.
	syncInterval = 500 * time.Millisecond
	// fastSyncInterval replaces syncInterval for fastSyncTime after a daemon has learnt
	// of a record, or of a daemon that holds others, so that each record reaches all
	// soon.
	fastSyncInterval = 100 * time.Millisecond
	fastSyncTime     = 3 * time.Second
	// bucketCount is the number of buckets into which histories are divided by their
	// fingerprints, so that one missing record does not cause all to be sent.
	bucketCount = 8
	// maxRecordsPerNotice and maxNoticesPerSync limit what is sent after one digest,
	// because small hosts have a link of 10 Mbit/s.
	maxRecordsPerNotice = 250
	maxNoticesPerSync   = 4
	// minTimeLeft is the least time for which a record must still count to be
	// compared. Daemons drop it at slightly different times.
	minTimeLeft = 5 * time.Second
)

// syncState is the state of the comparison with other entry daemons.
type syncState struct {
	nextSyncAt msg.Time
	// stale is set when there may be records that some daemon lacks, and fastUntil ends
	// the faster comparison that follows.
	stale     bool
	fastUntil msg.Time
	// round selects the daemon to which the next digest is sent, and offset the first
	// record of the next answer.
	round, offset int
}

// timeLeft returns how much longer a record counted when it was sent.
func timeLeft(s msg.CrashRecord) time.Duration {
	if s.LeftMS <= 0 {
		return Retention
	}
	return min(time.Duration(s.LeftMS)*time.Millisecond, Retention)
}

// sync sends a digest to the next entry daemon if one is due.
func (t *Tracker) sync(now msg.Time) []msg.Effect {
	if t.stale {
		t.stale = false
		t.fastUntil = now + fastSyncTime
		t.nextSyncAt = min(t.nextSyncAt, now)
	}
	if now < t.nextSyncAt {
		return nil
	}
	t.nextSyncAt = now + syncInterval
	if now < t.fastUntil {
		t.nextSyncAt = now + fastSyncInterval
	}
	others := slices.DeleteFunc(slices.Clone(t.entries), func(h msg.Host) bool { return h.Host == t.self })
	if len(others) == 0 {
		return nil
	}
	// Each daemon begins with its successor, so that they don't all ask the same one.
	first := slices.IndexFunc(others, func(h msg.Host) bool { return h.Host > t.self })
	to := others[(max(first, 0)+t.round)%len(others)]
	t.round++
	return []msg.Effect{msg.SendPeer{To: to.Host, Message: msg.CrashDigest{Buckets: t.buckets(now)}}}
}

// onDigest sends the records that the sender of a digest may lack, and asks for those
// that it may have.
func (t *Tracker) onDigest(now msg.Time, from msg.HostID, d msg.CrashDigest) []msg.Effect {
	if len(d.Buckets) != bucketCount {
		return nil
	}
	own := t.buckets(now)
	if slices.Equal(own, d.Buckets) {
		return nil
	}
	t.stale = true
	var effects []msg.Effect
	for _, n := range t.notices(now, func(h *crashHistory) bool { return own[h.bucket()] != d.Buckets[h.bucket()] }) {
		effects = append(effects, msg.SendPeer{To: from, Message: n})
	}
	if !d.Reply {
		effects = append(effects, msg.SendPeer{To: from, Message: msg.CrashDigest{Buckets: own, Reply: true}})
	}
	return effects
}

// buckets returns the hashes of a digest.
func (t *Tracker) buckets(now msg.Time) []uint64 {
	out := make([]uint64, bucketCount)
	for _, h := range t.histories {
		if h.expires-now < minTimeLeft {
			continue
		}
		b := h.bucket()
		for _, c := range h.lasting(now) {
			out[b] ^= recordHash(h.fingerprint, c.id, 'c')
		}
		for _, id := range h.cleared {
			out[b] ^= recordHash(h.fingerprint, id, 'd')
		}
	}
	return out
}

// recordHash returns the hash of a crash ('c') or of its clearance ('d').
func recordHash(fingerprint uint64, id msg.CrashID, kind byte) uint64 {
	d := xxhash.NewWithSeed(fingerprint)
	_, _ = d.WriteString(string(id))
	_, _ = d.Write([]byte{0, kind})
	return d.Sum64()
}

// notices returns the records of the wanted histories. If there are too many, later calls
// return the others.
func (t *Tracker) notices(now msg.Time, wanted func(*crashHistory) bool) []msg.CrashNotice {
	list := t.historiesOf(now, wanted)
	if len(list) == 0 {
		return nil
	}
	start := t.offset % len(list)
	var out []msg.CrashNotice
	var n msg.CrashNotice
	for i := range list {
		t.offset++
		n = appendHistory(n, now, list[(start+i)%len(list)])
		if len(n.Crashes)+len(n.Cleared) < maxRecordsPerNotice {
			continue
		}
		out = append(out, n)
		n = msg.CrashNotice{}
		if len(out) == maxNoticesPerSync {
			return out
		}
	}
	return append(out, n)
}

// split divides a notice into some of at most maxRecordsPerNotice records.
func split(n msg.CrashNotice) []msg.CrashNotice {
	var parts []msg.CrashNotice
	for chunk := range slices.Chunk(n.Crashes, maxRecordsPerNotice) {
		parts = append(parts, msg.CrashNotice{Crashes: chunk})
	}
	for chunk := range slices.Chunk(n.Cleared, maxRecordsPerNotice) {
		parts = append(parts, msg.CrashNotice{Cleared: chunk})
	}
	return parts
}

// historiesOf returns the wanted histories that still count, ordered by fingerprint.
func (t *Tracker) historiesOf(now msg.Time, wanted func(*crashHistory) bool) []*crashHistory {
	var list []*crashHistory
	for _, h := range t.histories {
		if h.expires-now >= minTimeLeft && wanted(h) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, compareFingerprints)
	return list
}

// appendHistory adds the records of a history to a notice. Crashes that were cleared
// count no more, but are sent as well, since daemons compare both.
func appendHistory(n msg.CrashNotice, now msg.Time, h *crashHistory) msg.CrashNotice {
	for _, c := range h.lasting(now) {
		n.Crashes = append(n.Crashes, msg.CrashRecord{
			Fingerprint: h.fingerprint, ID: c.id, Segment: h.segment,
			LeftMS: (c.at + Retention - now).Milliseconds(), RanMS: (c.at - c.sentAt).Milliseconds(),
		})
	}
	for _, id := range h.cleared {
		n.Cleared = append(n.Cleared, msg.CrashRecord{
			Fingerprint: h.fingerprint, ID: id, Segment: h.segment, LeftMS: (h.expires - now).Milliseconds(),
		})
	}
	return n
}
