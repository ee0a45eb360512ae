// Package roles is the part of an entry daemon's reducer that decides which
// engines read prompts and which decode.
//
// An engine that prefills reads prompts twice as fast as one that decodes and
// reads beside it, so as few engines decode as the running streams need, with
// room for the loss of some. The holder of a lease gives the orders, one at a
// time, and leaves an engine alone after an order whose fate is unknown until
// the order can no longer be applied.
package roles

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const partName = "roles"

// LeaseName is the lease under which orders are given.
const LeaseName msg.LeaseName = "roles"

const (
	// slotFill and memoryFill are the parts of a decoding engine's slots and
	// memory that running streams may take: cached prompts need the rest.
	slotFill   = 0.6
	memoryFill = 0.5
	// demandWeight is the weight of a fall in demand; a rise counts at once.
	demandWeight = 0.02
	// slack is the number of engines by which demand may be missed before
	// another order is given.
	slack = 1
	// changeTime is how long an engine takes no requests for an order whose
	// fate is not known, and changeMost for one that it follows: its streams
	// end first, and the list tells of the change late.
	changeTime = 3500 * time.Millisecond
	changeMost = 12 * time.Second
	// lateOrder is how long an order without an answer may still be applied.
	lateOrder = 13 * time.Second
	// settleTime is how long an engine is left alone after an order.
	settleTime = 6 * time.Second
	// changeEvery is the least time between two decisions once the service
	// runs as planned.
	changeEvery = time.Second
)

// Config configures the part.
type Config struct {
	Self   msg.HostID
	Policy Policy
}

// Policy holds the figures of decisions that experiments vary. Zeros stand for
// the defaults.
type Policy struct {
	// DecodeShare is the least part of a service's engines that decodes: the
	// loss of a few must leave some.
	DecodeShare float64 `yaml:"decode_share" validate:"min=0,max=1"`
	// LeastDecoding is the number of engines that decode at the least.
	LeastDecoding int `yaml:"least_decoding" validate:"min=0"`
}

const (
	defaultDecodeShare   = 0.2
	defaultLeastDecoding = 4
)

func (p Policy) withDefaults() Policy {
	p.DecodeShare = cmp.Or(p.DecodeShare, defaultDecodeShare)
	p.LeastDecoding = cmp.Or(p.LeastDecoding, defaultLeastDecoding)
	return p
}

// Controller is the roles part.
type Controller struct {
	cfg      Config
	engines  map[msg.ServiceID]*msg.EngineSpec
	services map[msg.ServiceID][]msg.Instance
	demand   map[msg.ServiceID]*demand
	// leave holds until when an engine gets no order.
	leave map[msg.TargetID]msg.Time

	lease    lease.Authority
	decideAt msg.Time

	lastCall msg.CallID
	open     bool
	ordered  msg.TargetID
	role     msg.Role
	// told holds the roles that engines were told and the list does not show
	// yet, and until when they count.
	told map[msg.TargetID]toldRole
}

type toldRole struct {
	role  msg.Role
	until msg.Time
}

// demand is what a service's engines decode, weighted over time.
type demand struct{ streams, tokens float64 }

// New returns the part.
func New(cfg Config) *Controller {
	cfg.Policy = cfg.Policy.withDefaults()
	return &Controller{
		cfg:      cfg,
		engines:  make(map[msg.ServiceID]*msg.EngineSpec),
		services: make(map[msg.ServiceID][]msg.Instance),
		demand:   make(map[msg.ServiceID]*demand),
		leave:    make(map[msg.TargetID]msg.Time),
		told:     make(map[msg.TargetID]toldRole),
	}
}

// Step implements the reducer's part.
func (p *Controller) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		return []msg.Effect{msg.Raise{Event: msg.LeaseRequested{Name: LeaseName, Want: true}}}
	case msg.RoutesChanged:
		p.onRoutes(ev)
	case msg.InstancesChanged:
		p.onInstances(ev)
	case msg.DecodeDemandUpdated:
		p.onDemand(ev)
	case msg.LeaseChanged:
		p.onLease(ev)
	case msg.RoleChangeDone:
		return p.onOrdered(now, ev)
	case msg.Tick:
		return p.onTick(now)
	}
	return nil
}

func (p *Controller) onRoutes(ev msg.RoutesChanged) {
	p.engines = make(map[msg.ServiceID]*msg.EngineSpec)
	for _, s := range ev.Table.Services {
		if s.Engine != nil {
			p.engines[s.Service] = s.Engine
		}
	}
}

func (p *Controller) onInstances(ev msg.InstancesChanged) {
	p.services = make(map[msg.ServiceID][]msg.Instance)
	for _, in := range ev.Instances {
		if !in.Draining && in.Role != msg.RoleMixed {
			p.services[in.Service] = append(p.services[in.Service], in)
		}
	}
}

func (p *Controller) onDemand(ev msg.DecodeDemandUpdated) {
	d := p.demand[ev.Service]
	if d == nil {
		d = &demand{}
		p.demand[ev.Service] = d
	}
	d.streams = follow(d.streams, float64(ev.Streams))
	d.tokens = follow(d.tokens, float64(ev.Tokens))
}

// follow takes a rise at once and a fall slowly.
func follow(old, v float64) float64 {
	if v > old {
		return v
	}
	return old + demandWeight*(v-old)
}

func (p *Controller) onLease(ev msg.LeaseChanged) {
	if ev.Name != LeaseName {
		return
	}
	p.lease.Update(ev)
}

