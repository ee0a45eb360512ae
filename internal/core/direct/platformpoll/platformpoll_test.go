package platformpoll

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fakePlatform runs a component and responds to its reads.
type fakePlatform struct {
	is  *is.I
	c   *Component
	now msg.Time
	// up reports whether the platform responds.
	up    bool
	table *msg.RouteTable
	list  []msg.Instance
	era   msg.StoreEra
	rev   msg.Revision
	// changed, routes and fresh hold the values of the events that the
	// component raised last.
	changed []msg.Instance
	routes  *msg.RouteTable
	fresh   msg.Time
	logs    []string
	calls   int
}

func newFakePlatform(t *testing.T, cfg Config) *fakePlatform {
	return &fakePlatform{is: is.New(t), c: New(cfg), up: true, table: &msg.RouteTable{Version: 5}, era: 1, rev: 1}
}

func (f *fakePlatform) step(ev msg.Event) {
	for _, eff := range f.c.Step(f.now, ev) {
		switch eff := eff.(type) {
		case msg.ReadRoutes:
			f.calls++
			f.step(f.readRoutes(eff))
		case msg.ReadInstances:
			f.calls++
			f.step(f.readInstances(eff))
		case msg.LogLine:
			f.logs = append(f.logs, eff.Text)
		case msg.Raise:
			f.onRaised(eff.Event)
		}
	}
}

func (f *fakePlatform) onRaised(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.InstancesChanged:
		f.changed = ev.Instances
	case msg.RoutesChanged:
		f.routes = ev.Table
	case msg.RoutesConfirmed:
		f.fresh = ev.At
	}
}

func (f *fakePlatform) readRoutes(eff msg.ReadRoutes) msg.Event {
	if !f.up {
		return msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: f.now}
	}
	return msg.RoutesRead{Call: eff.Call, Status: msg.CallOK, Sent: f.now, Table: f.table}
}

func (f *fakePlatform) readInstances(eff msg.ReadInstances) msg.Event {
	if !f.up {
		return msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: f.now}
	}
	f.rev++
	return msg.InstancesRead{Call: eff.Call, Status: msg.CallOK, Sent: f.now, Era: f.era, Revision: f.rev, Instances: f.list}
}

func (f *fakePlatform) advanceTime(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += msg.TickInterval
		f.step(msg.Tick{})
	}
}

func (f *fakePlatform) hasTarget(id msg.TargetID) bool {
	for _, in := range f.changed {
		if in.Target == id {
			return true
		}
	}
	return false
}

var twoTargets = []msg.Instance{{Target: "a", Addr: "1"}, {Target: "b", Addr: "2"}}

// Tests that a long interval between reads does not count as an outage: a
// target is removed with the first list that lacks it.
func TestMissingTargetIsRemovedWithoutOutage(t *testing.T) {
	f := newFakePlatform(t, Config{InstancesInterval: 1600 * time.Millisecond})
	f.list = twoTargets
	f.advanceTime(4 * time.Second)
	f.is.True(f.hasTarget("b"))
	f.list = twoTargets[:1]
	f.advanceTime(1700 * time.Millisecond)
	f.is.True(!f.hasTarget("b"))
}

// newPlatformAfterOutage returns a platform that is back after an outage, during which
// one of two targets has vanished from the list.
func newPlatformAfterOutage(t *testing.T, cfg Config) *fakePlatform {
	f := newFakePlatform(t, cfg)
	f.list = twoTargets
	f.advanceTime(2 * time.Second)
	f.up = false
	f.advanceTime(4 * time.Second)
	f.up = true
	f.list = twoTargets[:1]
	return f
}

// Tests that a target whose entry expired during an outage has two seconds to
// register again.
func TestExpiredTargetMayRegisterAgain(t *testing.T) {
	f := newPlatformAfterOutage(t, Config{})
	f.advanceTime(1500 * time.Millisecond)
	f.is.True(f.hasTarget("b")) // The entry may have expired while the platform was down.
	f.list = twoTargets
	f.advanceTime(time.Second)
	f.list = twoTargets[:1]
	f.advanceTime(1500 * time.Millisecond)
	f.is.True(!f.hasTarget("b")) // The target had registered again and has now left.
}

func TestExpiredTargetIsRemovedAfterGracePeriod(t *testing.T) {
	f := newPlatformAfterOutage(t, Config{})
	f.advanceTime(4 * time.Second)
	f.is.True(!f.hasTarget("b"))
}

