package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// world is the part with a service of engines that follow their orders.
type world struct {
	is     *is.I
	p      *Controller
	now    msg.Time
	list   []msg.Instance
	orders []msg.ChangeRole
	// status is the answer to orders.
	status msg.OrderStatus
	// stubborn engines do not follow.
	stubborn bool
}

func newWorld(t *testing.T, engines int) *world {
	w := &world{is: is.New(t), p: New(Config{Self: "entry-1"})}
	for i := range engines {
		w.list = append(w.list, msg.Instance{
			Target: msg.TargetID(fmt.Sprintf("e%02d", i)), Service: "llm",
			Domain: msg.FailureDomain(fmt.Sprint("d", i%3)), Role: msg.RoleDecode,
		})
	}
	w.step(msg.Started{})
	w.step(msg.RoutesChanged{Table: &msg.RouteTable{Services: []msg.DirectService{{Service: "llm", Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 500_000}}}}})
	w.relist()
	return w
}

func (w *world) step(ev msg.Event) {
	for _, eff := range w.p.Step(w.now, ev) {
		order, ok := eff.(msg.ChangeRole)
		if !ok {
			continue
		}
		w.orders = append(w.orders, order)
		for i := range w.list {
			if w.list[i].Target == order.Target && !w.stubborn {
				w.list[i].Role = order.Role
			}
		}
		w.step(msg.RoleChangeDone{Call: order.Call, Status: w.status})
	}
}

func (w *world) relist() {
	w.step(msg.InstancesChanged{Instances: append([]msg.Instance(nil), w.list...)})
}

func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		w.relist()
		w.step(msg.Tick{})
	}
}

func (w *world) hold() {
	w.step(msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: 3, Until: w.now + time.Hour})
}

func (w *world) decoding() int {
	n := 0
	for _, in := range w.list {
		if in.Role == msg.RoleDecode {
			n++
		}
	}
	return n
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	w := newWorld(t, 18)
	w.pass(5 * time.Second)
	w.is.Equal(len(w.orders), 0)
	w.hold()
	w.step(msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: 3, Until: w.now})
	w.pass(5 * time.Second)
	w.is.Equal(len(w.orders), 0) // it is over
}

// As few engines decode as running streams need, at least four and a fifth.
func TestWantedEngines(t *testing.T) {
	for engines, want := range map[int]int{2: 1, 5: 4, 18: 4, 53: 11} {
		w := newWorld(t, engines)
		w.hold()
		w.pass(time.Minute)
		w.is.Equal(w.decoding(), want)
	}
}

func TestDemandBringsEnginesBack(t *testing.T) {
	w := newWorld(t, 18)
	w.hold()
	w.pass(20 * time.Second)
	w.step(msg.DecodeDemandUpdated{Service: "llm", Streams: 300, Tokens: 10_000})
	w.pass(20 * time.Second)
	w.is.Equal(w.decoding(), 7) // 300 streams at 38 for each engine are 8; one less is borne
	orders := len(w.orders)
	w.pass(30 * time.Second)
	w.is.Equal(len(w.orders), orders) // and stays so
}

// The loss of decoding engines is made good at once.
func TestLostEnginesAreReplaced(t *testing.T) {
	w := newWorld(t, 18)
	w.hold()
	w.pass(20 * time.Second)
	kept := w.list[:0]
	gone := 0
	for _, in := range w.list {
		if in.Role == msg.RoleDecode && gone < 3 {
			gone++
			continue
		}
		kept = append(kept, in)
	}
	w.list = kept
	w.pass(2 * time.Second)
	w.is.Equal(w.decoding(), 4)
}

// An order whose fate is unknown may still be applied: the engine is left
// alone for that long.
func TestUnknownFateLeavesTheEngineAlone(t *testing.T) {
	w := newWorld(t, 6)
	w.stubborn = true
	w.status = msg.OrderUnknown
	w.hold()
	w.pass(lateOrder - time.Second)
	seen := map[msg.TargetID]int{}
	for _, o := range w.orders {
		seen[o.Target]++
		w.is.Equal(seen[o.Target], 1)
	}
	w.is.True(len(w.orders) > 0)
}

// An engine that is still to become one that decodes makes none superfluous
// that does.
func TestEnginesToComeReplaceNone(t *testing.T) {
	w := newWorld(t, 18)
	w.hold()
	w.pass(20 * time.Second) // four decode
	w.stubborn = true        // changes take long
	var lost, back []msg.Instance
	for _, in := range w.list {
		if in.Role == msg.RoleDecode && len(lost) < 2 {
			lost = append(lost, in)
			continue
		}
		back = append(back, in)
	}
	all := w.list
	w.list = back
	w.pass(2 * time.Second)
	w.is.True(len(w.orders) > 0)
	w.is.Equal(w.orders[len(w.orders)-1].Role, msg.RoleDecode)
	orders := len(w.orders)
	w.list = all // the lost ones start again, and decode
	w.pass(2 * time.Second)
	w.is.Equal(len(w.orders), orders)
}

// Requests stay away from an engine for as long as its order may take.
func TestOrderTellsHowLongAnEngineIsAway(t *testing.T) {
	for status, want := range map[msg.OrderStatus]time.Duration{
		msg.OrderDone: changeMost, msg.OrderUnknown: changeTime, msg.OrderBusy: 0, msg.OrderFailed: 0,
	} {
		w := newWorld(t, 18)
		w.hold()
		effs := w.p.Step(w.now, msg.Tick{})
		first := effs[0].(msg.Raise).Event.(msg.RoleChangePending)
		w.is.Equal(first.Role, msg.RolePrefill)
		w.is.Equal(first.MaxDuration, changeTime)
		order := effs[1].(msg.ChangeRole)
		effs = w.p.Step(w.now, msg.RoleChangeDone{Call: order.Call, Status: status})
		after := effs[0].(msg.Raise).Event.(msg.RoleChangePending)
		w.is.Equal(after, msg.RoleChangePending{Target: order.Target, Role: msg.RolePrefill, MaxDuration: want})
	}
}

// Engines of all failure domains go on decoding.
func TestDomainsAreSpread(t *testing.T) {
	w := newWorld(t, 18)
	w.hold()
	w.pass(20 * time.Second)
	domains := map[msg.FailureDomain]int{}
	for _, in := range w.list {
		if in.Role == msg.RoleDecode {
			domains[in.Domain]++
		}
	}
	w.is.Equal(len(domains), 3)
}
