package platformpoll

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// acceptAge is the age of the last confirmation up to which API keys are accepted.
const acceptAge = 4 * time.Second

// setAway makes the platform unreachable for all daemons, or ends that.
func (f *fleet) setAway(away bool) {
	for _, h := range f.hosts {
		f.cut[h.Host] = away
	}
}

// rewind makes the platform continue in a new era from a copy with an older configuration.
func (f *fleet) rewind(table *msg.RouteTable) {
	f.era++
	f.revision = 1
	f.table = table
	f.setAway(false)
}

// start starts a new process of a host, which hears from the others. The platform's list of
// daemons tells it who they are once the platform can be read.
func (f *fleet) start(host msg.HostID) {
	f.restart(host)
	f.step(host, msg.Started{Seed: uint64(f.now)})
}

// sendDigests lets each daemon hear from the others, as it does all the time.
func (f *fleet) sendDigests() {
	for _, from := range f.hosts {
		for _, to := range f.hosts {
			if from != to && !f.silent[from.Host] {
				f.post(to.Host, f.delay, msg.PeerReceived{From: from.Host, Message: msg.LoadDigest{}})
			}
		}
	}
}

// run advances the time in steps of a fifth of a second, and checks that no daemon serves by
// a configuration older than newest from a time on.
func (f *fleet) run(t *testing.T, d time.Duration, newest uint64, since msg.Time) {
	t.Helper()
	for end := f.now + d; f.now < end; {
		f.sendDigests()
		f.advance(200 * time.Millisecond)
		for _, h := range f.hosts {
			if f.version[h.Host] < newest && f.confirmed[h.Host] > since {
				t.Fatalf("%s: version %d is confirmed %v after the return of the store", h.Host, f.version[h.Host], f.confirmed[h.Host]-since)
			}
		}
	}
}

// A store that comes back older shows a key that was withdrawn. Daemons that have not seen
// the withdrawal must not serve by that configuration while another daemon knows better.
func TestConfigurationOlderThanPeersKnowIsNotConfirmed(t *testing.T) {
	for _, entries := range []int{2, 3, 4, 28} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newStartedFleet(t, entries)
			f.era = 2
			old, withdrawn := f.table, &msg.RouteTable{Version: 6}
			f.run(t, 3*time.Second, 0, 0)
			knows := f.readers()[0].Host
			f.setAway(true)
			f.cut[knows] = false
			f.table = withdrawn
			f.advance(testInterval)
			f.is.Equal(f.version[knows], withdrawn.Version)
			f.setAway(true)
			f.run(t, 4500*time.Millisecond, 0, 0)
			f.rewind(old)
			back := f.now
			f.run(t, 3*time.Second, withdrawn.Version, back)
			for _, h := range f.hosts {
				f.is.Equal(f.version[h.Host], withdrawn.Version)
				f.is.True(f.confirmed[h.Host] > back) // Good keys are served.
			}
		})
	}
}

// The same for a daemon that starts while the store is away, or as it comes back, and for
// one that starts alone: it has nobody to ask. It may know the other daemons long after the
// configuration.
func TestStartedDaemonAsksPeersBeforeItBelievesStore(t *testing.T) {
	for _, entries := range []int{1, 3, 4, 28} {
		for _, c := range []struct{ before, membersAfter time.Duration }{
			{1500 * time.Millisecond, 8 * time.Millisecond}, {0, 8 * time.Millisecond}, {1500 * time.Millisecond, 2400 * time.Millisecond}, {0, 2400 * time.Millisecond},
		} {
			t.Run(fmt.Sprint(entries, " ", c), func(t *testing.T) {
				f := newStartedFleet(t, entries)
				f.era = 2
				old, withdrawn := f.table, &msg.RouteTable{Version: 6}
				f.run(t, 3*time.Second, 0, 0)
				f.table = withdrawn
				f.run(t, 3*time.Second, 0, 0)
				f.setAway(true)
				f.run(t, 4500*time.Millisecond-c.before, 0, 0)
				host := f.hosts[0].Host
				f.start(host)
				f.run(t, c.before, 0, 0)
				f.rewind(old)
				back := f.now
				f.post(host, 0, msg.MembersChanged{Entries: f.hosts[:1]}) // itself
				f.post(host, c.membersAfter, msg.MembersChanged{Entries: f.hosts, Complete: true})
				if entries > 1 {
					f.run(t, 3*time.Second, withdrawn.Version, back)
				}
				f.advance(2 * time.Second)
				f.is.True(f.confirmed[host] > back)
			})
		}
	}
}

// Callers with good keys do not pay for the questions: in the first seconds after the return
// of the store, they are served at least 0.98 as long as if each daemon confirmed whatever its
// first read shows. Some daemons are silent, and the operator writes the configuration again
// after a second.
func TestGoodKeysAreServedAfterReturnOfStore(t *testing.T) {
	served, possible := 0, 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s, p := serveAfterReturn(t, seed)
			served += s
			possible += p
		})
	}
	t.Logf("served %d of %d", served, possible)
	if float64(served) < 0.98*float64(possible) {
		t.Errorf("served %d of %d", served, possible)
	}
}

// serveAfterReturn returns for how many ticks of all daemons keys were accepted after the
// return of a store that has lost a configuration, and for how many they could have been.
func serveAfterReturn(t *testing.T, seed uint64) (served, possible int) {
	const window = 5 * time.Second
	r := rand.New(rand.NewPCG(seed, 0))
	f := newStartedFleet(t, 3+r.IntN(4))
	f.era = 2
	old := f.table
	f.run(t, 3*time.Second+time.Duration(r.Int64N(int64(time.Second))), 0, 0)
	f.table = &msg.RouteTable{Version: 6}
	f.advance(time.Duration(r.Int64N(int64(testInterval))))
	f.setAway(true)
	if r.IntN(4) == 0 {
		f.silent[f.hosts[0].Host] = true
	}
	f.run(t, time.Second+time.Duration(r.Int64N(int64(7*time.Second))), 0, 0)
	written := f.table
	f.rewind(old)
	back := f.now
	for f.now < back+window {
		if f.now == back+time.Second {
			f.table = written
		}
		f.sendDigests()
		f.advance(msg.TickInterval)
		for _, h := range f.hosts {
			accepts := f.now-f.confirmed[h.Host] < acceptAge
			switch {
			case f.silent[h.Host]:
			case accepts:
				served++
				possible++
			case f.readAt[h.Host] > back:
				possible++
			}
		}
	}
	return served, possible
}
