// Package idempotency is the reducer component of an entry daemon that makes a
// non-idempotent request run at most once.
//
// Before the first attempt of such a request, a claim on its idempotency key
// is committed to the platform's object API. Claims are distributed over
// [Shards] ledger objects by the hash of account, route and key. Each object
// has at most one conditional write in flight, which carries all claims and
// completions that were queued in the meantime (group commit).
//
// A claim is settled when its result is raised, and completed when the outcome
// of its request is stored. It is granted only after the write that holds it took
// effect. If a claim has no result at its deadline, it is settled by the record
// of an earlier request if the ledger had one when it was last read. Otherwise
// the caller is told that the request did not run. If a write that holds the claim
// takes effect later, the holder of the claim deletes the record; until then the
// record does nothing but block resends.
package idempotency

import (
	"fmt"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// Shards is the number of ledger objects. It determines the object of a
	// key, so it must not change during the life of a deployment.
	Shards = 32

	// claimTimeout bounds the time from ClaimRequested to the result of the claim.
	claimTimeout = 2 * time.Second
	// completionDelay is how long a completion waits for a write that claims
	// need anyway, before it is written on its own.
	completionDelay = 200 * time.Millisecond
	retryMin        = 50 * time.Millisecond
	retryMax        = 2 * time.Second
	// maxQueued bounds the queued claims of one shard.
	maxQueued    = 4096
	logComponent = "claim"
)

// Mutation disables a safeguard. Only the mutation tests set it; they check
// that each disabled safeguard is detected.
type Mutation uint8

// Values of [Mutation].
const (
	// MutateNothing keeps all safeguards.
	MutateNothing Mutation = iota
	// MutateGrantEarly grants a claim before its write took effect.
	MutateGrantEarly
	// MutateIgnoreRecords grants a claim although an earlier request holds one
	// on the same key.
	MutateIgnoreRecords
	// MutateReleaseUnknown releases the claims of requests that may have run.
	MutateReleaseUnknown
)

// Config configures a [Manager].
type Config struct {
	Mutation Mutation
}

// Manager stores and completes the claims of one entry daemon.
type Manager struct {
	cfg    Config
	self   holder
	wall   time.Time
	store  *store.Client
	shards [Shards]*shard
	// held holds the claims of this process, from the time at which they are
	// requested until their completion is stored at the platform.
	held map[msg.RequestID]*claim
	// byKey holds the claims in held that are in the ledger or in a write to it.
	byKey map[keyID]*claim
	// liveEntries holds the reachable entry daemons; nil before the first list.
	liveEntries map[msg.HostID]bool
	counts      Counts
}

// Counts holds totals since the process started.
type Counts struct {
	Granted     uint64 `json:"granted"`
	Refused     uint64 `json:"refused"`
	Unavailable uint64 `json:"unavailable"`
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Conflicts   uint64 `json:"conflicts"`
}

// Status describes the claims to operators.
type Status struct {
	Queued int    `json:"queued"`
	Held   int    `json:"held"`
	Counts Counts `json:"counts"`
}

// phase is the progress of a claim of this process.
type phase uint8

const (
	// phaseQueued means that the claim waits for a write.
	phaseQueued phase = iota
	// phaseWriting means that the write in flight carries the claim.
	phaseWriting
	// phaseGranted means that the claim is stored and its request may run.
	phaseGranted
	// phaseCompleting means that the claim waits for its completion to be
	// written.
	phaseCompleting
)

// claim is a claim of this process that is queued, stored or being completed.
type claim struct {
	request     msg.ClaimRequested
	key         keyID
	fingerprint fingerprint
	bodyID      string
	phase       phase
	deadline    msg.Time
	// reread is set when a read of the ledger starts after the claim was queued.
	reread bool
	// settled is set once the claim's result was raised or its request ended.
	settled bool
	// completion is nil until the request ended or the claim is to be released.
	completion *completion
}

