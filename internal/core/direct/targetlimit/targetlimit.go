// Package targetlimit divides the limit of requests per second that a target names
// among the entry daemons, without a message for each request.
//
// It is designed for a fleet of up to hundreds of daemons before targets whose limits
// are a few requests a second. A small part of such a limit for each daemon would be of
// no use, and what the daemons had saved up together would be a burst. The limit is
// therefore divided among a few daemons, its holders, that the target's name selects.
// The others send the target nothing.
package targetlimit

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// baseHolders and holdersPerRequest give the number of holders of a limit. Together
	// they may send at once what all have saved.
	baseHolders       = 2
	holdersPerRequest = 1.2
	// maxSaved is the number of requests that a holder may save up, or what it may send
	// in savedTime if that is more.
	maxSaved  = 1.5
	savedTime = 0.1 // seconds
	// departureDelay is how long a daemon that is no longer listed keeps its shares. A
	// daemon that is only cut off from the others goes on to use them.
	departureDelay = 15 * time.Second
	// settleTime is how long after its start a daemon uses no limited target, because
	// it may not know the others.
	settleTime = 3 * time.Second
)

// Members are the daemons among which limits are divided. The zero value knows none.
type Members struct {
	listed []msg.Host
	// all holds the listed daemons and those that were listed until departureDelay ago,
	// lost with the time until which each is kept.
	all  []msg.Host
	lost map[msg.HostID]msg.Time
	// settled is set once settleTime has passed.
	settled bool
	// Version increases with each change of shares.
	Version uint64
}

// SetListed sets the live daemons.
func (m *Members) SetListed(now msg.Time, hosts []msg.Host) {
	if m.lost == nil {
		m.lost = make(map[msg.HostID]msg.Time)
	}
	listed := make(map[msg.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Host] = true
		delete(m.lost, h.Host)
	}
	for _, h := range m.listed {
		if !listed[h.Host] {
			m.lost[h.Host] = now + departureDelay
		}
	}
	kept := append([]msg.Host(nil), hosts...)
	for _, h := range m.all {
		if _, ok := m.lost[h.Host]; ok {
			kept = append(kept, h)
		}
	}
	m.listed, m.all = hosts, kept
	m.Version++
}

// Advance drops the daemons that have been gone for long.
func (m *Members) Advance(now msg.Time) {
	if !m.settled && now >= settleTime {
		m.settled = true
		m.Version++
	}
	var gone bool
	for id, until := range m.lost {
		if now >= until {
			delete(m.lost, id)
			gone = true
		}
	}
	if gone {
		m.SetListed(now, m.listed)
	}
}

// Share returns the part of a target's limit, in requests per second, that belongs to a
// daemon. It is zero if the daemon is not a holder, or has started too recently.
func (m *Members) Share(target msg.TargetID, self msg.HostID, limit float64) float64 {
	if !m.settled || len(m.all) == 0 {
		return 0
	}
	holders := min(baseHolders+int(holdersPerRequest*limit), len(m.all))
	if rendezvous.Rank(string(target), self, m.all) >= holders {
		return 0
	}
	return limit / float64(holders)
}

// Bucket is a token bucket for the requests of one daemon to one target. It starts
// empty.
type Bucket struct {
	saved     float64
	updatedAt msg.Time
	perSecond float64
}

// SetRate sets the rate at which requests are permitted.
func (b *Bucket) SetRate(now msg.Time, perSecond float64) {
	b.update(now)
	b.perSecond = perSecond
}

func (b *Bucket) update(now msg.Time) {
	limit := max(maxSaved, b.perSecond*savedTime)
	b.saved = min(b.saved+b.perSecond*(now-b.updatedAt).Seconds(), limit)
	b.updatedAt = now
}

// Permits reports whether a request is permitted now.
func (b *Bucket) Permits(now msg.Time) bool {
	b.update(now)
	return b.saved >= 1
}

// Take counts a request, permitted or not.
func (b *Bucket) Take(now msg.Time) {
	b.update(now)
	b.saved--
}
