// Package roles implements the reducer component of an entry daemon that
// decides which engines prefill prompts and which decode.
//
// A prefill engine processes prompts twice as fast as a decode engine that
// prefills and decodes at the same time. Therefore only as many engines decode
// as the running streams need, plus spare ones in case some fail. The holder of
// the roles lease orders engines to change their roles, one at a time. After an
// order whose result is unknown, it sends the engine no other order until the
// first one can no longer be applied.
package roles

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const componentName = "roles"

// LeaseName is the name of the lease under which role changes are ordered.
const LeaseName msg.LeaseName = "roles"

const (
	// maxStreamSlotShare and maxStreamCacheShare are the shares of a decode
	// engine's slots and KV cache that running streams may take. Cached prompts
	// need the rest.
	maxStreamSlotShare  = 0.6
	maxStreamCacheShare = 0.5
	// demandRiseWeight and demandFallWeight are the weights of a new demand in the moving
	// average, if it is higher or lower.
	demandRiseWeight = 0.1
	demandFallWeight = 0.02
	// demandSlack is the number of decode engines that may be missing before
	// another engine is ordered to decode.
	demandSlack = 1
	// unknownChangeTime is how long an engine is sent no requests because of an
	// order whose result is not known or not known yet. maxChangeTime is how long
	// it is sent none, at most, because of an order that it accepted: its running
	// streams end first, and the list of instances shows the new role with a
	// delay.
	unknownChangeTime = 3500 * time.Millisecond
	maxChangeTime     = 12 * time.Second
	// lateOrderWindow is how long an engine may still apply an order to which it
	// has not responded.
	lateOrderWindow = 13 * time.Second
	// unreachableGrace is how long an engine may accept no connections and still count.
	// A busy engine turns some away.
	unreachableGrace = 400 * time.Millisecond
	// orderCooldown is the shortest time between two orders to one engine.
	orderCooldown = 6 * time.Second
	// A quarter of decisionInterval is the minimum time between two decisions.
	decisionInterval = time.Second
)

// Config configures a [Controller].
type Config struct {
	Self   msg.HostID
	Policy Policy
}

// Policy holds the parameters of role decisions that experiments vary. A zero
// value selects the default.
type Policy struct {
	// DecodeShare is the minimum share of a service's engines that decode, so
	// that some remain after the loss of a few.
	DecodeShare float64 `yaml:"decode_share" validate:"min=0,max=1"`
	// MinDecoding is the minimum number of engines that decode.
	MinDecoding int `yaml:"least_decoding" validate:"min=0"`
}

const (
	defaultDecodeShare = 0.2
	defaultMinDecoding = 4
)

func (p Policy) withDefaults() Policy {
	p.DecodeShare = cmp.Or(p.DecodeShare, defaultDecodeShare)
	p.MinDecoding = cmp.Or(p.MinDecoding, defaultMinDecoding)
	return p
}

// Controller is the reducer component that assigns the roles of engines.
type Controller struct {
	cfg      Config
	engines  map[msg.ServiceID]*msg.EngineSpec
	services map[msg.ServiceID][]msg.Instance
	// unreachable holds the engines that are listed, but accept no connections, and
	// since when.
	unreachable map[msg.TargetID]msg.Time
	// limited holds the targets that name limits of requests per second.
	limited []msg.TargetID
	demand  map[msg.ServiceID]*decodeDemand
	// noOrderBefore holds, for each engine, the time before which it gets no
	// order.
	noOrderBefore map[msg.TargetID]msg.Time

	lease        lease.Authority
	nextDecision msg.Time

	lastCall msg.CallID
	// orderOpen is set while the result of the last order is outstanding.
	// orderedTarget and orderedRole are the target and role of that order.
	orderOpen     bool
	orderedTarget msg.TargetID
	orderedRole   msg.Role
	// expected holds the roles that engines were ordered to take and that the
	// list of instances does not show yet.
	expected map[msg.TargetID]expectedRole
}

// New returns a controller.
func New(cfg Config) *Controller {
	cfg.Policy = cfg.Policy.withDefaults()
	return &Controller{
		cfg:           cfg,
		engines:       make(map[msg.ServiceID]*msg.EngineSpec),
		services:      make(map[msg.ServiceID][]msg.Instance),
		unreachable:   make(map[msg.TargetID]msg.Time),
		demand:        make(map[msg.ServiceID]*decodeDemand),
		noOrderBefore: make(map[msg.TargetID]msg.Time),
		expected:      make(map[msg.TargetID]expectedRole),
	}
}

