package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// cluster is a controller and a service whose engines execute its orders.
type cluster struct {
	is         *is.I
	controller *Controller
	now        msg.Time
	instances  []msg.Instance
	orders     []msg.ChangeRole
	// orderStatus is the result of each order.
	orderStatus msg.OrderStatus
	// ignoreOrders makes the engines keep their role.
	ignoreOrders bool
}

func newCluster(t *testing.T, engines int) *cluster {
	cl := &cluster{is: is.New(t), controller: New(Config{Self: "entry-1"})}
	for i := range engines {
		cl.instances = append(cl.instances, msg.Instance{
			Target: msg.TargetID(fmt.Sprintf("e%02d", i)), Service: "llm",
			Domain: msg.FailureDomain(fmt.Sprint("d", i%3)), Role: msg.RoleDecode,
		})
	}
	cl.step(msg.Started{})
	cl.step(msg.RoutesChanged{Table: &msg.RouteTable{Services: []msg.DirectService{{Service: "llm", Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 500_000}}}}})
	cl.publishInstances()
	return cl
}

func (cl *cluster) step(ev msg.Event) {
	for _, eff := range cl.controller.Step(cl.now, ev) {
		order, ok := eff.(msg.ChangeRole)
		if !ok {
			continue
		}
		cl.orders = append(cl.orders, order)
		for i := range cl.instances {
			if cl.instances[i].Target == order.Target && !cl.ignoreOrders {
				cl.instances[i].Role = order.Role
			}
		}
		cl.step(msg.RoleChangeDone{Call: order.Call, Status: cl.orderStatus})
	}
}

func (cl *cluster) publishInstances() {
	cl.step(msg.InstancesChanged{Instances: append([]msg.Instance(nil), cl.instances...)})
}

func (cl *cluster) advance(d time.Duration) {
	for end := cl.now + d; cl.now < end; {
		cl.now += 100 * time.Millisecond
		cl.publishInstances()
		cl.step(msg.Tick{})
	}
}

func (cl *cluster) grantLease() {
	cl.step(msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: 3, Until: cl.now + time.Hour})
}

func (cl *cluster) countDecoding() int {
	n := 0
	for _, in := range cl.instances {
		if in.Role == msg.RoleDecode {
			n++
		}
	}
	return n
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	cl := newCluster(t, 18)
	cl.advance(5 * time.Second)
	cl.is.Equal(len(cl.orders), 0)
	cl.grantLease()
	cl.step(msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: 3, Until: cl.now})
	cl.advance(5 * time.Second)
	cl.is.Equal(len(cl.orders), 0) // the lease has expired
}

// Without demand, a fifth of the engines decode and at least four, but never
// all of them.
func TestMinimumNumberOfDecodeEngines(t *testing.T) {
	for engines, want := range map[int]int{2: 1, 5: 4, 18: 4, 53: 11} {
		cl := newCluster(t, engines)
		cl.grantLease()
		cl.advance(time.Minute)
		cl.is.Equal(cl.countDecoding(), want)
	}
}

// report reports a demand for some time, at the interval at which it is measured.
func (cl *cluster) report(streams int, d time.Duration) {
	for end := cl.now + d; cl.now < end; {
		cl.step(msg.DecodeDemandUpdated{Service: "llm", Streams: streams, Tokens: 10_000})
		cl.advance(500 * time.Millisecond)
	}
}

func TestDemandIncreasesDecodeEngines(t *testing.T) {
	cl := newCluster(t, 18)
	cl.grantLease()
	cl.advance(20 * time.Second)
	cl.report(300, 20*time.Second)
	cl.is.Equal(cl.countDecoding(), 7) // 300 streams at 38 per engine need 8; one may be missing
	orders := len(cl.orders)
	cl.report(300, 30*time.Second)
	cl.is.Equal(len(cl.orders), orders) // the number is stable
}

// Short streams come in spikes. An engine that changes its role for one does neither work
// for seconds.
func TestSpikesTurnNoEngines(t *testing.T) {
	cl := newCluster(t, 18)
	cl.grantLease()
	cl.advance(20 * time.Second)
	orders := len(cl.orders)
	for range 20 {
		cl.report(300, 500*time.Millisecond)
		cl.report(40, 4*time.Second)
	}
	cl.is.Equal(len(cl.orders), orders)
}

// When decode engines are lost, others are ordered to decode within two
// seconds.
func TestLostDecodeEnginesAreReplaced(t *testing.T) {
	cl := newCluster(t, 18)
	cl.grantLease()
	cl.advance(20 * time.Second)
	kept := cl.instances[:0]
	gone := 0
	for _, in := range cl.instances {
		if in.Role == msg.RoleDecode && gone < 3 {
			gone++
			continue
		}
		kept = append(kept, in)
	}
	cl.instances = kept
	cl.advance(2 * time.Second)
	cl.is.Equal(cl.countDecoding(), 4)
}

