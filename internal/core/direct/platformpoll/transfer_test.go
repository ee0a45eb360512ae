package platformpoll

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// restart replaces the daemon of a host by a new process that knows nothing, not even the
// other daemons, and is turned away by the platform.
func (f *fleet) restart(host msg.HostID) {
	f.components[host] = New(Config{Self: msg.Self{Host: host, Domain: "d0"}, RoutesInterval: testInterval, InstancesInterval: testInterval})
	f.cut[host] = true
	delete(f.version, host)
	delete(f.targets, host)
	delete(f.confirmed, host)
}

// A daemon that starts while the platform turns it away has the configuration, the targets
// and the other daemons soon after it hears from one of them, however large the
// configuration is.
func TestDaemonStartsFromAnother(t *testing.T) {
	for _, c := range []struct{ entries, routes int }{{28, 10}, {28, 1000}, {103, 10}, {390, 10}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newStartedFleet(t, c.entries)
			for i := range c.routes {
				f.table.Routes = append(f.table.Routes, msg.DirectRoute{Name: msg.RouteID(fmt.Sprint("route-", i)), Prefix: "/" + strings.Repeat("x", 100)})
			}
			f.advance(3 * time.Second)
			host := f.follower()
			f.restart(host)
			f.advance(time.Second)
			f.is.Equal(f.version[host], uint64(0)) // It has heard of nobody.
			f.step(host, msg.PeerReceived{From: f.hosts[1].Host, Message: msg.LoadDigest{}})
			f.advance(300 * time.Millisecond)
			f.is.Equal(f.version[host], f.table.Version)
			f.is.Equal(f.targets[host], 2)
			f.is.Equal(len(f.told[host].Entries), c.entries)
			f.is.True(f.told[host].Complete)
			f.is.True(f.now-f.confirmed[host] < testBound)
		})
	}
}

// A state counts from the instant at which the question left, and what is older than what
// the daemon has does not replace it.
func TestOldStateIsNotApplied(t *testing.T) {
	f := newFleet(t, 3)
	c := f.components[f.hosts[0].Host]
	before := c.confirmedAt
	is := is.New(t)
	is.Equal(len(c.applyTable(f.now, "other", &msg.RouteTable{Version: 4}, f.now)), 0)
	is.Equal(c.table.Version, uint64(5))
	is.Equal(c.confirmedAt, before)
	is.Equal(len(c.applyTargets(f.now, &targetState{List: nil, Revision: 9, Digest: 7}, c.lastListSent)), 0)
	is.Equal(len(c.applyTargets(f.now, &targetState{List: nil, Revision: 0, Digest: 7}, f.now)), 0)
}

// A daemon whose own knowledge is old passes nothing on.
func TestCutDaemonPassesNothingOn(t *testing.T) {
	f := newFleet(t, 2)
	other := f.hosts[1].Host
	for _, h := range f.hosts {
		f.cut[h.Host] = true
	}
	f.advance(10 * time.Second)
	f.restart(f.hosts[0].Host)
	f.step(f.hosts[0].Host, msg.PeerReceived{From: other, Message: msg.LoadDigest{}})
	f.advance(time.Second)
	f.is.Equal(f.version[f.hosts[0].Host], uint64(0))
}
