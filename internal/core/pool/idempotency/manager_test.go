package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var testWall = time.Date(2026, 1, 10, 0, 0, 0, 0, time.UTC)

// node is one entry daemon with a Manager. Calls to the platform return at once,
// unless intercept returns true: then its event is the result, or there is no
// result if the event is nil.
type node struct {
	manager   *Manager
	objects   *coretest.Objects
	now       msg.Time
	wall      time.Time
	settled   map[msg.RequestID]msg.ClaimSettled
	intercept func(msg.Effect) (msg.Event, bool)
}

func newNode(objects *coretest.Objects, host, incarnation string) *node {
	n := &node{manager: New(Config{}), objects: objects, wall: testWall, settled: make(map[msg.RequestID]msg.ClaimSettled)}
	n.step(msg.Started{Self: msg.Self{Host: msg.HostID(host)}, Incarnation: msg.Incarnation(incarnation), Wall: testWall})
	return n
}

func (n *node) step(ev msg.Event) {
	queue := []msg.Event{ev}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, eff := range n.manager.Step(n.now, queue[0]) {
			if done, ok := n.execute(eff); ok {
				queue = append(queue, done)
			}
		}
	}
}

func (n *node) execute(eff msg.Effect) (msg.Event, bool) {
	if raise, ok := eff.(msg.Raise); ok {
		if s, ok := raise.Event.(msg.ClaimSettled); ok {
			n.settled[s.Req] = s
		}
		return nil, false
	}
	if n.intercept != nil {
		if ev, ok := n.intercept(eff); ok {
			return ev, ev != nil
		}
	}
	return n.objects.Do(eff)
}

func (n *node) advance(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.now += msg.TickInterval
		n.wall = n.wall.Add(msg.TickInterval)
		n.step(msg.Tick{Wall: n.wall})
	}
}

func (n *node) claim(req, key string, body byte) msg.ClaimSettled {
	n.step(msg.ClaimRequested{Req: msg.RequestID(req), Account: "a", Route: "r", Key: key, Body: msg.BodyHash{body}})
	return n.settled[msg.RequestID(req)]
}

func (n *node) end(req string, o msg.Outcome, response *msg.StoredResponse) {
	n.step(msg.RequestEnded{Req: msg.RequestID(req), Account: "a", Outcome: o, Response: response})
}

// disconnect makes the platform unreachable: calls fail without effect.
func (n *node) disconnect() {
	n.intercept = func(eff msg.Effect) (msg.Event, bool) { return coretest.Failed(eff, msg.CallUnavailable) }
}

func TestResendFindsExistingClaim(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a, b := newNode(objects, "a", "1"), newNode(objects, "b", "1")

	is.Equal(a.claim("r1", "k", 1).Status, msg.ClaimGranted)
	is.Equal(a.claim("r2", "k", 1).Status, msg.ClaimRunning)
	is.Equal(b.claim("r3", "k", 1).Status, msg.ClaimRunning)
	is.Equal(b.claim("r4", "k", 2).Status, msg.ClaimMismatch)

	a.end("r1", msg.OutcomeRun, &msg.StoredResponse{Status: 201, Body: []byte("ok")})
	a.advance(2 * completionDelay)
	got := b.claim("r5", "k", 1)
	is.Equal(got.Status, msg.ClaimDone)
	is.Equal(string(got.Response.Body), "ok")
	is.Equal(b.claim("r6", "k", 2).Status, msg.ClaimMismatch)
}

func TestClaimIsReleasedIfNotRunAndKeptIfUnknown(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a, b := newNode(objects, "a", "1"), newNode(objects, "b", "1")

	is.Equal(a.claim("r1", "k", 1).Status, msg.ClaimGranted)
	a.end("r1", msg.OutcomeNotRun, nil)
	is.Equal(b.claim("r2", "k", 1).Status, msg.ClaimGranted)
	b.end("r2", msg.OutcomeUnknown, nil)
	b.advance(2 * completionDelay)
	is.Equal(a.claim("r3", "k", 1).Status, msg.ClaimUnknown)
}

func TestClaimOfLostHolderIsUnknown(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a, b := newNode(objects, "a", "1"), newNode(objects, "b", "1")
	is.Equal(a.claim("r1", "k", 1).Status, msg.ClaimGranted)

	b.step(msg.MembersChanged{Entries: []msg.Host{{Host: "b"}}})
	is.Equal(b.claim("r2", "k", 1).Status, msg.ClaimUnknown)

	successor := newNode(objects, "a", "2")
	is.Equal(successor.claim("r3", "k", 1).Status, msg.ClaimUnknown)
}

func TestStoreOutageSettlesClaimsAsUnavailable(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	a.disconnect()
	is.Equal(len(a.settled), 0)
	a.claim("r1", "k", 1)
	a.advance(claimTimeout + msg.TickInterval)
	is.Equal(a.settled["r1"].Status, msg.ClaimUnavailable)

	a.intercept = nil
	a.advance(retryMax)
	is.Equal(a.claim("r2", "k", 1).Status, msg.ClaimGranted)
}