// An order whose result is unknown may still be applied, so the engine gets no
// other order during that time.
func TestUnknownOrderResultBlocksFurtherOrders(t *testing.T) {
	cl := newCluster(t, 6)
	cl.ignoreOrders = true
	cl.orderStatus = msg.OrderUnknown
	cl.grantLease()
	cl.advance(lateOrderWindow - time.Second)
	seen := map[msg.TargetID]int{}
	for _, o := range cl.orders {
		seen[o.Target]++
		cl.is.Equal(seen[o.Target], 1)
	}
	cl.is.True(len(cl.orders) > 0)
}

// An engine that is still changing to decode does not cause one that decodes
// to be changed to prefill.
func TestChangingEnginesDoNotReplaceDecodeEngines(t *testing.T) {
	cl := newCluster(t, 18)
	cl.grantLease()
	cl.advance(20 * time.Second) // four engines decode
	cl.ignoreOrders = true       // changes take a long time
	var lost, back []msg.Instance
	for _, in := range cl.instances {
		if in.Role == msg.RoleDecode && len(lost) < 2 {
			lost = append(lost, in)
			continue
		}
		back = append(back, in)
	}
	all := cl.instances
	cl.instances = back
	cl.advance(2 * time.Second)
	cl.is.True(len(cl.orders) > 0)
	cl.is.Equal(cl.orders[len(cl.orders)-1].Role, msg.RoleDecode)
	orders := len(cl.orders)
	cl.instances = all // the lost engines are back and decode
	cl.advance(2 * time.Second)
	cl.is.Equal(len(cl.orders), orders)
}

// An engine is sent no requests for as long as the change that it was ordered to
// make may take.
func TestRoleChangePendingHasMaxDuration(t *testing.T) {
	for status, want := range map[msg.OrderStatus]time.Duration{
		msg.OrderDone: maxChangeTime, msg.OrderUnknown: unknownChangeTime, msg.OrderBusy: 0, msg.OrderFailed: 0,
	} {
		cl := newCluster(t, 18)
		cl.grantLease()
		effs := cl.controller.Step(cl.now, msg.Tick{})
		first := effs[0].(msg.Raise).Event.(msg.RoleChangePending)
		cl.is.Equal(first.Role, msg.RolePrefill)
		cl.is.Equal(first.MaxDuration, unknownChangeTime)
		order := effs[1].(msg.ChangeRole)
		effs = cl.controller.Step(cl.now, msg.RoleChangeDone{Call: order.Call, Status: status})
		after := effs[0].(msg.Raise).Event.(msg.RoleChangePending)
		cl.is.Equal(after, msg.RoleChangePending{Target: order.Target, Role: msg.RolePrefill, MaxDuration: want})
	}
}

// In each failure domain some engines continue to decode.
func TestDecodeEnginesAreSpreadOverDomains(t *testing.T) {
	cl := newCluster(t, 18)
	cl.grantLease()
	cl.advance(20 * time.Second)
	domains := map[msg.FailureDomain]int{}
	for _, in := range cl.instances {
		if in.Role == msg.RoleDecode {
			domains[in.Domain]++
		}
	}
	cl.is.Equal(len(domains), 3)
}

// Engines that have crashed stay in the list while the store is away.
func TestUnreachableEnginesDoNotCountAsDecoding(t *testing.T) {
	cl := newCluster(t, 8)
	for _, in := range cl.instances[:4] {
		cl.step(msg.TargetReachable{Target: in.Target})
	}
	cl.advance(unreachableGrace)
	cl.grantLease()
	cl.advance(time.Minute)
	for _, o := range cl.orders {
		cl.is.True(o.Target >= "e04") // no orders to engines that are down
	}
	cl.is.Equal(cl.countDecoding(), 4+3) // at most all but one of those that are left
}

// A stream can go on only at the software version that began it.
func TestEachVersionKeepsDecodeEngines(t *testing.T) {
	for _, newer := range []int{1, 2, 3, 9, 15, 17} {
		cl := newCluster(t, 18)
		cl.grantLease()
		cl.advance(time.Minute)
		for i := range newer {
			cl.instances[i].Version = "v2"
		}
		cl.advance(time.Minute)
		decoding := make(map[string]int)
		for _, in := range cl.instances {
			if in.Role == msg.RoleDecode {
				decoding[in.Version]++
			}
		}
		cl.is.True(decoding["v2"] >= min(newer-1, 2))
		cl.is.True(decoding[""] >= min(18-newer-1, 2))
		cl.is.True(cl.countDecoding() <= 5)
	}
}