// Step implements reducer.Component.
func (c *Controller) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		return []msg.Effect{msg.Raise{Event: msg.LeaseRequested{Name: LeaseName, Want: true}}}
	case msg.RoutesChanged:
		c.onRoutesChanged(ev)
	case msg.InstancesChanged:
		c.onInstancesChanged(ev)
	case msg.TargetReachable:
		c.onReachable(now, ev)
	case msg.TargetsLimited:
		c.limited = ev.Targets
	case msg.DecodeDemandUpdated:
		c.onDemandUpdated(ev)
	case msg.LeaseChanged:
		c.onLeaseChanged(ev)
	case msg.RoleChangeDone:
		return c.onRoleChangeDone(now, ev)
	case msg.Tick:
		return c.onTick(now)
	}
	return nil
}

func (c *Controller) onRoutesChanged(ev msg.RoutesChanged) {
	c.engines = make(map[msg.ServiceID]*msg.EngineSpec)
	for _, s := range ev.Table.Services {
		if s.Engine != nil {
			c.engines[s.Service] = s.Engine
		}
	}
}

func (c *Controller) onInstancesChanged(ev msg.InstancesChanged) {
	c.services = make(map[msg.ServiceID][]msg.Instance)
	listed := make(map[msg.TargetID]bool, len(ev.Instances))
	for _, in := range ev.Instances {
		listed[in.Target] = true
		if !in.Draining && in.Role != msg.RoleMixed {
			c.services[in.Service] = append(c.services[in.Service], in)
		}
	}
	maps.DeleteFunc(c.unreachable, func(id msg.TargetID, _ msg.Time) bool { return !listed[id] })
}

// onReachable records an engine that has gone down, or is back. The list shows the
// former for some time, and during an outage of the store for all of it.
func (c *Controller) onReachable(now msg.Time, ev msg.TargetReachable) {
	if ev.Reachable {
		delete(c.unreachable, ev.Target)
		return
	}
	c.unreachable[ev.Target] = now
}

// available returns the engines of a service on which its roles are based: those that
// are reachable and take any number of requests. A limited engine keeps its role, and
// what it takes comes on top. If less than two engines are left, the limited ones count.
func (c *Controller) available(now msg.Time, id msg.ServiceID) []msg.Instance {
	down := func(in msg.Instance) bool {
		since, ok := c.unreachable[in.Target]
		return ok && now-since >= unreachableGrace
	}
	limited := func(in msg.Instance) bool { return slices.Contains(c.limited, in.Target) }
	reachable := slices.DeleteFunc(slices.Clone(c.services[id]), down)
	unlimited := slices.DeleteFunc(slices.Clone(reachable), limited)
	if len(unlimited) < 2 {
		return reachable
	}
	return unlimited
}

func (c *Controller) onLeaseChanged(ev msg.LeaseChanged) {
	if ev.Name != LeaseName {
		return
	}
	c.lease.Update(ev)
}

func (c *Controller) onTick(now msg.Time) []msg.Effect {
	if !c.lease.Valid(now) || now < c.nextDecision || c.orderOpen {
		return nil
	}
	c.nextDecision = now + decisionInterval/4
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		if effs := c.decide(now, id); effs != nil {
			return effs
		}
	}
	return nil
}

// decide orders one engine of a service to change its role if too many or too
// few of the engines decode. It returns nil if no change is needed or possible.
func (c *Controller) decide(now msg.Time, id msg.ServiceID) []msg.Effect {
	spec := c.engines[id]
	list := c.withExpectedRoles(now, id)
	if spec == nil || len(list) < 2 {
		return nil
	}
	versions := decodersByVersion(list, c.cfg.Policy.DecodeShare)
	decoding := countDecoding(list)
	want := max(c.neededDecoders(spec, id, list), versions.minimum())
	role := msg.RolePrefill
	candidates := list
	switch {
	case versions.lacking():
		role = msg.RoleDecode
		candidates = versions.below(list)
	case decoding > want && c.countRemainingDecoders(now, id) > want:
		candidates = versions.above(list)
	case decoding < want-demandSlack, decoding < want && decoding < c.cfg.Policy.MinDecoding:
		role = msg.RoleDecode
	default:
		return nil
	}
	in, ok := c.chooseEngine(now, candidates, role)
	if !ok {
		return nil
	}
	return c.orderRoleChange(now, in, role, decoding, want)
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

// countRemainingDecoders counts the engines that are listed as decode engines and
// are not expected to change to another role. Engines that are still changing to
// decode are not counted, because they carry no streams yet.
func (c *Controller) countRemainingDecoders(now msg.Time, id msg.ServiceID) int {
	n := 0
	for _, in := range c.available(now, id) {
		if exp, ok := c.expected[in.Target]; in.Role == msg.RoleDecode && (!ok || exp.role == msg.RoleDecode) {
			n++
		}
	}
	return n
}
