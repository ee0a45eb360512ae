package fairqueue

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Account is a client account as the manifest has it.
type Account struct {
	ID     msg.AccountID
	Weight float64
	Limits manifest.Limits
}

// account is the state of a client account in one queue.
type account struct {
	id      msg.AccountID
	weight  float64
	limits  manifest.Limits
	waiting [msg.ClassMayWait + 1][]*Item
	queued  int
	running int
	// tokens is the expected service of the waiting requests, per class.
	tokens [msg.ClassMayWait + 1]float64
	// counter is the service received so far, divided by the weight.
	counter float64
	// own is the service through this entry, remote that through the others,
	// both in tokens a second; remoteWaiting is what waits there, in tokens.
	own           rate
	remote        float64
	remoteWaiting float64
	remoteAt      msg.Time
	// drained is the service since requests wait.
	drained drain
	// bucket is the unused part of the account's token limit.
	bucket float64
	seen   msg.Time
	// over says that the account is over its fair share, as of the last Heads.
	over bool
}

const (
	// remoteLimit is the age after which what other entries told is ignored.
	remoteLimit = 5 * time.Second
	// bucketTime is the time that an unused token limit accumulates for.
	bucketTime = 5 * time.Second
)

// advance lets time pass; left is what is left of rates.
func (a *account) advance(now msg.Time, dt, left float64) {
	a.own.sum *= left
	if now-a.remoteAt > remoteLimit {
		a.remote = 0
		a.remoteWaiting = 0
	}
	a.counter += a.remote / a.weight * dt
	if limit := a.limits.TokensPerSecond; limit > 0 {
		a.bucket = min(a.bucket+limit*dt, limit*bucketTime.Seconds())
	}
	if a.queued > 0 || a.running > 0 || a.remote > 0 {
		a.seen = now
	}
}

// charge adds service.
func (a *account) charge(tokens float64) {
	a.counter += tokens / a.weight
	a.own.add(tokens)
	a.bucket -= tokens
}

// waitingTokens is the expected service of all waiting requests.
func (a *account) waitingTokens() float64 {
	var sum float64
	for _, t := range a.tokens {
		sum += t
	}
	return sum
}

// active reports whether the account takes part in the sharing of capacity.
func (a *account) active() bool {
	return a.queued > 0 || a.running > 0 || a.remote > 0 || a.own.value() > 1
}

// rate is an exponentially decaying rate.
type rate struct{ sum float64 }

// rateTime is the time constant of rates.
const rateTime = 10 * time.Second

func (r *rate) add(v float64) { r.sum += v }

// decayed is the part of a rate that is left after a time in seconds.
func decayed(dt float64) float64 { return math.Exp(-dt / rateTime.Seconds()) }

// value is the rate per second.
func (r *rate) value() float64 { return r.sum / rateTime.Seconds() }
