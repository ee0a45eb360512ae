// Package fairqueue decides which waiting request is served next.
//
// Each pool has a [Queue]. Within it the client accounts are served by
// weighted fair queueing over their tokens of service: the account with the
// least service, relative to its weight, comes first. Entry daemons exchange
// their service rates, so that an account is charged for what it got through
// all of them. Requests that can't be served before their deadline are refused
// when they arrive.
package fairqueue

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Policy is the order in which requests are served.
type Policy uint8

// Policies. FIFO is a baseline for measurements.
const (
	PolicyFair Policy = iota
	PolicyFIFO
)

// String returns the policy's name in tables.
func (p Policy) String() string {
	return [...]string{"fair", "FIFO"}[p]
}

// Defaults of [Config].
const (
	DefaultQueued        = 4096
	DefaultAccountQueued = 1024
)

// Config configures the queues of an entry. Zero values are replaced by
// defaults.
type Config struct {
	Policy Policy
	// Queued bounds the requests that wait for one pool.
	Queued int
	// AccountQueued bounds those of one client account that has no limit of
	// its own.
	AccountQueued int
}

func (c Config) withDefaults() Config {
	if c.Queued == 0 {
		c.Queued = DefaultQueued
	}
	if c.AccountQueued == 0 {
		c.AccountQueued = DefaultAccountQueued
	}
	return c
}

// Item is a waiting request.
type Item struct {
	Req   msg.RequestID
	Class msg.Class
	// Tokens is the expected service.
	Tokens float64
	// StartBy is the deadline for the start.
	StartBy msg.Time

	account *account
	order   uint64
}

// Queue holds the requests that wait for one pool.
type Queue struct {
	cfg      Config
	accounts map[msg.AccountID]*account
	// sorted holds the accounts in order of id.
	sorted []*account
	queued int
	order  uint64
	last   msg.Time
	// virtual is the counter of an account that gets exactly its fair share.
	virtual float64
	total   rate
	heads   []*Item
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg.withDefaults(), accounts: make(map[msg.AccountID]*account)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }

// Push adds a request of an account. Where it returns a refusal, the request
// was not added. The returned items were evicted to make room for it.
func (q *Queue) Push(now msg.Time, a Account, it *Item) (*Refusal, []*Item) {
	q.advance(now)
	acc := q.account(a)
	if ref := q.refusal(now, acc, it); ref != nil {
		return ref, nil
	}
	var evicted []*Item
	if q.queued >= q.cfg.Queued {
		evicted = q.evict(acc)
		if evicted == nil {
			return &Refusal{Reason: ReasonQueueFull, RetryAfter: q.clearTime(acc)}, nil
		}
	}
	if acc.queued == 0 {
		acc.counter = max(acc.counter, q.virtual-q.credit(acc))
	}
	q.order++
	it.order = q.order
	q.insert(acc, it)
	return nil, evicted
}

// Requeue puts back a request whose attempt ended early. It is not refused.
func (q *Queue) Requeue(now msg.Time, a Account, it *Item) {
	q.advance(now)
	it.order = 0
	q.insert(q.account(a), it)
}

func (q *Queue) insert(acc *account, it *Item) {
	if acc.queued == 0 {
		acc.drained.begin(q.last)
	}
	it.account = acc
	waiting := &acc.waiting[it.Class]
	if it.order == 0 {
		*waiting = slices.Insert(*waiting, 0, it)
	} else {
		*waiting = append(*waiting, it)
	}
	acc.queued++
	acc.tokens[it.Class] += it.Tokens
	q.queued++
}

// Remove takes a request out of the queue. It reports false where the request
// does not wait.
func (q *Queue) Remove(it *Item) bool {
	acc := it.account
	if acc == nil {
		return false
	}
	waiting := &acc.waiting[it.Class]
	i := slices.Index(*waiting, it)
	*waiting = slices.Delete(*waiting, i, i+1)
	it.account = nil
	acc.queued--
	acc.tokens[it.Class] -= it.Tokens
	q.queued--
	return true
}

// evict removes the newest request of the account with the most waiting ones,
// unless that is acc itself.
func (q *Queue) evict(acc *account) []*Item {
	longest := acc
	for _, a := range q.sorted {
		if a.queued > longest.queued+1 {
			longest = a
		}
	}
	if longest == acc {
		return nil
	}
	for class := len(longest.waiting) - 1; class >= 0; class-- {
		if w := longest.waiting[class]; len(w) > 0 {
			it := w[len(w)-1]
			q.Remove(it)
			return []*Item{it}
		}
	}
	return nil
}

func (q *Queue) account(a Account) *account {
	acc := q.accounts[a.ID]
	if acc == nil {
		acc = &account{id: a.ID}
		q.accounts[a.ID] = acc
		i, _ := slices.BinarySearchFunc(q.sorted, acc, compareAccounts)
		q.sorted = slices.Insert(q.sorted, i, acc)
	}
	acc.weight = a.Weight
	if acc.weight <= 0 {
		acc.weight = 1
	}
	acc.limits = a.Limits
	return acc
}

func compareAccounts(a, b *account) int { return strings.Compare(string(a.id), string(b.id)) }

// creditTime bounds the service that an account can catch up on after it used
// less than its share.
const creditTime = 2 * time.Second

// credit is the service, relative to the weight, of an account's fair share
// in creditTime, where joining takes part.
func (q *Queue) credit(joining *account) float64 {
	weights := q.weights()
	if joining != nil && !joining.active() {
		weights += joining.weight
	}
	if weights == 0 {
		return 0
	}
	return creditTime.Seconds() * q.service() / weights
}

// advance lets time pass: rates decay and the service that accounts get
// through other entries is charged.
func (q *Queue) advance(now msg.Time) {
	dt := (now - q.last).Seconds()
	if dt <= 0 {
		return
	}
	q.last = now
	left := decayed(dt)
	var remote float64
	for _, a := range q.sorted {
		a.advance(now, dt, left)
		remote += a.remote
	}
	q.serve(remote * dt)
	q.total.sum *= left
}

// serve lets the virtual counter follow service that was given.
func (q *Queue) serve(tokens float64) {
	if weights := q.weights(); weights > 0 {
		q.virtual += tokens / weights
	}
}

// idleLimit is the time after which an account without requests is forgotten.
const idleLimit = time.Minute

// Sweep forgets accounts that have been idle for long.
func (q *Queue) Sweep(now msg.Time) {
	q.sorted = slices.DeleteFunc(q.sorted, func(a *account) bool {
		idle := a.queued == 0 && a.running == 0 && now-a.seen > idleLimit
		if idle {
			delete(q.accounts, a.id)
		}
		return idle
	})
}
