package idempotency

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// retention is how long the record of a claim that is not in stateRunning is
	// kept with its response, counted from its time At.
	retention = time.Hour
	// expiredRetention is how long the fingerprint of an expired claim is kept.
	expiredRetention = 7 * 24 * time.Hour
	// maxRunningAge is the age above which a claim that is still in stateRunning
	// is set to stateUnknown.
	maxRunningAge = time.Hour
	// maxLedgerBytes bounds the encoded size of one ledger object; the
	// platform's limit is 1 MiB.
	maxLedgerBytes = 700 << 10
	// maxResponseBytes bounds the body and content type of a kept response.
	maxResponseBytes = 16 << 10

	// recordBytes is the estimated encoded size of a record without a response.
	recordBytes      = 256
	fingerprintBytes = 8
	secondsPerDay    = 24 * 60 * 60
)

// state is the stored state of a claim.
type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// holder identifies the process that made a claim.
type holder struct {
	Host        msg.HostID      `json:"host"`
	Incarnation msg.Incarnation `json:"incarnation"`
}

// record is the stored form of one claim.
type record struct {
	Key    keyID         `json:"key"`
	Body   string        `json:"body"`
	Holder holder        `json:"holder"`
	Req    msg.RequestID `json:"request"`
	State  state         `json:"state"`
	// At is when the record was made: for the claim, and again for its
	// completion. It is in Unix seconds.
	At       int64               `json:"at"`
	Response *msg.StoredResponse `json:"answer,omitempty"`
}

func (r record) size() int {
	if r.Response == nil {
		return recordBytes
	}
	return recordBytes + base64.StdEncoding.EncodedLen(len(r.Response.Body)) + len(r.Response.ContentType)
}

// ledger is the decoded value of one ledger object.
type ledger struct {
	records map[keyID]record
	// expired holds the day on which a claim expired, in days since 1970.
	expired map[fingerprint]int64
}

// expiredDay is the stored form of the claims that expired on one day.
type expiredDay struct {
	Day  int64  `json:"day"`
	Keys []byte `json:"keys"` // fingerprints, big endian
}

// storedLedger is the stored form of a ledger.
type storedLedger struct {
	Claims  []record     `json:"claims"`
	Expired []expiredDay `json:"expired,omitempty"`
}

func newLedger() *ledger {
	return &ledger{records: make(map[keyID]record), expired: make(map[fingerprint]int64)}
}

func (l *ledger) clone() *ledger {
	return &ledger{records: maps.Clone(l.records), expired: maps.Clone(l.expired)}
}

// encode returns the stored form. Equal ledgers have equal stored forms.
func (l *ledger) encode() storedLedger {
	var s storedLedger
	for _, k := range slices.Sorted(maps.Keys(l.records)) {
		s.Claims = append(s.Claims, l.records[k])
	}
	days := make(map[int64][]byte)
	for _, f := range slices.Sorted(maps.Keys(l.expired)) {
		day := l.expired[f]
		days[day] = binary.BigEndian.AppendUint64(days[day], uint64(f))
	}
	for _, day := range slices.Sorted(maps.Keys(days)) {
		s.Expired = append(s.Expired, expiredDay{Day: day, Keys: days[day]})
	}
	return s
}

func decodeLedger(value []byte) (*ledger, error) {
	var s storedLedger
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	l := newLedger()
	for _, r := range s.Claims {
		l.records[r.Key] = r
	}
	for _, d := range s.Expired {
		for b := d.Keys; len(b) >= fingerprintBytes; b = b[fingerprintBytes:] {
			l.expired[fingerprint(binary.BigEndian.Uint64(b))] = d.Day
		}
	}
	return l, nil
}

// size estimates the encoded size in bytes.
func (l *ledger) size() int {
	n := base64.StdEncoding.EncodedLen(len(l.expired) * fingerprintBytes)
	for _, r := range l.records {
		n += r.size()
	}
	return n
}

// expire replaces records that are not in stateRunning and older than retention
// by their fingerprints, removes fingerprints older than expiredRetention, and
// sets records that have been in stateRunning for longer than maxRunningAge to
// stateUnknown.
func (l *ledger) expire(wall time.Time) {
	now := wall.Unix()
	today := now / secondsPerDay
	for k, r := range l.records {
		age := time.Duration(now-r.At) * time.Second
		switch {
		case r.State == stateRunning && age > maxRunningAge:
			r.State = stateUnknown
			l.records[k] = r
		case r.State != stateRunning && age > retention:
			delete(l.records, k)
			l.expired[k.fingerprint()] = today
		}
	}
	for f, day := range l.expired {
		if time.Duration(today-day)*24*time.Hour > expiredRetention {
			delete(l.expired, f)
		}
	}
}

// shrink removes the oldest kept responses until the ledger is at most
// maxLedgerBytes long. The claims themselves stay.
func (l *ledger) shrink() {
	size := l.size()
	if size <= maxLedgerBytes {
		return
	}
	withResponse := make([]record, 0, len(l.records))
	for _, r := range l.records {
		if r.Response != nil {
			withResponse = append(withResponse, r)
		}
	}
	slices.SortFunc(withResponse, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key, b.Key))
	})
	for _, r := range withResponse {
		size -= r.size() - recordBytes
		r.Response = nil
		l.records[r.Key] = r
		if size <= maxLedgerBytes {
			return
		}
	}
}
