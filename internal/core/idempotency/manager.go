// Package idempotency is the part of an entry's reducer that makes a non-idempotent
// request run at most once.
//
// Before the first attempt of such a request, a claim on its idempotency key
// is committed to the platform. Claims are spread over [Shards] ledger
// objects by the hash of account, route and key. Each object has one
// conditional write in flight at a time, which carries all claims and
// completions that have queued up meanwhile (group commit).
//
// A claim is granted only after the write that holds it took effect. A request
// whose claim is not settled in time is told that nothing ran; if its write
// takes effect later, the record is released by its holder, and until then it
// only blocks resends.
package idempotency

import (
	"fmt"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// Shards is the number of ledger objects. A key is found by this number,
	// so it is fixed for the life of a deployment.
	Shards = 32

	claimTimeout = 2 * time.Second
	// endingDelay is how long a completion may wait for a write that claims
	// need anyway.
	endingDelay = 200 * time.Millisecond
	retryMin    = 50 * time.Millisecond
	retryMax    = 2 * time.Second
	maxQueued   = 4096
	logPart     = "claim"
)

// Mutation switches a safeguard off. Only the proof of the safeguards uses it.
type Mutation uint8

// Mutations.
const (
	// MutateNothing keeps all safeguards.
	MutateNothing Mutation = iota
	// MutateGrantEarly grants a claim before its write took effect.
	MutateGrantEarly
	// MutateIgnoreRecords grants a claim that an earlier request holds.
	MutateIgnoreRecords
	// MutateReleaseUnknown releases claims of requests that may have run.
	MutateReleaseUnknown
)

// Config configures the part.
type Config struct {
	Mutation Mutation
}

// Manager keeps the claims of one entry.
type Manager struct {
	cfg    Config
	self   holder
	wall   time.Time
	store  *store.Client
	shards [Shards]*shard
	// held has the claims of this process that are not yet completed at the
	// platform.
	held    map[msg.RequestID]*claim
	byKey   map[keyID]*claim
	entries map[msg.HostID]bool
	counts  Counts
}

// Counts are totals since the process started.
type Counts struct {
	Granted     uint64 `json:"granted"`
	Refused     uint64 `json:"refused"`
	Unavailable uint64 `json:"unavailable"`
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Conflicts   uint64 `json:"conflicts"`
}

// Status is what operators see of the claims.
type Status struct {
	Queued int    `json:"queued"`
	Held   int    `json:"held"`
	Counts Counts `json:"counts"`
}

// phase is how far a claim of this process has come.
type phase uint8

const (
	// phaseQueued waits for a write.
	phaseQueued phase = iota
	// phaseWriting is in the write in flight.
	phaseWriting
	// phaseGranted may run.
	phaseGranted
	// phaseEnding waits for its completion to be written.
	phaseEnding
)

// claim is a claim that this process makes or holds.
type claim struct {
	want     msg.ClaimRequested
	key      keyID
	mark     fingerprint
	body     string
	phase    phase
	deadline msg.Time
	// reread is set once the ledger was read after the claim was queued.
	reread bool
	// settled is set once the request was told.
	settled bool
	ending  *ending
}

// ending is a completion that has to be written.
type ending struct {
	state   state
	release bool
	answer  *msg.StoredResponse
	// due is when it is written even without a claim to go with.
	due msg.Time
	// fence is the version that the ledger must have left before a record that
	// is not there can no longer appear.
	fence msg.Version
}

// New returns the part.
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg, held: make(map[msg.RequestID]*claim), byKey: make(map[keyID]*claim)}
	for i := range m.shards {
		m.shards[i] = newShard(uint64(i))
	}
	return m
}

// Step takes one event.
func (m *Manager) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		return m.start(now, started)
	}
	if m.store == nil {
		return nil
	}
	results, effs := m.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, m.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Tick:
		m.wall = ev.Wall
		effs = append(effs, m.onTick(now)...)
	case msg.MembersChanged:
		m.onMembers(ev)
	case msg.ClaimRequested:
		effs = append(effs, m.onWanted(now, ev)...)
	case msg.RequestEnded:
		effs = append(effs, m.onEnded(now, ev)...)
	}
	return effs
}

// Status returns the part's state for operators.
func (m *Manager) Status(msg.Time) Status {
	st := Status{Held: len(m.held), Counts: m.counts}
	for _, s := range m.shards {
		st.Queued += len(s.queue)
	}
	return st
}

// Idle reports whether no claim of this process waits for the platform.
func (m *Manager) Idle() bool { return len(m.held) == 0 }

// start reads every ledger, so that claims of earlier processes of this host
// are marked as lost and the first request finds the ledger at hand.
func (m *Manager) start(now msg.Time, ev msg.Started) []msg.Effect {
	m.self = holder{Host: ev.Self.Host, Incarnation: ev.Incarnation}
	m.wall = ev.Wall
	m.store = store.New(store.ComponentClaim, string(m.self.Host)+"/"+string(m.self.Incarnation))
	var effs []msg.Effect
	for _, s := range m.shards {
		s.wantRead = true
		effs = append(effs, m.advance(now, s)...)
	}
	return effs
}

func (m *Manager) onMembers(ev msg.MembersChanged) {
	m.entries = make(map[msg.HostID]bool, len(ev.Entries))
	for _, h := range ev.Entries {
		m.entries[h.Host] = true
	}
}

