// Package fleet implements the reducer component of an entry daemon that
// manages the pools of targets: it assigns engine roles, loads models, drains
// targets, and has the platform provision new targets and release others. An
// order is always an order to a target, and a provision request one to the
// platform. It acts on a pool only while this daemon holds the pool's lease.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Config configures a [Controller]. A zero field selects the default.
type Config struct {
	// DecisionInterval is the interval between two decisions for a pool.
	DecisionInterval time.Duration
	// Costs and Efficiency are for the planner. Costs holds the costs of role
	// changes, and Efficiency the share of an engine's time that is usable.
	Costs      planner.Costs
	Efficiency planner.Efficiency
	// DeclaredCapability is the capability of the engines until it is learned from
	// their reports.
	DeclaredCapability demand.Capability
	// OrderTimeout is the timeout of an order, from its arrival at the side
	// daemon.
	OrderTimeout time.Duration
	// MinModelLoadInterval is the minimum time between two model loads, which
	// limits the load on the weight store.
	MinModelLoadInterval time.Duration
	// LeadTime is the time from requesting a new target until the platform
	// delivers it.
	LeadTime time.Duration
}

const (
	defaultDecisionInterval = time.Second
	defaultOrderTimeout     = 30 * time.Second
	defaultLoadGap          = 2 * time.Second
	defaultLeadTime         = 5 * time.Minute
	defaultPrefillRate      = 20_000
	defaultDecodeRate       = 1_400
)

func (c Config) withDefaults() Config {
	c.DecisionInterval = cmp.Or(c.DecisionInterval, defaultDecisionInterval)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, defaultOrderTimeout)
	c.MinModelLoadInterval = cmp.Or(c.MinModelLoadInterval, defaultLoadGap)
	c.LeadTime = cmp.Or(c.LeadTime, defaultLeadTime)
	c.Costs = cmp.Or(c.Costs, planner.DefaultCosts())
	c.Efficiency = cmp.Or(c.Efficiency, planner.DefaultEfficiency())
	c.DeclaredCapability = cmp.Or(c.DeclaredCapability, demand.Capability{PrefillRate: defaultPrefillRate, DecodeRate: defaultDecodeRate})
	return c
}

// Controller is the reducer component that manages the pools. It is not safe
// for concurrent use.
type Controller struct {
	cfg        Config
	self       msg.Self
	objects    *store.Client
	index      *manifest.Index
	pools      map[msg.PoolID]*pool
	calls      map[uint64]storeCall
	lastTag    uint64
	lastCallID msg.CallID

	traffic      traffic
	drains       operatorDrains
	leavingHosts map[msg.HostID]bool
	stopping     bool
	nextDecision msg.Time
}

// callKind is the purpose of a call to the object API.
type callKind uint8

const (
	callReadRecord callKind = iota
	callWriteRecord
	callListDrains
	callReadDrain
	callWriteDrain
)

// storeCall is a call to the object API whose result is outstanding.
type storeCall struct {
	kind callKind
	pool msg.PoolID
	// operatorCall is the operator's call that waits for the result.
	operatorCall msg.CallID
}

// New returns the controller of one entry daemon.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg.withDefaults(),
		pools:        make(map[msg.PoolID]*pool),
		calls:        make(map[uint64]storeCall),
		traffic:      newTraffic(),
		drains:       newDrains(),
		leavingHosts: make(map[msg.HostID]bool),
	}
}

// Step implements reducer.Component.
func (c *Controller) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		c.self = started.Self
		c.objects = store.New(store.ComponentFleet, string(started.Self.Host)+"/"+string(started.Incarnation))
		return nil
	}
	if c.objects == nil {
		return nil
	}
	results, effs := c.objects.Step(now, ev)
	for _, r := range results {
		effs = append(effs, c.onStoreResult(now, r)...)
	}
	return append(effs, c.handle(now, ev)...)
}

