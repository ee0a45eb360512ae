// Package platformpoll is the part of an entry daemon's reducer that follows the
// operator's configuration and the list of targets at the platform.
//
// Both are read again and again, never from a replica that may lag: a watch
// can hear nothing while changes are made, and only the moment at which a
// read left says how old its answer may be.
package platformpoll

import (
	"cmp"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const partName = "catalog"

// Defaults of [Config].
const (
	DefaultRoutesEvery    = time.Second
	DefaultInstancesEvery = time.Second
	// DefaultOutage is the time in which reads failed after which missing
	// targets may have lapsed at the platform instead of having left.
	DefaultOutage = 1500 * time.Millisecond
	// DefaultReturn is how long such targets have to register again.
	DefaultReturn = 2 * time.Second
)

// retryFirst and retryMost bound the time between a failed read and the next,
// which doubles.
const (
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

// Config configures the part. Zero durations select the defaults.
type Config struct {
	RoutesEvery, InstancesEvery time.Duration
	Outage, Return              time.Duration
}

func (c Config) withDefaults() Config {
	c.RoutesEvery = cmp.Or(c.RoutesEvery, DefaultRoutesEvery)
	c.InstancesEvery = cmp.Or(c.InstancesEvery, DefaultInstancesEvery)
	c.Outage = cmp.Or(c.Outage, DefaultOutage)
	c.Return = cmp.Or(c.Return, DefaultReturn)
	return c
}

// poll is the state of one repeated read.
type poll struct {
	call msg.CallID // zero while none is open
	next msg.Time
	// down says that the last read failed, and since is when reads began to
	// fail.
	down  bool
	since msg.Time
	wait  time.Duration
}

// Component is the catalog part.
type Component struct {
	cfg      Config
	lastCall msg.CallID

	routes poll
	table  *msg.RouteTable

	list     poll
	revision msg.Revision
	listed   msg.Time
	known    map[msg.TargetID]msg.Instance
	order    []msg.TargetID
	// lapsed holds until when a target that was missing after an outage is
	// kept.
	lapsed     map[msg.TargetID]msg.Time
	graceUntil msg.Time
	odd        int
}

// New returns the part.
func New(cfg Config) *Component {
	return &Component{
		cfg:    cfg.withDefaults(),
		known:  make(map[msg.TargetID]msg.Instance),
		lapsed: make(map[msg.TargetID]msg.Time),
	}
}

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started, msg.Tick:
		return p.advance(now)
	case msg.RoutesRead:
		return p.onRoutes(now, ev)
	case msg.InstancesRead:
		return p.onInstances(now, ev)
	}
	return nil
}

func (p *Component) advance(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if p.routes.call == 0 && now >= p.routes.next {
		p.routes.call = p.nextCall()
		effs = append(effs, msg.ReadRoutes{Call: p.routes.call})
	}
	if p.list.call == 0 && now >= p.list.next {
		p.list.call = p.nextCall()
		effs = append(effs, msg.ReadInstances{Call: p.list.call})
	}
	return effs
}

func (p *Component) nextCall() msg.CallID {
	p.lastCall++
	return p.lastCall
}

// answered closes a poll's call and logs where reads begin or end to fail.
func (l *poll) answered(now msg.Time, ok bool, what, reason string) []msg.Effect {
	l.call = 0
	l.wait = min(max(2*l.wait, retryFirst), retryMost)
	l.next = now + l.wait
	if ok {
		l.wait = 0
	}
	wasDown := l.down
	l.down = !ok
	if wasDown == l.down {
		return nil
	}
	if l.down {
		l.since = now
		return []msg.Effect{msg.LogLine{
			Component: partName, Level: msg.LogWarn, Text: "platform lost",
			Attrs: []msg.Attr{{Key: "read", Value: what}, {Key: "reason", Value: reason}},
		}}
	}
	return []msg.Effect{msg.LogLine{
		Component: partName, Text: "platform regained",
		Attrs: []msg.Attr{{Key: "read", Value: what}, {Key: "after_ms", Value: millis(now - l.since)}},
	}}
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func (p *Component) onRoutes(now msg.Time, ev msg.RoutesRead) []msg.Effect {
	if ev.Call != p.routes.call {
		return nil
	}
	ok := ev.Status == msg.CallOK && ev.Table != nil
	effs := p.routes.answered(now, ok, "routes", ev.Reason)
	if !ok {
		return effs
	}
	p.routes.next = max(ev.Sent+p.cfg.RoutesEvery, now)
	if p.table != nil && ev.Table.Version < p.table.Version {
		return append(effs, msg.LogLine{
			Component: partName, Level: msg.LogError, Text: "configuration is older than the one in force",
			Attrs: []msg.Attr{{Key: "version", Value: strconv.FormatUint(ev.Table.Version, 10)}},
		})
	}
	if p.table == nil || ev.Table.Version > p.table.Version {
		p.table = ev.Table
		effs = append(effs, msg.Raise{Event: msg.RoutesChanged{Table: ev.Table}}, msg.LogLine{
			Component: partName, Text: "configuration in force",
			Attrs: []msg.Attr{
				{Key: "version", Value: strconv.FormatUint(ev.Table.Version, 10)},
				{Key: "routes", Value: strconv.Itoa(len(ev.Table.Routes))},
				{Key: "age_ms", Value: millis(now - ev.Sent)},
			},
		})
	}
	return append(effs, msg.Raise{Event: msg.RoutesConfirmed{At: ev.Sent}})
}
