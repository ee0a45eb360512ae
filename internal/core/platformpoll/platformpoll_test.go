package platformpoll

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fakePlatform runs a component and answers its reads.
type fakePlatform struct {
	is  *is.I
	c   *Component
	now msg.Time
	// up reports whether the platform answers.
	up    bool
	table *msg.RouteTable
	list  []msg.Instance
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
	return &fakePlatform{is: is.New(t), c: New(cfg), up: true, table: &msg.RouteTable{Version: 5}, rev: 1}
}

func (w *fakePlatform) step(ev msg.Event) {
	for _, eff := range w.c.Step(w.now, ev) {
		switch eff := eff.(type) {
		case msg.ReadRoutes:
			w.calls++
			w.step(w.readRoutes(eff))
		case msg.ReadInstances:
			w.calls++
			w.step(w.readInstances(eff))
		case msg.LogLine:
			w.logs = append(w.logs, eff.Text)
		case msg.Raise:
			w.onRaised(eff.Event)
		}
	}
}

func (w *fakePlatform) onRaised(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.InstancesChanged:
		w.changed = ev.Instances
	case msg.RoutesChanged:
		w.routes = ev.Table
	case msg.RoutesConfirmed:
		w.fresh = ev.At
	}
}

func (w *fakePlatform) readRoutes(eff msg.ReadRoutes) msg.Event {
	if !w.up {
		return msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: w.now}
	}
	return msg.RoutesRead{Call: eff.Call, Status: msg.CallOK, Sent: w.now, Table: w.table}
}

func (w *fakePlatform) readInstances(eff msg.ReadInstances) msg.Event {
	if !w.up {
		return msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: w.now}
	}
	w.rev++
	return msg.InstancesRead{Call: eff.Call, Status: msg.CallOK, Sent: w.now, Revision: w.rev, Instances: w.list}
}

func (w *fakePlatform) advanceTime(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += msg.TickInterval
		w.step(msg.Tick{})
	}
}

func (w *fakePlatform) hasTarget(id msg.TargetID) bool {
	for _, in := range w.changed {
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
	w := newFakePlatform(t, Config{InstancesEvery: 1600 * time.Millisecond})
	w.list = twoTargets
	w.advanceTime(4 * time.Second)
	w.is.True(w.hasTarget("b"))
	w.list = twoTargets[:1]
	w.advanceTime(1700 * time.Millisecond)
	w.is.True(!w.hasTarget("b"))
}

// Tests that a target whose entry expired during an outage has two seconds to
// register again.
func TestExpiredTargetMayRegisterAgain(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.list = twoTargets
	w.advanceTime(2 * time.Second)
	w.up = false
	w.advanceTime(4 * time.Second)
	w.up = true
	w.list = twoTargets[:1]
	w.advanceTime(1500 * time.Millisecond)
	w.is.True(w.hasTarget("b")) // The entry may have expired while the platform was down.
	w.list = twoTargets
	w.advanceTime(time.Second)
	w.list = twoTargets[:1]
	w.advanceTime(1500 * time.Millisecond)
	w.is.True(!w.hasTarget("b")) // The target had registered again and has now left.
}

func TestExpiredTargetIsRemovedAfterGracePeriod(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.list = twoTargets
	w.advanceTime(2 * time.Second)
	w.up = false
	w.advanceTime(4 * time.Second)
	w.up = true
	w.list = twoTargets[:1]
	w.advanceTime(4 * time.Second)
	w.is.True(!w.hasTarget("b"))
}

// Tests that a target which was draining before the outage is removed at once.
func TestDrainingTargetIsNotKept(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.list = []msg.Instance{twoTargets[0], {Target: "b", Addr: "2", Draining: true}}
	w.advanceTime(2 * time.Second)
	w.up = false
	w.advanceTime(4 * time.Second)
	w.up = true
	w.list = twoTargets[:1]
	w.advanceTime(time.Second)
	w.is.True(!w.hasTarget("b"))
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.advanceTime(time.Second)
	w.is.Equal(w.routes.Version, uint64(5))
	w.table = &msg.RouteTable{Version: 4}
	w.advanceTime(2 * time.Second)
	w.is.Equal(w.routes.Version, uint64(5))
	before := w.fresh
	w.advanceTime(time.Second)
	w.is.Equal(w.fresh, before) // An old version does not confirm the configuration.
}

// Tests that a response is taken to be as old as its request, since only the
// time at which a read was sent limits how old its response may be.
func TestConfirmationCountsFromSendTime(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.step(msg.RoutesRead{Call: 99, Status: msg.CallOK, Sent: 5 * time.Second, Table: w.table})
	w.is.Equal(w.fresh, msg.Time(0)) // A response to no open call is ignored.
	call := w.c.Step(time.Second, msg.Tick{})[0].(msg.ReadRoutes).Call
	w.now = 3 * time.Second
	w.step(msg.RoutesRead{Call: call, Status: msg.CallOK, Sent: time.Second, Table: w.table})
	w.is.Equal(w.fresh, time.Second)
}

// Tests that failed reads back off: the platform counts all calls, also those
// that it refuses.
func TestReadsBackOffDuringOutage(t *testing.T) {
	w := newFakePlatform(t, Config{})
	w.up = false
	w.advanceTime(time.Minute)
	w.is.True(w.calls <= 2*(60*1000/600+3))
	w.is.Equal(w.logs, []string{"read from platform failed", "read from platform failed"}) // once for each kind of read
}