// completion is the change of a claim's record that has to be written at its
// end.
type completion struct {
	state state
	// release deletes the record instead of setting its state.
	release  bool
	response *msg.StoredResponse
	// dueAt is when the completion is written even if no claim needs a write.
	dueAt msg.Time
	// fenceVersion is the version on which a write with an unknown result was
	// conditional. Once the ledger has another version, that write can no
	// longer take effect.
	fenceVersion msg.Version
}

// New returns a manager without claims. It acts after [msg.Started].
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg, held: make(map[msg.RequestID]*claim), byKey: make(map[keyID]*claim)}
	for i := range m.shards {
		m.shards[i] = newShard(uint64(i))
	}
	return m
}

// Step processes one event and returns the effects to carry out.
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
		effs = append(effs, m.onRequested(now, ev)...)
	case msg.RequestEnded:
		effs = append(effs, m.onRequestEnded(now, ev)...)
	}
	return effs
}

// Status returns the state of the claims for operators.
func (m *Manager) Status(msg.Time) Status {
	st := Status{Held: len(m.held), Counts: m.counts}
	for _, s := range m.shards {
		st.Queued += len(s.queue)
	}
	return st
}

// Idle reports whether this process has no claim that is still to be completed
// at the platform.
func (m *Manager) Idle() bool { return len(m.held) == 0 }

// start reads every ledger, so that the claims of earlier processes on this
// host are marked with an unknown outcome and the first request does not wait
// for a read.
func (m *Manager) start(now msg.Time, ev msg.Started) []msg.Effect {
	m.self = holder{Host: ev.Self.Host, Incarnation: ev.Incarnation}
	m.wall = ev.Wall
	m.store = store.New(store.ComponentClaim, string(m.self.Host)+"/"+string(m.self.Incarnation))
	var effs []msg.Effect
	for _, s := range m.shards {
		s.needsRead = true
		effs = append(effs, m.advance(now, s)...)
	}
	return effs
}

func (m *Manager) onMembers(ev msg.MembersChanged) {
	m.liveEntries = make(map[msg.HostID]bool, len(ev.Entries))
	for _, h := range ev.Entries {
		m.liveEntries[h.Host] = true
	}
}

func (m *Manager) onRequested(now msg.Time, req msg.ClaimRequested) []msg.Effect {
	key, fp := newKeyID(req)
	c := &claim{request: req, key: key, fingerprint: fp, bodyID: newBodyID(req.Body), deadline: now + claimTimeout}
	if created, ok := uuidV7Time(req.Key); ok && m.wall.Sub(created) > expiredRetention {
		return m.settle(c, msg.ClaimExpired, nil)
	}
	s := m.shardOf(c)
	if len(s.queue) >= maxQueued {
		return m.settle(c, msg.ClaimUnavailable, nil)
	}
	m.held[req.Req] = c
	s.queue = append(s.queue, c)
	if m.cfg.Mutation == MutateGrantEarly {
		return append(m.settle(c, msg.ClaimGranted, nil), m.advance(now, s)...)
	}
	return m.advance(now, s)
}

func (m *Manager) onRequestEnded(now msg.Time, ev msg.RequestEnded) []msg.Effect {
	c := m.held[ev.Req]
	if c == nil || c.completion != nil {
		return nil
	}
	s := m.shardOf(c)
	c.settled = true
	if c.phase == phaseQueued {
		s.remove(c)
		m.discard(c)
		return nil
	}
	c.completion = m.completionFor(ev)
	if !c.completion.release {
		c.completion.dueAt = now + completionDelay
	}
	if c.phase == phaseWriting {
		return nil
	}
	c.phase = phaseCompleting
	s.completions = append(s.completions, c)
	return m.advance(now, s)
}

func (m *Manager) completionFor(ev msg.RequestEnded) *completion {
	switch ev.Outcome {
	case msg.OutcomeNotRun:
		return &completion{release: true}
	case msg.OutcomeRun:
		return &completion{state: stateDone, response: storableResponse(ev.Response)}
	}
	if m.cfg.Mutation == MutateReleaseUnknown {
		return &completion{release: true}
	}
	return &completion{state: stateUnknown}
}

