package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

func newAccount(id msg.AccountID, weight float64) Account { return Account{ID: id, Weight: weight} }

// pushN queues n requests of an account, and returns the first refusal.
func pushN(q *Queue, now msg.Time, a Account, n int, class msg.Class) *Refusal {
	for i := range n {
		it := &Item{Req: msg.RequestID(fmt.Sprintf("%s%d", a.ID, i)), Class: class, Tokens: 1000, StartBy: now + time.Hour}
		if ref, _ := q.Push(now, a, it); ref != nil {
			return ref
		}
	}
	return nil
}

// serveN begins up to n requests, and returns the number for each account.
func serveN(q *Queue, now msg.Time, n int) map[msg.AccountID]int {
	got := make(map[msg.AccountID]int)
	for range n {
		heads := q.Heads(now, 1)
		if len(heads) == 0 {
			break
		}
		got[heads[0].account.id]++
		q.Begin(heads[0])
	}
	return got
}

func TestServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	pushN(q, 0, newAccount("a", 1), 400, msg.ClassOrdinary)
	pushN(q, 0, newAccount("b", 3), 400, msg.ClassOrdinary)
	got := serveN(q, 0, 200)
	is.True(got["b"] >= 145 && got["b"] <= 155)
}

// An account with a flood of requests delays the requests of another account by
// at most a second of the other account's service, whatever the classes.
func TestFloodDoesNotDelayOtherAccounts(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	pushN(q, 0, newAccount("flood", 1), 1000, msg.ClassUrgent)
	serveN(q, 0, 100)
	pushN(q, 0, newAccount("small", 1), 1, msg.ClassMayWait)
	is.Equal(serveN(q, 0, 15)["small"], 1)
	pushN(q, 0, newAccount("small", 1), 20, msg.ClassMayWait)
	is.True(serveN(q, 0, 10)["small"] >= 5) // half of the service is its fair share
}

func TestUrgentComesFirstWithinShare(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	pushN(q, 0, newAccount("a", 1), 1, msg.ClassMayWait)
	pushN(q, 0, newAccount("b", 1), 1, msg.ClassUrgent)
	is.Equal(serveN(q, 0, 1)["b"], 1)
}

// An account gains no credit while it is idle: afterwards it does not displace
// the account that was active meanwhile.
func TestIdleAccountAccumulatesNoCredit(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	pushN(q, 0, newAccount("a", 1), 500, msg.ClassOrdinary)
	serveN(q, 0, 200)
	pushN(q, 0, newAccount("b", 1), 500, msg.ClassOrdinary)
	got := serveN(q, 0, 100)
	is.True(got["a"] >= 35)
}

// Service that an account received through other entries is charged here too.
func TestRemoteServiceIsCharged(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.ApplyRemote(0, "a", 1, []float32{10_000, 0})
	pushN(q, 0, newAccount("a", 1), 100, msg.ClassOrdinary)
	pushN(q, 0, newAccount("b", 1), 100, msg.ClassOrdinary)
	got := serveN(q, 4*time.Second, 40)
	is.True(got["b"] > 3*got["a"])
}

func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := newAccount("a", 1)
	pushN(q, 0, a, 100, msg.ClassOrdinary)
	now := 2 * time.Second
	serveN(q, now, 4) // 2000 tokens per second, with 96,000 waiting
	ref, _ := q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 1000, StartBy: now + 40*time.Second})
	is.Equal(ref.Reason, ReasonDeadline)
	is.Equal(ref.RetryAfter, maxRetryAfter)
	ref, _ = q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 1000, StartBy: now + 60*time.Second})
	is.Equal(ref, nil)
	ref, _ = q.Push(now, a, &Item{Class: msg.ClassUrgent, Tokens: 1000, StartBy: now + time.Second})
	is.Equal(ref, nil) // served before the waiting requests of its account
}

// A low rate that is due to few requests must not make a later request look as
// if it could not be served in time.
func TestQuietAccountIsNotRefused(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := newAccount("a", 1)
	pushN(q, 0, a, 1, msg.ClassOrdinary)
	serveN(q, 0, 1)
	now := 5 * time.Second
	for range 3 { // no target is free meanwhile
		ref, _ := q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 4000, StartBy: now + 2*time.Second})
		is.Equal(ref, nil)
	}
}

func TestQueueIsBoundedUnderFlood(t *testing.T) {
	is := is.New(t)
	q := New(Config{Queued: 100, AccountQueued: 1000})
	ref := pushN(q, 0, newAccount("flood", 1), 500, msg.ClassOrdinary)
	is.Equal(ref.Reason, ReasonQueueFull)
	is.Equal(q.Len(), 100)
	it := &Item{Req: "s", Tokens: 1, StartBy: time.Hour}
	ref, evicted := q.Push(0, newAccount("small", 1), it)
	is.Equal(ref, nil)
	is.Equal(len(evicted), 1)
	is.Equal(evicted[0].Req, msg.RequestID("flood99"))
	is.Equal(q.Len(), 100)
}

func TestManifestLimitsAreEnforced(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := Account{ID: "a", Weight: 1, Limits: manifest.Limits{Concurrent: 2, Queued: 5, TokensPerSecond: 1000}}
	is.Equal(pushN(q, 0, a, 6, msg.ClassOrdinary).Reason, ReasonAccountFull)
	is.Equal(serveN(q, 0, 5)["a"], 2) // the limit of concurrent requests
	q.End("a", 0)
	is.Equal(serveN(q, 0, 5)["a"], 1)
	is.Equal(pushN(q, 0, a, 1, msg.ClassOrdinary).Reason, ReasonTokenLimit)
	is.Equal(pushN(q, 4*time.Second, a, 1, msg.ClassOrdinary), nil)
}
