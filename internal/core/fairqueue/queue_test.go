package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

func account1(id msg.AccountID, weight float64) Account { return Account{ID: id, Weight: weight} }

func push(q *Queue, now msg.Time, a Account, n int, class msg.Class) *Refusal {
	for i := range n {
		it := &Item{Req: msg.RequestID(fmt.Sprintf("%s%d", a.ID, i)), Class: class, Tokens: 1000, StartBy: now + time.Hour}
		if ref, _ := q.Push(now, a, it); ref != nil {
			return ref
		}
	}
	return nil
}

// serve begins n requests and returns how many each account got.
func serve(q *Queue, now msg.Time, n int) map[msg.AccountID]int {
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
	push(q, 0, account1("a", 1), 400, msg.ClassOrdinary)
	push(q, 0, account1("b", 3), 400, msg.ClassOrdinary)
	got := serve(q, 0, 200)
	is.True(got["b"] >= 145 && got["b"] <= 155)
}

// An account that floods delays another one's requests for a second of its
// service at most, whatever the classes.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	push(q, 0, account1("flood", 1), 1000, msg.ClassUrgent)
	serve(q, 0, 100)
	push(q, 0, account1("small", 1), 1, msg.ClassMayWait)
	is.Equal(serve(q, 0, 15)["small"], 1)
	push(q, 0, account1("small", 1), 20, msg.ClassMayWait)
	is.True(serve(q, 0, 10)["small"] >= 5) // its fair half
}

func TestUrgentComesFirstWithinShare(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	push(q, 0, account1("a", 1), 1, msg.ClassMayWait)
	push(q, 0, account1("b", 1), 1, msg.ClassUrgent)
	is.Equal(serve(q, 0, 1)["b"], 1)
}

// An account gains no credit by being idle.
func TestIdleAccountHoardsNoCredit(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	push(q, 0, account1("a", 1), 500, msg.ClassOrdinary)
	serve(q, 0, 200)
	push(q, 0, account1("b", 1), 500, msg.ClassOrdinary)
	got := serve(q, 0, 100)
	is.True(got["a"] >= 35)
}

// Service that an account got through other entries counts here.
func TestRemoteServiceIsCharged(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.Remote(0, "a", 1, []float32{10_000, 0})
	push(q, 0, account1("a", 1), 100, msg.ClassOrdinary)
	push(q, 0, account1("b", 1), 100, msg.ClassOrdinary)
	got := serve(q, 4*time.Second, 40)
	is.True(got["b"] > 3*got["a"])
}

func TestWorkThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := account1("a", 1)
	push(q, 0, a, 100, msg.ClassOrdinary)
	now := 2 * time.Second
	serve(q, now, 4) // 2000 tokens a second while 96000 wait
	ref, _ := q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 1000, StartBy: now + 40*time.Second})
	is.Equal(ref.Reason, ReasonCannotBeMet)
	is.Equal(ref.RetryAfter, maxRetry)
	ref, _ = q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 1000, StartBy: now + 60*time.Second})
	is.Equal(ref, nil)
	ref, _ = q.Push(now, a, &Item{Class: msg.ClassUrgent, Tokens: 1000, StartBy: now + time.Second})
	is.Equal(ref, nil) // passes the waiting requests of its account
}

// Little service for want of requests does not make a later one look hopeless.
func TestQuietAccountIsNotRefused(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := account1("a", 1)
	push(q, 0, a, 1, msg.ClassOrdinary)
	serve(q, 0, 1)
	now := 5 * time.Second
	for range 3 { // no target is free for a moment
		ref, _ := q.Push(now, a, &Item{Class: msg.ClassOrdinary, Tokens: 4000, StartBy: now + 2*time.Second})
		is.Equal(ref, nil)
	}
}

func TestQueueIsBoundedUnderFlood(t *testing.T) {
	is := is.New(t)
	q := New(Config{Queued: 100, AccountQueued: 1000})
	ref := push(q, 0, account1("flood", 1), 500, msg.ClassOrdinary)
	is.Equal(ref.Reason, ReasonQueueFull)
	is.Equal(q.Len(), 100)
	it := &Item{Req: "s", Tokens: 1, StartBy: time.Hour}
	ref, evicted := q.Push(0, account1("small", 1), it)
	is.Equal(ref, nil)
	is.Equal(len(evicted), 1)
	is.Equal(evicted[0].Req, msg.RequestID("flood99"))
	is.Equal(q.Len(), 100)
}

func TestLimitsOfTheManifest(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	a := Account{ID: "a", Weight: 1, Limits: manifest.Limits{Concurrent: 2, Queued: 5, TokensPerSecond: 1000}}
	is.Equal(push(q, 0, a, 6, msg.ClassOrdinary).Reason, ReasonAccountFull)
	is.Equal(serve(q, 0, 5)["a"], 2) // two at once
	q.End("a", 0)
	is.Equal(serve(q, 0, 5)["a"], 1)
	is.Equal(push(q, 0, a, 1, msg.ClassOrdinary).Reason, ReasonTokenLimit)
	is.Equal(push(q, 4*time.Second, a, 1, msg.ClassOrdinary), nil)
}