// A target that left during an outage must not wait for the next read of the list.
func TestExpiredTargetIsRemovedAsGracePeriodEnds(t *testing.T) {
	f := newPlatformAfterOutage(t, Config{InstancesInterval: 1600 * time.Millisecond})
	const firstRead = 650 * time.Millisecond
	f.advanceTime(firstRead + DefaultReturn)
	f.is.True(!f.hasTarget("b"))
}

// A read of the targets that hangs must not delay the first one after an outage.
func TestTargetsAreReadOncePlatformIsBack(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	now := time.Second
	calls := func() (routes, targets msg.CallID) {
		for _, eff := range c.Step(now, msg.Tick{}) {
			switch eff := eff.(type) {
			case msg.ReadRoutes:
				routes = eff.Call
			case msg.ReadInstances:
				targets = eff.Call
			}
		}
		return routes, targets
	}
	routes, targets := calls()
	c.Step(now, msg.RoutesRead{Call: routes, Status: msg.CallUnavailable})
	c.Step(now, msg.InstancesRead{Call: targets, Status: msg.CallUnavailable})
	now += 2 * time.Second
	routes, targets = calls() // The latter gets no response.
	c.Step(now, msg.RoutesRead{Call: routes, Sent: now, Table: &msg.RouteTable{Version: 1}})
	_, again := calls()
	is.True(again != 0)
	c.Step(now, msg.InstancesRead{Call: targets, Status: msg.CallUnavailable}) // too late
	c.Step(now, msg.InstancesRead{Call: again, Sent: now, Revision: 1, Instances: twoTargets})
	is.Equal(len(c.instances()), 2)
}

// Tests that a target which was draining before the outage is removed at once.
func TestDrainingTargetIsNotKept(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.list = []msg.Instance{twoTargets[0], {Target: "b", Addr: "2", Draining: true}}
	f.advanceTime(2 * time.Second)
	f.up = false
	f.advanceTime(4 * time.Second)
	f.up = true
	f.list = twoTargets[:1]
	f.advanceTime(time.Second)
	f.is.True(!f.hasTarget("b"))
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.advanceTime(time.Second)
	f.is.Equal(f.routes.Version, uint64(5))
	f.table = &msg.RouteTable{Version: 4}
	f.advanceTime(2 * time.Second)
	f.is.Equal(f.routes.Version, uint64(5))
	before := f.fresh
	f.advanceTime(time.Second)
	f.is.Equal(f.fresh, before) // An old version does not confirm the configuration.
}

// Tests that a response confirms the configuration for the time at which its
// read was sent, since the content may be as old as that.
func TestConfirmationCountsFromSendTime(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.step(msg.RoutesRead{Call: 99, Status: msg.CallOK, Sent: 5 * time.Second, Table: f.table})
	f.is.Equal(f.fresh, msg.Time(0)) // A response to no open call is ignored.
	call := f.c.Step(time.Second, msg.Tick{})[0].(msg.ReadRoutes).Call
	f.now = 3 * time.Second
	f.step(msg.RoutesRead{Call: call, Status: msg.CallOK, Sent: time.Second, Table: f.table})
	f.is.Equal(f.fresh, time.Second)
}

// Tests that reads are made less often while they fail, because the platform
// counts all calls, even those that it refuses.
func TestReadsBackOffDuringOutage(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.up = false
	f.advanceTime(time.Minute)
	f.is.True(f.calls <= 2*(60*1000/600+3))
	f.is.Equal(f.logs, []string{"read from platform failed", "read from platform failed"}) // once for each kind of read
}

// The list is read again at once when it is known to be out of date, but not without pause.
func TestListIsReadAgainWhenTargetIsReplaced(t *testing.T) {
	f := newFakePlatform(t, Config{InstancesInterval: time.Minute, RoutesInterval: time.Minute})
	f.list = []msg.Instance{{Target: "a", StartedMS: 1}}
	f.advanceTime(time.Second)
	f.list = []msg.Instance{{Target: "a", StartedMS: 2}}
	f.step(msg.TargetReplaced{Target: "a"})
	f.advanceTime(100 * time.Millisecond)
	f.is.Equal(f.changed[0].StartedMS, int64(2))
	calls := f.calls
	for range 10 {
		f.step(msg.TargetReplaced{Target: "a"})
		f.advanceTime(rereadInterval / 10)
	}
	f.is.Equal(f.calls, calls+1)
}
