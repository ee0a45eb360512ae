// Package fleet is the part of an entry daemon's reducer that looks after the
// pools: it assigns roles, loads models, drains, and orders and withdraws
// targets. It acts for a pool only while this daemon holds the pool's lease.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/fleet/planner"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Config sets up a controller. Zero fields take defaults.
type Config struct {
	// Decide is the interval between two decisions for a pool.
	Decide time.Duration
	// Costs and Efficiency describe role changes and engines.
	Costs      planner.Costs
	Efficiency planner.Efficiency
	// Declared is the engines' capability until it is learned.
	Declared demand.Capability
	// OrderTimeout bounds an order from its arrival at the side daemon.
	OrderTimeout time.Duration
	// LoadGap paces the loads from the weight store.
	LoadGap time.Duration
	// LeadTime is how long an ordered target takes to arrive.
	LeadTime time.Duration
}

const (
	defaultDecide       = time.Second
	defaultOrderTimeout = 30 * time.Second
	defaultLoadGap      = 2 * time.Second
	defaultLeadTime     = 5 * time.Minute
	defaultPrefillRate  = 20_000
	defaultDecodeRate   = 1_400
)

func (c Config) withDefaults() Config {
	c.Decide = cmp.Or(c.Decide, defaultDecide)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, defaultOrderTimeout)
	c.LoadGap = cmp.Or(c.LoadGap, defaultLoadGap)
	c.LeadTime = cmp.Or(c.LeadTime, defaultLeadTime)
	c.Costs = cmp.Or(c.Costs, planner.DefaultCosts())
	c.Efficiency = cmp.Or(c.Efficiency, planner.DefaultEfficiency())
	c.Declared = cmp.Or(c.Declared, demand.Capability{PrefillRate: defaultPrefillRate, DecodeRate: defaultDecodeRate})
	return c
}

// Controller is the reducer part. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	self    msg.Self
	objects *store.Client
	index   *manifest.Index
	pools   map[msg.PoolID]*pool
	calls   map[uint64]storeCall
	lastTag uint64
	lastID  msg.CallID

	traffic  traffic
	drains   drains
	leaving  map[msg.HostID]bool
	stopping bool
	nextTick msg.Time
}

// callKind says what a call to the object API was for.
type callKind uint8

const (
	callReadRecord callKind = iota
	callWriteRecord
	callListDrains
	callReadDrain
	callWriteDrain
)

// storeCall is a call to the object API without a result.
type storeCall struct {
	kind callKind
	pool msg.PoolID
	// operator is the operator's call that waits for it.
	operator msg.CallID
}

// New returns the controller of one entry daemon.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:     cfg.withDefaults(),
		pools:   make(map[msg.PoolID]*pool),
		calls:   make(map[uint64]storeCall),
		traffic: newTraffic(),
		drains:  newDrains(),
		leaving: make(map[msg.HostID]bool),
	}
}

// Step takes one event and returns the effects to carry out.
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
		effs = append(effs, c.onResult(now, r)...)
	}
	return append(effs, c.handle(now, ev)...)
}

func (c *Controller) handle(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Tick:
		return c.onTick(now)
	case msg.ConfigChanged:
		return c.onConfig(ev)
	case msg.LeaseChanged:
		return c.onLease(now, ev)
	case msg.StopRequested:
		c.stopping = true
	case msg.TargetReported:
		c.onReport(now, ev)
	case msg.TargetUnreachable:
		c.onTargetLost(now, ev)
	case msg.MembersChanged:
		c.onMembers(ev)
	case msg.OrderResultReceived:
		return c.onOrderAnswered(now, ev)
	case msg.TargetsListed:
		c.onTargetsListed(now, ev)
	case msg.TargetProvisionDone:
		return c.onPurchaseDone(now, ev)
	case msg.DrainRequested:
		return c.onDrainRequested(ev)
	default:
		c.traffic.observe(now, c.index, ev)
	}
	return nil
}

func (c *Controller) onTick(now msg.Time) []msg.Effect {
	if now < c.nextTick {
		return nil
	}
	c.nextTick = now + c.cfg.Decide
	effs := c.sampleDemand(now)
	effs = append(effs, c.listDrains(now)...)
	for _, name := range c.names() {
		effs = append(effs, c.decide(now, c.pools[name])...)
	}
	return effs
}

// names returns the pools in order.
func (c *Controller) names() []msg.PoolID {
	return slices.Sorted(maps.Keys(c.pools))
}

// onConfig follows the manifest's pools and seeks their leases.
func (c *Controller) onConfig(ev msg.ConfigChanged) []msg.Effect {
	if ev.Index == nil {
		return nil
	}
	c.index = ev.Index
	var effs []msg.Effect
	for i := range ev.Index.Pools {
		spec := &ev.Index.Pools[i]
		name := msg.PoolID(spec.Name)
		p := c.pool(name)
		p.spec = spec
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: targetagent.LeaseName(name), Want: true}})
	}
	for _, name := range c.names() {
		if ev.Index.Pool(string(name)) != nil || c.pools[name].spec == nil {
			continue
		}
		c.pools[name].spec = nil
		effs = append(effs, msg.Raise{Event: msg.LeaseRequested{Name: targetagent.LeaseName(name), Want: false}})
	}
	return effs
}

// pool returns the state of a pool, which it makes if needed.
func (c *Controller) pool(name msg.PoolID) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = newPool(name, c.cfg.Costs.Horizon)
		c.pools[name] = p
	}
	return p
}

func (c *Controller) onMembers(ev msg.MembersChanged) {
	clear(c.leaving)
	for _, h := range ev.Leaving {
		c.leaving[h] = true
	}
}

// call registers a call to the object API and returns its tag.
func (c *Controller) call(s storeCall) uint64 {
	c.lastTag++
	c.calls[c.lastTag] = s
	return c.lastTag
}

func (c *Controller) onResult(now msg.Time, r store.Result) []msg.Effect {
	call, ok := c.calls[r.Tag]
	if !ok {
		return nil
	}
	delete(c.calls, r.Tag)
	switch call.kind {
	case callReadRecord:
		return c.onRecordRead(now, c.pool(call.pool), r)
	case callWriteRecord:
		return c.onRecordWritten(now, c.pool(call.pool), r)
	case callListDrains:
		c.onDrainsListed(r)
	case callWriteDrain:
		return c.answerDrain(call.operator, r.Status)
	case callReadDrain:
		return c.onDrainRead(now, call, r)
	}
	return nil
}

// nextCall numbers the calls to the target interface. The high bits keep them
// apart from those of the object API.
func (c *Controller) nextCall() msg.CallID {
	c.lastID++
	return purchaseCalls | c.lastID
}

const purchaseCalls msg.CallID = 1 << 63

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	return msg.LogLine{Component: "fleet", Level: level, Text: text, Attrs: attrs}
}

func attr(key, value string) msg.Attr { return msg.Attr{Key: key, Value: value} }
