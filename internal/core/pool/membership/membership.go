// Package membership provides the component of a reducer that tracks the other
// daemons: the live and leaving hosts of the platform's host list, and the
// hosts to which this daemon keeps connections.
//
// A few daemons read the host list often. The others read it when the exchange
// reports that another daemon has a different list, and also at long intervals.
// The number of calls to the platform therefore hardly grows with the fleet.
package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	componentName = "member"

	// readInterval is the mean time between two reads of the host list by the
	// daemons on which others rely, and slowInterval by the others.
	readInterval = 2 * time.Second
	slowInterval = time.Minute
	// maxFrequentReaders is the number of entry daemons up to which all of them
	// read the host list often. In a larger fleet, most rely on the reports of
	// a few, which may be out of date in a part that is cut off from the rest.
	maxFrequentReaders = 8
	// retryInterval is the mean time after a failed read before the next one.
	retryInterval = 5 * time.Second
	// maxReadDelay is the time over which the daemons spread their reads after
	// a report of a different host list.
	maxReadDelay = time.Second
	// callTimeout limits the wait for one response.
	callTimeout = 10 * time.Second
	// callShift is the position of the component in a call ID.
	callShift = 48
)

// Config configures the component.
type Config struct{ Self msg.Self }

// Component tracks the members of the deployment.
type Component struct {
	cfg  Config
	rand *rand.Rand

	seq uint64
	// call is the open read of the host list, or 0. readAt is when the next read
	// is due.
	call   msg.CallID
	readAt msg.Time
	hosts  []msg.Host
	digest uint64
	// reportedDigest is the last reported digest that caused a read.
	reportedDigest uint64
	// reportedAt is when another daemon last reported a digest, and sentAt when
	// this daemon last requested the host list.
	reportedAt, sentAt msg.Time
	// frequentReader is set if this daemon reads the host list often.
	frequentReader bool
	// addrs holds the known addresses, and connected the hosts to which a
	// connection is kept.
	addrs     map[msg.HostID]string
	connected map[msg.HostID]bool
}

// New returns a component without a host list.
func New(cfg Config) *Component {
	return &Component{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(0, 0)),
		addrs:     make(map[msg.HostID]string),
		connected: make(map[msg.HostID]bool),
	}
}

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		c.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentMembership)))
		return []msg.Effect{c.read(now)}
	case msg.Tick:
		if c.lacksReports(now) {
			c.readAt = min(c.readAt, c.sentAt+readInterval)
		}
		if now >= c.readAt {
			return []msg.Effect{c.read(now)}
		}
	case msg.PeerHostsReported:
		c.onReport(now, ev)
	case msg.HostsListed:
		return c.onHostsListed(now, ev)
	}
	return nil
}

// lacksReports reports whether this daemon relies on the digests of host lists
// that other daemons report, and has received none recently.
func (c *Component) lacksReports(now msg.Time) bool {
	return c.call == 0 && !c.frequentReader && now-c.reportedAt > readInterval
}

func (c *Component) onReport(now msg.Time, ev msg.PeerHostsReported) {
	c.reportedAt = now
	if ev.Digest == 0 || ev.Digest == c.digest || ev.Digest == c.reportedDigest {
		return
	}
	c.reportedDigest = ev.Digest
	c.readAt = min(c.readAt, now+time.Duration(c.rand.Int64N(int64(maxReadDelay))))
}

func (c *Component) read(now msg.Time) msg.Effect {
	c.seq++
	c.sentAt = now
	c.call = msg.CallID(uint64(store.ComponentMembership)<<callShift | c.seq)
	c.readAt = now + callTimeout
	return msg.ListHosts{Call: c.call}
}

func (c *Component) onHostsListed(now msg.Time, ev msg.HostsListed) []msg.Effect {
	if ev.Call != c.call {
		return nil
	}
	c.call = 0
	if ev.Status != msg.CallOK {
		c.readAt = now + c.jitter(c.retryDelay())
		return nil
	}
	var effs []msg.Effect
	hosts := slices.Clone(ev.Hosts)
	slices.SortFunc(hosts, func(a, b msg.Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if digest := digestOf(hosts); digest != c.digest {
		c.digest = digest
		c.hosts = hosts
		effs = c.applyList()
	}
	c.readAt = now + c.jitter(c.readDelay())
	return effs
}

// applyList applies a new host list.
func (c *Component) applyList() []msg.Effect {
	m := c.members()
	c.frequentReader = len(m.Entries) <= maxFrequentReaders || slices.ContainsFunc(exchange.Roots(m.Entries), func(h msg.Host) bool { return h.Host == c.cfg.Self.Host })
	return append(c.connections(m), logMembers(m), msg.Raise{Event: m})
}

func (c *Component) readDelay() time.Duration {
	if c.frequentReader {
		return readInterval
	}
	return slowInterval
}

// retryDelay returns the mean time before the next read after a failure. It is
// shorter as long as no list is known, and for the daemons on which others
// rely, because leaving hosts must be known within seconds.
func (c *Component) retryDelay() time.Duration {
	if c.digest == 0 || c.frequentReader {
		return readInterval / 2
	}
	return retryInterval
}

func (c *Component) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// digestOf identifies a sorted host list.
func digestOf(hosts []msg.Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = fmt.Fprintf(d, "%q %q %q %q %d %d\n", h.Host, h.Addr, h.Domain, h.Region, h.Kind, h.State)
	}
	return d.Sum64() | 1
}

// members groups the host list by kind and state.
func (c *Component) members() msg.MembersChanged {
	m := msg.MembersChanged{Digest: c.digest}
	for _, h := range c.hosts {
		if h.State == msg.HostLeaving {
			m.Leaving = append(m.Leaving, h.Host)
		}
		switch {
		case h.Kind == msg.HostTarget:
			m.Targets = append(m.Targets, h)
		case h.State == msg.HostLive:
			m.Entries = append(m.Entries, h)
		}
	}
	return m
}

func logMembers(m msg.MembersChanged) msg.Effect {
	return msg.LogLine{Component: componentName, Text: "host list changed", Attrs: []msg.Attr{
		{Key: "entries", Value: strconv.Itoa(len(m.Entries))},
		{Key: "targets", Value: strconv.Itoa(len(m.Targets))},
		{Key: "leaving", Value: strconv.Itoa(len(m.Leaving))},
	}}
}
