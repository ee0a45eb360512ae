package fairqueue

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Account describes a client account to a queue, as the manifest defines it.
type Account struct {
	ID     msg.AccountID
	Weight float64
	Limits manifest.Limits
}

// account is the state of a client account in one queue.
type account struct {
	id     msg.AccountID
	weight float64
	limits manifest.Limits
	// waiting holds the waiting requests of each class in the order in which
	// they are served, and queued is their number. running is the number of
	// requests that this entry has started and that have not ended.
	waiting [msg.ClassMayWait + 1][]*Item
	queued  int
	running int
	// waitingTokens is the expected service of the waiting requests in tokens,
	// for each class.
	waitingTokens [msg.ClassMayWait + 1]float64
	// normalizedService is the service that the account received through all
	// entries, in tokens divided by the account's weight.
	normalizedService float64
	// localRate is the rate of service through this entry and remoteRate that
	// through the other entries, both in tokens per second. remoteAt is the time
	// of the last value from them.
	localRate  decayingRate
	remoteRate float64
	remoteAt   msg.Time
	// throughput measures the rate at which the account's waiting requests are
	// served.
	throughput rateMeter
	// bucket is the token bucket of the account's limit of tokens per second.
	// It is negative after more tokens were charged than the bucket held.
	bucket float64
	// activeAt is the last time at which the account had a request, or service
	// through another entry.
	activeAt msg.Time
	// overShare reports whether the account was over its fair share at the last
	// call of Heads.
	overShare bool
}

const (
	// maxRemoteAge is the age after which values from other entries are
	// ignored.
	maxRemoteAge = 5 * time.Second
	// bucketDuration is the time over which an unused token limit accumulates.
	bucketDuration = 5 * time.Second
)

// advance updates the account for the time dt, in seconds, that ended at now.
// left is the fraction of decaying rates that remains after dt.
func (a *account) advance(now msg.Time, dt, left float64) {
	a.localRate.sum *= left
	if now-a.remoteAt > maxRemoteAge {
		a.remoteRate = 0
	}
	a.normalizedService += a.remoteRate / a.weight * dt
	if limit := a.limits.TokensPerSecond; limit > 0 {
		a.bucket = min(a.bucket+limit*dt, limit*bucketDuration.Seconds())
	}
	if a.queued > 0 || a.running > 0 || a.remoteRate > 0 {
		a.activeAt = now
	}
}

// charge records service in tokens. A negative value corrects an earlier
// charge.
func (a *account) charge(tokens float64) {
	a.normalizedService += tokens / a.weight
	a.localRate.add(tokens)
	a.bucket -= tokens
}

// totalWaitingTokens returns the expected service of all waiting requests, in
// tokens.
func (a *account) totalWaitingTokens() float64 {
	var sum float64
	for _, t := range a.waitingTokens {
		sum += t
	}
	return sum
}

// active reports whether the account takes part in the sharing of capacity.
func (a *account) active() bool {
	return a.queued > 0 || a.running > 0 || a.remoteRate > 0 || a.localRate.perSecond() > 1
}

// decayingRate is a rate over an exponentially decaying window.
type decayingRate struct{ sum float64 }

// rateTimeConstant is the time constant of decaying rates.
const rateTimeConstant = 10 * time.Second

func (r *decayingRate) add(v float64) { r.sum += v }

// decayFactor returns the fraction of a decaying rate that remains after a time
// in seconds.
func decayFactor(dt float64) float64 { return math.Exp(-dt / rateTimeConstant.Seconds()) }

// perSecond returns the rate per second.
func (r *decayingRate) perSecond() float64 { return r.sum / rateTimeConstant.Seconds() }
