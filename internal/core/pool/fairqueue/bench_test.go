package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// BenchmarkServe2200 queues, starts and ends one request among 2,200 client
// accounts that each have a waiting request.
func BenchmarkServe2200(b *testing.B) {
	q := New(Config{})
	accounts := make([]Account, 2200)
	for i := range accounts {
		accounts[i] = newAccount(msg.AccountID(fmt.Sprintf("a%04d", i)), 1)
		pushN(q, 0, accounts[i], 1, msg.ClassOrdinary)
	}
	b.ReportAllocs()
	now := msg.Time(0)
	for i := 0; b.Loop(); i++ {
		now += time.Microsecond
		q.Push(now, accounts[i%len(accounts)], &Item{Tokens: 1000, StartBy: now + time.Hour})
		it := q.Heads(now, 1)[0]
		id := it.account.id
		q.Begin(it)
		q.End(id, 0)
	}
}
