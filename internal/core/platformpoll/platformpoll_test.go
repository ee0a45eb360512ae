package platformpoll

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// world answers a part's reads.
type world struct {
	is  *is.I
	p   *Component
	now msg.Time
	// up says that the platform answers.
	up    bool
	table *msg.RouteTable
	list  []msg.Instance
	rev   msg.Revision
	// changed and routes are the last that the part raised.
	changed []msg.Instance
	routes  *msg.RouteTable
	fresh   msg.Time
	logs    []string
	calls   int
}

func newWorld(t *testing.T, cfg Config) *world {
	return &world{is: is.New(t), p: New(cfg), up: true, table: &msg.RouteTable{Version: 5}, rev: 1}
}

func (w *world) step(ev msg.Event) {
	for _, eff := range w.p.Step(w.now, ev) {
		switch eff := eff.(type) {
		case msg.ReadRoutes:
			w.calls++
			w.step(w.answerRoutes(eff))
		case msg.ReadInstances:
			w.calls++
			w.step(w.answerList(eff))
		case msg.LogLine:
			w.logs = append(w.logs, eff.Text)
		case msg.Raise:
			w.raised(eff.Event)
		}
	}
}

func (w *world) raised(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.InstancesChanged:
		w.changed = ev.Instances
	case msg.RoutesChanged:
		w.routes = ev.Table
	case msg.RoutesConfirmed:
		w.fresh = ev.At
	}
}

func (w *world) answerRoutes(eff msg.ReadRoutes) msg.Event {
	if !w.up {
		return msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: w.now}
	}
	return msg.RoutesRead{Call: eff.Call, Status: msg.CallOK, Sent: w.now, Table: w.table}
}

func (w *world) answerList(eff msg.ReadInstances) msg.Event {
	if !w.up {
		return msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable, Sent: w.now}
	}
	w.rev++
	return msg.InstancesRead{Call: eff.Call, Status: msg.CallOK, Sent: w.now, Revision: w.rev, Instances: w.list}
}

func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += msg.TickInterval
		w.step(msg.Tick{})
	}
}

func (w *world) has(id msg.TargetID) bool {
	for _, in := range w.changed {
		if in.Target == id {
			return true
		}
	}
	return false
}

var two = []msg.Instance{{Target: "a", Addr: "1"}, {Target: "b", Addr: "2"}}

// Reads that are far apart are no outage: a target that leaves is gone with
// the first list that lacks it.
func TestTargetIsGoneAtOnceWithoutOutage(t *testing.T) {
	w := newWorld(t, Config{InstancesEvery: 1600 * time.Millisecond})
	w.list = two
	w.pass(4 * time.Second)
	w.is.True(w.has("b"))
	w.list = two[:1]
	w.pass(1700 * time.Millisecond)
	w.is.True(!w.has("b"))
}

// After an outage an entry that lapsed meanwhile has two seconds to return.
func TestLapsedTargetReturnsOrIsGone(t *testing.T) {
	w := newWorld(t, Config{})
	w.list = two
	w.pass(2 * time.Second)
	w.up = false
	w.pass(4 * time.Second)
	w.up = true
	w.list = two[:1]
	w.pass(1500 * time.Millisecond)
	w.is.True(w.has("b")) // it may have lapsed while the platform was down
	w.list = two
	w.pass(time.Second)
	w.list = two[:1]
	w.pass(1500 * time.Millisecond)
	w.is.True(!w.has("b")) // it had returned: now it has left
}

func TestLapsedTargetThatDoesNotReturnIsGone(t *testing.T) {
	w := newWorld(t, Config{})
	w.list = two
	w.pass(2 * time.Second)
	w.up = false
	w.pass(4 * time.Second)
	w.up = true
	w.list = two[:1]
	w.pass(4 * time.Second)
	w.is.True(!w.has("b"))
}

// A target that was draining before the outage does not come back.
func TestDrainingTargetIsNotKept(t *testing.T) {
	w := newWorld(t, Config{})
	w.list = []msg.Instance{two[0], {Target: "b", Addr: "2", Draining: true}}
	w.pass(2 * time.Second)
	w.up = false
	w.pass(4 * time.Second)
	w.up = true
	w.list = two[:1]
	w.pass(time.Second)
	w.is.True(!w.has("b"))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld(t, Config{})
	w.pass(time.Second)
	w.is.Equal(w.routes.Version, uint64(5))
	w.table = &msg.RouteTable{Version: 4}
	w.pass(2 * time.Second)
	w.is.Equal(w.routes.Version, uint64(5))
	before := w.fresh
	w.pass(time.Second)
	w.is.Equal(w.fresh, before) // an old version confirms nothing
}

// Only the moment at which a read left says how old its answer may be.
func TestFreshnessCountsFromTheSend(t *testing.T) {
	w := newWorld(t, Config{})
	w.step(msg.RoutesRead{Call: 99, Status: msg.CallOK, Sent: 5 * time.Second, Table: w.table})
	w.is.Equal(w.fresh, msg.Time(0)) // an answer to no open call counts for nothing
	call := w.p.Step(time.Second, msg.Tick{})[0].(msg.ReadRoutes).Call
	w.now = 3 * time.Second
	w.step(msg.RoutesRead{Call: call, Status: msg.CallOK, Sent: time.Second, Table: w.table})
	w.is.Equal(w.fresh, time.Second)
}

// Calls are counted by the platform, refused ones too.
func TestReadsBackOffInAnOutage(t *testing.T) {
	w := newWorld(t, Config{})
	w.up = false
	w.pass(time.Minute)
	w.is.True(w.calls <= 2*(60*1000/600+3))
	w.is.Equal(w.logs, []string{"platform lost", "platform lost"}) // once for each read
}