// The result of a write is lost, and the write takes effect after the claim was
// settled as unavailable. The claim has to be released so that the key can be
// used again.
func TestClaimWrittenAfterItsDeadlineIsReleased(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	var late msg.Effect
	a.intercept = func(eff msg.Effect) (msg.Event, bool) {
		if _, ok := eff.(msg.PutObject); ok && late == nil {
			late = eff
			return coretest.Failed(eff, msg.CallUnknown)
		}
		return coretest.Failed(eff, msg.CallUnavailable)
	}
	a.claim("r1", "k", 1)
	a.advance(claimTimeout + msg.TickInterval)
	is.Equal(a.settled["r1"].Status, msg.ClaimUnavailable)
	a.advance(time.Minute)
	_, ok := objects.Do(late)
	is.True(ok)

	a.intercept = nil
	a.advance(2 * retryMax)
	is.Equal(a.manager.Status(a.now).Held, 0)
	b := newNode(objects, "b", "1")
	is.Equal(b.claim("r2", "k", 1).Status, msg.ClaimGranted)
}

// The process is suspended while a claim is being written. The first event after it
// resumes is the unknown result of the write. The claim still gets its result.
func TestClaimIsSettledIfItsWriteStaysUnknown(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	var write msg.Effect
	a.intercept = func(eff msg.Effect) (msg.Event, bool) {
		write = eff
		return nil, true
	}
	a.claim("r1", "k", 1)
	a.now += time.Minute
	result, _ := coretest.Failed(write, msg.CallUnknown)
	a.step(result)
	a.intercept = nil
	a.advance(time.Minute)
	is.Equal(a.settled["r1"].Status, msg.ClaimUnavailable)
	is.Equal(a.manager.Status(a.now).Held, 0)
}

func TestLostResponseToCommitStillGrants(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	lost := false
	a.intercept = func(eff msg.Effect) (msg.Event, bool) {
		if _, ok := eff.(msg.PutObject); ok && !lost {
			lost = true
			objects.Do(eff)
			return coretest.Failed(eff, msg.CallUnknown)
		}
		return nil, false
	}
	a.claim("r1", "k", 1)
	a.advance(time.Second)
	is.Equal(a.settled["r1"].Status, msg.ClaimGranted)
	is.Equal(newNode(objects, "b", "1").claim("r2", "k", 1).Status, msg.ClaimRunning)
}

func TestOneWriteCarriesManyClaims(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	var pending []msg.Event
	a.intercept = func(eff msg.Effect) (msg.Event, bool) {
		ev, ok := objects.Do(eff)
		if ok {
			pending = append(pending, ev)
		}
		return nil, ok
	}
	const claims = 1000
	for i := range claims {
		a.claim(fmt.Sprint("r", i), fmt.Sprint("k", i), 1)
	}
	for len(pending) > 0 {
		ev := pending[0]
		pending = pending[1:]
		a.step(ev)
	}
	is.Equal(a.manager.counts.Granted, uint64(claims))
	is.True(objects.Writes <= 2*Shards) // per shard: one write for the first claim, one for the others
}

func TestExpiredKeyIsReportedAsExpired(t *testing.T) {
	is := is.New(t)
	objects := coretest.NewObjects()
	a := newNode(objects, "a", "1")
	is.Equal(a.claim("r1", "k", 1).Status, msg.ClaimGranted)
	a.end("r1", msg.OutcomeRun, nil)
	a.advance(2 * completionDelay)

	a.wall = a.wall.Add(retention + time.Hour)
	a.advance(msg.TickInterval)
	for i := range Shards { // a write to a shard expires its old claims
		a.claim(fmt.Sprint("x", i), keyOnShard(uint64(i)), 1)
	}
	is.Equal(a.claim("r2", "k", 1).Status, msg.ClaimExpired)
}

func TestOldUUIDv7KeyIsRefused(t *testing.T) {
	is := is.New(t)
	a := newNode(coretest.NewObjects(), "a", "1")
	is.Equal(a.claim("r1", "018bcfe5-6800-7000-8000-000000000001", 1).Status, msg.ClaimExpired) // version 7, created in November 2023
	is.Equal(a.claim("r2", "018bcfe5-6800-4000-8000-000000000001", 1).Status, msg.ClaimGranted) // version 4, contains no time
}

func TestLedgerStaysWithinSizeLimit(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	response := &msg.StoredResponse{Body: make([]byte, maxResponseBytes)}
	for i := range 200 {
		k := keyID(fmt.Sprint(i))
		l.records[k] = record{Key: k, State: stateDone, At: int64(i), Response: response}
	}
	l.shrink()
	is.True(l.size() <= maxLedgerBytes)
	is.Equal(len(l.records), 200)
	is.Equal(l.records["0"].Response, nil)
	is.True(l.records["199"].Response != nil)
}

func keyOnShard(shard uint64) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("shard-", i)
		if _, fp := newKeyID(msg.ClaimRequested{Account: "a", Route: "r", Key: key}); uint64(fp)%Shards == shard {
			return key
		}
	}
}
