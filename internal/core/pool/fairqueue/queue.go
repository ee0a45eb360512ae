// Package fairqueue queues requests and decides which of them is served next.
//
// Each pool has a [Queue]. Within a queue the client accounts are served by
// weighted fair queueing: the account with the least service relative to its
// weight comes first. Service is the number of tokens that the requests of an
// account use; it has nothing to do with the plain services, which are a kind of
// target. Entry daemons exchange their service rates, so that an account is
// charged for its service through all of them. A request that is not expected to
// start in time is refused when it arrives.
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
	// PolicyFair serves the client accounts by weighted fair queueing.
	PolicyFair Policy = iota
	// PolicyFIFO serves the requests in order of arrival.
	PolicyFIFO
)

// String returns the policy's name, as used in tables.
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
	// Queued is the maximum number of requests that wait for one pool.
	Queued int
	// AccountQueued is the maximum number of waiting requests of a client
	// account that has no limit of its own.
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
	// Tokens is the expected service in tokens.
	Tokens float64
	// StartBy is the time by which the request must start.
	StartBy msg.Time

	account *account
	seq     uint64
}

// Queue holds the requests that wait for one pool.
type Queue struct {
	cfg      Config
	accounts map[msg.AccountID]*account
	// sorted holds the accounts sorted by id.
	sorted     []*account
	queued     int
	lastSeq    uint64
	advancedTo msg.Time
	// fairService is the normalized service of an account that receives exactly
	// its fair share, the virtual time of weighted fair queueing.
	fairService float64
	localTotal  decayingRate
	heads       []*Item
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg.withDefaults(), accounts: make(map[msg.AccountID]*account)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }

// Push adds a request of an account. If it returns a refusal, the request was
// not added. The returned items are the requests that were evicted to make
// space for it.
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
			return &Refusal{Reason: ReasonQueueFull, RetryAfter: q.timeToEmpty(acc)}, nil
		}
	}
	if acc.queued == 0 {
		acc.normalizedService = max(acc.normalizedService, q.fairService-q.credit(acc))
	}
	q.lastSeq++
	it.seq = q.lastSeq
	q.insert(acc, it)
	return nil, evicted
}

// Requeue adds a request whose attempt has ended before the request was done.
// The request goes to the head of its account and class, and is never refused.
func (q *Queue) Requeue(now msg.Time, a Account, it *Item) {
	q.advance(now)
	it.seq = 0
	q.insert(q.account(a), it)
}

// insert adds a request to its account: at the end of its class, or at the head
// if it has no sequence number because it is requeued.
func (q *Queue) insert(acc *account, it *Item) {
	if acc.queued == 0 {
		acc.throughput.begin(q.advancedTo)
	}
	it.account = acc
	waiting := &acc.waiting[it.Class]
	if it.seq == 0 {
		*waiting = slices.Insert(*waiting, 0, it)
	} else {
		*waiting = append(*waiting, it)
	}
	acc.queued++
	acc.waitingTokens[it.Class] += it.Tokens
	q.queued++
}

// Remove removes a request from the queue. It reports false if the request is
// not waiting.
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
	acc.waitingTokens[it.Class] -= it.Tokens
	q.queued--
	return true
}

// evict removes the newest request of the least urgent class from the account
// with the most waiting requests. It returns nil if that account is acc, or has
// at most one waiting request more than acc.
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

// account returns the state of an account, which it creates if there is none,
// and updates its weight and limits. A weight that is not positive counts as 1.
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

// creditDuration limits how much service an account may catch up on after it
// used less than its fair share: the service of its fair share over this time.
const creditDuration = 2 * time.Second

// credit returns the normalized service of an account's fair share over
// creditDuration. An account that joins is counted among the active ones;
// joining may be nil.
func (q *Queue) credit(joining *account) float64 {
	weights := q.activeWeight()
	if joining != nil && !joining.active() {
		weights += joining.weight
	}
	if weights == 0 {
		return 0
	}
	return creditDuration.Seconds() * q.totalServiceRate() / weights
}

// advance updates the queue to the time now: it decays the rates and charges
// the accounts for their service through other entries.
func (q *Queue) advance(now msg.Time) {
	dt := (now - q.advancedTo).Seconds()
	if dt <= 0 {
		return
	}
	q.advancedTo = now
	left := decayFactor(dt)
	var remote float64
	for _, a := range q.sorted {
		a.advance(now, dt, left)
		remote += a.remoteRate
	}
	q.addFairService(remote * dt)
	q.localTotal.sum *= left
}

// addFairService advances the fair service by tokens that all accounts together
// received.
func (q *Queue) addFairService(tokens float64) {
	if weights := q.activeWeight(); weights > 0 {
		q.fairService += tokens / weights
	}
}

// idleLimit is the time after which an account without activity is removed.
const idleLimit = time.Minute

// Sweep removes the accounts that have been idle for longer than idleLimit.
func (q *Queue) Sweep(now msg.Time) {
	q.sorted = slices.DeleteFunc(q.sorted, func(a *account) bool {
		idle := a.queued == 0 && a.running == 0 && now-a.activeAt > idleLimit
		if idle {
			delete(q.accounts, a.id)
		}
		return idle
	})
}