func (m *Manager) onWanted(now msg.Time, w msg.ClaimRequested) []msg.Effect {
	key, mark := newKeyID(w)
	c := &claim{want: w, key: key, mark: mark, body: bodyID(w.Body), deadline: now + claimTimeout}
	if at, ok := keyTime(w.Key); ok && m.wall.Sub(at) > expiredRetention {
		return m.settle(c, msg.ClaimExpired, nil)
	}
	s := m.shardOf(c)
	if len(s.queue) >= maxQueued {
		return m.settle(c, msg.ClaimUnavailable, nil)
	}
	m.held[w.Req] = c
	s.queue = append(s.queue, c)
	if m.cfg.Mutation == MutateGrantEarly {
		return append(m.settle(c, msg.ClaimGranted, nil), m.advance(now, s)...)
	}
	return m.advance(now, s)
}

func (m *Manager) onEnded(now msg.Time, ev msg.RequestEnded) []msg.Effect {
	c := m.held[ev.Req]
	if c == nil || c.ending != nil {
		return nil
	}
	s := m.shardOf(c)
	c.settled = true
	if c.phase == phaseQueued {
		s.remove(c)
		m.forget(c)
		return nil
	}
	c.ending = m.endingOf(ev)
	if !c.ending.release {
		c.ending.due = now + endingDelay
	}
	if c.phase == phaseWriting {
		return nil
	}
	c.phase = phaseEnding
	s.endings = append(s.endings, c)
	return m.advance(now, s)
}

func (m *Manager) endingOf(ev msg.RequestEnded) *ending {
	switch ev.Outcome {
	case msg.OutcomeNotRun:
		return &ending{release: true}
	case msg.OutcomeRun:
		return &ending{state: stateDone, answer: boundedAnswer(ev.Response)}
	}
	if m.cfg.Mutation == MutateReleaseUnknown {
		return &ending{release: true}
	}
	return &ending{state: stateUnknown}
}

// boundedAnswer returns the answer if it is small enough to be kept.
func boundedAnswer(a *msg.StoredResponse) *msg.StoredResponse {
	if a == nil || len(a.Body)+len(a.ContentType) > maxAnswerBytes {
		return nil
	}
	return a
}

func (m *Manager) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, s := range m.shards {
		effs = append(effs, m.expireQueued(now, s)...)
		effs = append(effs, m.advance(now, s)...)
	}
	return effs
}

// expireQueued settles the claims whose time is up. A claim that is not yet in
// a write is forgotten; one in a write is released once the write is settled.
func (m *Manager) expireQueued(now msg.Time, s *shard) []msg.Effect {
	var effs []msg.Effect
	keep := s.queue[:0]
	for _, c := range s.queue {
		if now < c.deadline {
			keep = append(keep, c)
			continue
		}
		status, answer := m.lastKnown(s, c)
		effs = append(effs, m.settle(c, status, answer)...)
		m.forget(c)
	}
	s.queue = keep
	for _, c := range s.writing {
		if now >= c.deadline && !c.settled {
			effs = append(effs, m.settle(c, msg.ClaimUnavailable, nil)...)
			c.ending = &ending{release: true}
		}
	}
	return effs
}

// lastKnown is the status of a claim that could not be made in time. A key that
// was in use when the ledger was last seen may belong to a request that ran.
func (m *Manager) lastKnown(s *shard, c *claim) (msg.ClaimStatus, *msg.StoredResponse) {
	r, found := s.ledger.records[c.key]
	switch {
	case !found:
		return msg.ClaimUnavailable, nil
	case r.Body != c.body:
		return msg.ClaimMismatch, nil
	case r.State == stateDone:
		return msg.ClaimDone, r.Answer
	}
	return msg.ClaimUnknown, nil
}

// settle tells the request what became of its claim, once.
func (m *Manager) settle(c *claim, status msg.ClaimStatus, answer *msg.StoredResponse) []msg.Effect {
	if c.settled {
		return nil
	}
	c.settled = true
	m.count(status)
	effs := []msg.Effect{msg.Raise{Event: msg.ClaimSettled{Req: c.want.Req, Status: status, Response: answer}}}
	if status == msg.ClaimUnavailable {
		effs = append(effs, logLine(msg.LogWarn, "no claim could be made in time", c))
	}
	return effs
}

func (m *Manager) count(status msg.ClaimStatus) {
	switch status {
	case msg.ClaimGranted:
		m.counts.Granted++
	case msg.ClaimUnavailable:
		m.counts.Unavailable++
	default:
		m.counts.Refused++
	}
}

// forget drops a claim that has nothing left to be written.
func (m *Manager) forget(c *claim) {
	if m.held[c.want.Req] == c {
		delete(m.held, c.want.Req)
	}
	if m.byKey[c.key] == c {
		delete(m.byKey, c.key)
	}
}

func (m *Manager) shardOf(c *claim) *shard { return m.shards[c.mark%Shards] }

// lost reports whether a claim's holder is known to be gone.
func (m *Manager) lost(r record) bool {
	if r.Holder.Host == m.self.Host {
		return r.Holder != m.self || m.held[r.Req] == nil
	}
	return m.entries != nil && !m.entries[r.Holder.Host]
}

func logLine(level msg.LogLevel, text string, c *claim) msg.LogLine {
	return msg.LogLine{Component: logPart, Level: level, Text: text, Attrs: []msg.Attr{
		{Key: "request", Value: string(c.want.Req)},
		{Key: "account", Value: string(c.want.Account)},
		{Key: "shard", Value: strconv.Itoa(int(c.mark % Shards))},
	}}
}

func objectName(shard uint64) string { return fmt.Sprintf("claims/%03d", shard) }