func (p *Controller) onTick(now msg.Time) []msg.Effect {
	if !p.lease.Valid(now) || now < p.decideAt || p.open {
		return nil
	}
	p.decideAt = now + changeEvery/4
	for _, id := range slices.Sorted(maps.Keys(p.services)) {
		if effs := p.decide(now, id); effs != nil {
			return effs
		}
	}
	return nil
}

// decide orders one engine of a service to change where that brings the
// number of those that decode nearer to what is needed.
func (p *Controller) decide(now msg.Time, id msg.ServiceID) []msg.Effect {
	spec := p.engines[id]
	list := p.assumed(now, id)
	if spec == nil || len(list) < 2 {
		return nil
	}
	decoding := countDecoding(list)
	want := p.wanted(spec, id, list)
	role := msg.RolePrefill
	switch {
	case decoding > want && p.decodingNow(id) > want:
	case decoding < want-slack, decoding < want && decoding < p.cfg.Policy.LeastDecoding:
		role = msg.RoleDecode
	default:
		return nil
	}
	in, ok := p.choose(now, list, role)
	if !ok {
		return nil
	}
	return p.order(now, in, role, decoding, want)
}

func countDecoding(list []msg.Instance) int {
	n := 0
	for _, in := range list {
		if in.Role == msg.RoleDecode {
			n++
		}
	}
	return n
}

// decodingNow counts the engines that decode and were not told otherwise.
// Those that are still to become such don't help yet.
func (p *Controller) decodingNow(id msg.ServiceID) int {
	n := 0
	for _, in := range p.services[id] {
		if t, ok := p.told[in.Target]; in.Role == msg.RoleDecode && (!ok || t.role == msg.RoleDecode) {
			n++
		}
	}
	return n
}

// assumed lists a service's engines with the roles that they were told.
func (p *Controller) assumed(now msg.Time, id msg.ServiceID) []msg.Instance {
	list := slices.Clone(p.services[id])
	for i := range list {
		t, ok := p.told[list[i].Target]
		switch {
		case ok && (now >= t.until || list[i].Role == t.role):
			delete(p.told, list[i].Target)
		case ok:
			list[i].Role = t.role
		}
	}
	return list
}

// wanted is the number of engines that are to decode.
func (p *Controller) wanted(spec *msg.EngineSpec, id msg.ServiceID, list []msg.Instance) int {
	need := math.Ceil(p.cfg.Policy.DecodeShare * float64(len(list)))
	if d := p.demand[id]; d != nil {
		need = max(need, math.Ceil(d.streams/(slotFill*float64(max(spec.Slots, 1)))))
		need = max(need, math.Ceil(d.tokens/(memoryFill*float64(max(spec.CacheTokens, 1)))))
	}
	return min(max(int(need), p.cfg.Policy.LeastDecoding), len(list)-1)
}

// choose picks an engine to change to a role: one of the failure domain that
// has most of the other role.
func (p *Controller) choose(now msg.Time, list []msg.Instance, role msg.Role) (msg.Instance, bool) {
	count := make(map[msg.FailureDomain]int)
	var free []msg.Instance
	for _, in := range list {
		if in.Role == role {
			continue
		}
		count[in.Domain]++
		if now >= p.leave[in.Target] {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return msg.Instance{}, false
	}
	return slices.MinFunc(free, func(a, b msg.Instance) int {
		return cmp.Or(cmp.Compare(count[b.Domain], count[a.Domain]), cmp.Compare(a.Target, b.Target))
	}), true
}

func (p *Controller) order(now msg.Time, in msg.Instance, role msg.Role, decoding, want int) []msg.Effect {
	p.lastCall++
	p.open = true
	p.ordered = in.Target
	p.role = role
	p.leave[in.Target] = now + settleTime
	return []msg.Effect{
		msg.Raise{Event: msg.RoleChangePending{Target: in.Target, Role: role, MaxDuration: changeTime}},
		msg.ChangeRole{
			Call: p.lastCall, Target: in.Target, Addr: in.Addr, Role: role,
			Holder: p.cfg.Self, Epoch: p.lease.Epoch, NotAfter: p.lease.Until,
		},
		msg.LogLine{Component: partName, Text: "role change ordered", Attrs: []msg.Attr{
			{Key: "target", Value: string(in.Target)},
			{Key: "role", Value: role.String()},
			{Key: "epoch", Value: strconv.FormatUint(uint64(p.lease.Epoch), 10)},
			{Key: "decoding", Value: strconv.Itoa(decoding)},
			{Key: "wanted", Value: strconv.Itoa(want)},
		}},
	}
}

func (p *Controller) onOrdered(now msg.Time, ev msg.RoleChangeDone) []msg.Effect {
	if ev.Call != p.lastCall {
		return nil
	}
	p.open = false
	changing := msg.RoleChangePending{Target: p.ordered, Role: p.role}
	// The list shows the new role only when the change is over.
	switch ev.Status {
	case msg.OrderDone:
		changing.MaxDuration = changeMost
		p.told[p.ordered] = toldRole{p.role, now + changeMost}
	case msg.OrderUnknown:
		changing.MaxDuration = changeTime
		p.leave[p.ordered] = now + lateOrder
		p.told[p.ordered] = toldRole{p.role, now + lateOrder}
	}
	return []msg.Effect{msg.Raise{Event: changing}, msg.LogLine{Component: partName, Text: "role change answered", Attrs: []msg.Attr{
		{Key: "target", Value: string(p.ordered)},
		{Key: "status", Value: ev.Status.String()},
		{Key: "reason", Value: ev.Reason},
	}}}
}