func (c *Controller) handle(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Tick:
		return c.onTick(now)
	case msg.ConfigChanged:
		return c.onConfigChanged(ev)
	case msg.LeaseChanged:
		return c.onLeaseChanged(now, ev)
	case msg.StopRequested:
		c.stopping = true
	case msg.TargetReported:
		c.onTargetReported(now, ev)
	case msg.TargetUnreachable:
		c.onTargetUnreachable(now, ev)
	case msg.MembersChanged:
		c.onMembersChanged(ev)
	case msg.OrderResultReceived:
		return c.onOrderResult(now, ev)
	case msg.TargetsListed:
		c.onTargetsListed(now, ev)
	case msg.TargetProvisionDone:
		return c.onProvisionDone(now, ev)
	case msg.DrainRequested:
		return c.onDrainRequested(ev)
	default:
		c.traffic.observe(now, c.index, ev)
	}
	return nil
}

func (c *Controller) onTick(now msg.Time) []msg.Effect {
	if now < c.nextDecision {
		return nil
	}
	c.nextDecision = now + c.cfg.DecisionInterval
	effs := c.sampleDemand(now)
	effs = append(effs, c.listDrains(now)...)
	for _, name := range c.poolNames() {
		effs = append(effs, c.decide(now, c.pools[name])...)
	}
	return effs
}

// poolNames returns the names of all pools in sorted order.
func (c *Controller) poolNames() []msg.PoolID {
	return slices.Sorted(maps.Keys(c.pools))
}

// onConfigChanged adopts the manifest's pools. It requests the leases of pools
// in the manifest, and the release of the leases of pools that are no longer in
// it.
func (c *Controller) onConfigChanged(ev msg.ConfigChanged) []msg.Effect {
	if ev.Index == nil {
		return nil
	}
	c.index = ev.Index
	var effs []msg.Effect
	for i := range ev.Index.Pools {
		spec := &ev.Index.Pools[i]
		name := msg.PoolID(spec.Name)
		p := c.ensurePool(name)
		p.spec = spec
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: targetagent.LeaseName(name), Want: true}})
	}
	for _, name := range c.poolNames() {
		if ev.Index.Pool(string(name)) != nil || c.pools[name].spec == nil {
			continue
		}
		c.pools[name].spec = nil
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: targetagent.LeaseName(name), Want: false}})
	}
	return effs
}

// ensurePool returns the state of a pool and creates it if needed.
func (c *Controller) ensurePool(name msg.PoolID) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = newPool(name, c.cfg.Costs.Horizon)
		c.pools[name] = p
	}
	return p
}

func (c *Controller) onMembersChanged(ev msg.MembersChanged) {
	clear(c.leavingHosts)
	for _, h := range ev.Leaving {
		c.leavingHosts[h] = true
	}
}

// registerCall registers a call to the object API and returns its tag.
func (c *Controller) registerCall(s storeCall) uint64 {
	c.lastTag++
	c.calls[c.lastTag] = s
	return c.lastTag
}

func (c *Controller) onStoreResult(now msg.Time, r store.Result) []msg.Effect {
	call, ok := c.calls[r.Tag]
	if !ok {
		return nil
	}
	delete(c.calls, r.Tag)
	switch call.kind {
	case callReadRecord:
		return c.onRecordRead(now, c.ensurePool(call.pool), r)
	case callWriteRecord:
		return c.onRecordWritten(now, c.ensurePool(call.pool), r)
	case callListDrains:
		c.onDrainsListed(r)
	case callWriteDrain:
		return c.answerDrainRequest(call.operatorCall, r.Status)
	case callReadDrain:
		return c.onDrainRead(now, call, r)
	}
	return nil
}

// nextProvisionCall returns the ID of the next call to the target interface.
// Its highest bit distinguishes it from calls to the object API.
func (c *Controller) nextProvisionCall() msg.CallID {
	c.lastCallID++
	return provisionCallBit | c.lastCallID
}

// provisionCallBit is set in the IDs of calls to the target interface.
const provisionCallBit msg.CallID = 1 << 63

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	return msg.LogLine{Component: "fleet", Level: level, Text: text, Attrs: attrs}
}

func attr(key, value string) msg.Attr { return msg.Attr{Key: key, Value: value} }
