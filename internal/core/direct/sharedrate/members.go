// Package sharedrate divides a rate that all entry daemons share among a few of them,
// without a message for each change of the division. The rate is the limit of requests
// per second that a target names, or the quota of a client account.
//
// It is designed for a fleet of up to hundreds of daemons that share targets whose limits
// are a few requests a second, and accounts that send requests as large as a second's
// allowance of their quota. A small part of such a rate for each daemon would be of no use,
// and what the daemons had saved up together would be a burst. The rate is therefore
// divided among a few daemons, its holders, that the key of the rate selects.
package sharedrate

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// departureDelay is how long a daemon that is no longer listed keeps its shares. A
	// daemon that is only cut off from the others goes on to use them.
	departureDelay = 15 * time.Second
	// settleTime is how long after its start a daemon uses no share, because it may not
	// know the others. stableTime is the time after which it does if it knows others and
	// they have not changed meanwhile: a second read of the list has shown the same.
	settleTime = 3 * time.Second
	stableTime = 1200 * time.Millisecond
)

// Members are the daemons among which rates are divided. The zero value knows none.
type Members struct {
	listed []msg.Host
	// all holds the listed daemons and those that were listed until departureDelay ago,
	// lost with the time until which each is kept.
	all  []msg.Host
	lost map[msg.HostID]msg.Time
	// settled is set once the daemon uses its shares, and changedAt is when the listed
	// daemons last changed.
	settled   bool
	changedAt msg.Time
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
	if !slices.Equal(hosts, m.listed) {
		m.changedAt = now
	}
	m.listed, m.all = hosts, kept
	m.Version++
}

// Advance drops the daemons that have been gone for long.
func (m *Members) Advance(now msg.Time) {
	if now >= settleTime || m.stable(now) {
		m.Settle()
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

// Settle records that the listed daemons are all there are. A list that a restarted fleet
// left behind names at least these, so that no other daemon uses the same share.
func (m *Members) Settle() {
	if m.settled {
		return
	}
	m.settled = true
	m.Version++
}

// stable reports whether the daemon knows others that have not changed for a while.
func (m *Members) stable(now msg.Time) bool {
	return len(m.listed) > 1 && now-m.changedAt >= stableTime
}

// Holds reports whether a daemon is one of the holders of a rate, of which there are n,
// and may use its share.
func (m *Members) Holds(key string, self msg.HostID, n int) bool {
	return m.settled && len(m.all) > 0 && rendezvous.Rank(key, self, m.all) < n
}

// Holders returns the holders of a rate, of which there are n or as many as there are
// daemons. Those that have left recently are included.
func (m *Members) Holders(key string, n int) []msg.Host {
	order := rendezvous.Order(key, m.all)
	return order[:min(n, len(order))]
}
