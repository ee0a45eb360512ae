package sharedrate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const window = 4 * time.Second

// fleet is a set of daemons that all want to send a target as much as they may.
type fleet struct {
	now     msg.Time
	hosts   []msg.Host
	members map[msg.HostID]*Members
	buckets map[msg.HostID]*TargetBucket
	// versions holds the version of the members for which each bucket's rate was set.
	versions map[msg.HostID]uint64
	// sent holds the times of the requests that the target got.
	sent []msg.Time
}

func newFleet(size int) *fleet {
	f := &fleet{members: make(map[msg.HostID]*Members), buckets: make(map[msg.HostID]*TargetBucket), versions: make(map[msg.HostID]uint64)}
	for i := range size {
		f.hosts = append(f.hosts, msg.Host{Host: msg.HostID(fmt.Sprint("e", i))})
	}
	for _, h := range f.hosts {
		m := &Members{}
		m.SetListed(0, f.hosts)
		f.members[h.Host], f.buckets[h.Host] = m, &TargetBucket{}
	}
	return f
}

// run lets all daemons send what they may, if send is set.
func (f *fleet) run(d time.Duration, limit float64, send bool) {
	for end := f.now + d; f.now < end; f.now += 20 * time.Millisecond {
		for _, h := range f.hosts {
			m, b := f.members[h.Host], f.buckets[h.Host]
			m.Advance(f.now)
			if f.versions[h.Host] != m.Version {
				f.versions[h.Host] = m.Version
				b.SetRate(f.now, m.TargetShare("t", h.Host, limit))
			}
			for send && b.Permits(f.now) {
				b.Take(f.now)
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

// most returns the largest number of requests within window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(limit float64) int { return int(1.5*limit*window.Seconds()) + 5 }

// Daemons that have saved up their shares use them all at once, and go on.
func TestLimitHoldsAtAnySize(t *testing.T) {
	for _, size := range []int{1, 6, 28, 103, 390} {
		for _, limit := range []float64{0.3, 1, 4.3, 20, 100} {
			t.Run(fmt.Sprint(size, "/", limit), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(size)
				f.run(time.Minute, limit, false)
				start := f.now
				f.run(time.Minute, limit, true)
				t.Logf("at most %d of %d", f.most(), allowed(limit))
				is.True(f.most() <= allowed(limit))
				use := float64(len(f.sent)) / (limit * (f.now - start).Seconds())
				is.True(use >= 0.8) // what is not used by one is not lost
			})
		}
	}
}

// The daemons on each side of a cut take the others for gone.
func TestLimitHoldsInCut(t *testing.T) {
	is := is.New(t)
	const limit = 5
	f := newFleet(28)
	f.run(10*time.Second, limit, true)
	for i, h := range f.hosts {
		side := f.hosts[:14]
		if i >= 14 {
			side = f.hosts[14:]
		}
		f.members[h.Host].SetListed(f.now, side)
	}
	f.run(departureDelay-time.Second, limit, true)
	is.True(f.most() <= allowed(limit))
}

// Daemons that have just started know only themselves.
func TestStartedDaemonsUseNoLimitedTarget(t *testing.T) {
	is := is.New(t)
	f := newFleet(28)
	for _, h := range f.hosts {
		f.members[h.Host] = &Members{}
		f.members[h.Host].SetListed(0, []msg.Host{h})
	}
	f.run(settleTime-time.Second, 5, true)
	is.Equal(len(f.sent), 0)
}

// A process uses its shares once the list of daemons has stayed the same for a while, so
// that a fleet that restarts whole is not held up, and a growing list is not relied on.
func TestSharesWaitForStableMembers(t *testing.T) {
	is := is.New(t)
	all := newFleet(5).hosts
	var restarted, growing Members
	restarted.SetListed(100*time.Millisecond, all)
	for now := msg.Time(0); now < settleTime; now += 100 * time.Millisecond {
		restarted.Advance(now)
		is.Equal(restarted.settled, now >= 100*time.Millisecond+stableTime)
		growing.SetListed(now, all[:1+int(now/(700*time.Millisecond))])
		growing.Advance(now)
		is.True(!growing.settled)
	}
	growing.Advance(settleTime)
	is.True(growing.settled)
}