// storableResponse returns the response, or nil if it is too large to be kept.
func storableResponse(resp *msg.StoredResponse) *msg.StoredResponse {
	if resp == nil || len(resp.Body)+len(resp.ContentType) > maxResponseBytes {
		return nil
	}
	return resp
}

func (m *Manager) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, s := range m.shards {
		effs = append(effs, m.expireQueued(now, s)...)
		effs = append(effs, m.advance(now, s)...)
	}
	return effs
}

// expireQueued settles the claims whose deadline has passed. A claim that is
// not yet in a write is discarded; a claim in a write is released once the
// result of the write is known.
func (m *Manager) expireQueued(now msg.Time, s *shard) []msg.Effect {
	var effs []msg.Effect
	remaining := s.queue[:0]
	for _, c := range s.queue {
		if now < c.deadline {
			remaining = append(remaining, c)
			continue
		}
		status, resp := m.lastKnownStatus(s, c)
		effs = append(effs, m.settle(c, status, resp)...)
		m.discard(c)
	}
	s.queue = remaining
	for _, c := range s.writingClaims {
		if now >= c.deadline && !c.settled {
			effs = append(effs, m.settle(c, msg.ClaimUnavailable, nil)...)
			c.completion = &completion{release: true}
		}
	}
	return effs
}

// lastKnownStatus returns the status of a claim that could not be made before
// its deadline. If the key was in use when the ledger was last read, it may
// belong to a request that ran.
func (m *Manager) lastKnownStatus(s *shard, c *claim) (msg.ClaimStatus, *msg.StoredResponse) {
	r, found := s.ledger.records[c.key]
	switch {
	case !found:
		return msg.ClaimUnavailable, nil
	case r.Body != c.bodyID:
		return msg.ClaimMismatch, nil
	case r.State == stateDone:
		return msg.ClaimDone, r.Response
	}
	return msg.ClaimUnknown, nil
}

// settle raises the result of a claim. Later calls for the same claim do
// nothing.
func (m *Manager) settle(c *claim, status msg.ClaimStatus, resp *msg.StoredResponse) []msg.Effect {
	if c.settled {
		return nil
	}
	c.settled = true
	m.count(status)
	effs := []msg.Effect{msg.Raise{Event: msg.ClaimSettled{Req: c.request.Req, Status: status, Response: resp}}}
	if status == msg.ClaimUnavailable {
		effs = append(effs, logLine(msg.LogWarn, "idempotency key could not be claimed, the request does not run", c))
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

// discard removes a claim for which nothing is left to be written.
func (m *Manager) discard(c *claim) {
	if m.held[c.request.Req] == c {
		delete(m.held, c.request.Req)
	}
	if m.byKey[c.key] == c {
		delete(m.byKey, c.key)
	}
}

func (m *Manager) shardOf(c *claim) *shard { return m.shards[c.fingerprint%Shards] }

// holderGone reports whether the process that holds a claim no longer runs its
// request: it was replaced by another process, its host is not in the list of
// live entry daemons, or it is this process and has no such claim.
func (m *Manager) holderGone(r record) bool {
	if r.Holder.Host == m.self.Host {
		return r.Holder != m.self || m.held[r.Req] == nil
	}
	return m.liveEntries != nil && !m.liveEntries[r.Holder.Host]
}

func logLine(level msg.LogLevel, text string, c *claim) msg.LogLine {
	return msg.LogLine{Component: logComponent, Level: level, Text: text, Attrs: []msg.Attr{
		{Key: "request", Value: string(c.request.Req)},
		{Key: "account", Value: string(c.request.Account)},
		{Key: "shard", Value: strconv.Itoa(int(c.fingerprint % Shards))},
	}}
}

func ledgerName(shard uint64) string { return fmt.Sprintf("claims/%03d", shard) }
