// Package membership is the part of a reducer that knows the other daemons: the
// live and leaving hosts of the platform's host list, and which of them this
// daemon keeps connections to.
//
// A few daemons read the host list often. The others read it when the
// exchange tells them of another list than theirs, and now and then besides,
// so that the calls to the platform hardly grow with the fleet.
package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	partName = "member"

	// readInterval is the mean time between two reads of the host list by the
	// daemons that others rely on, and slowInterval by the others.
	readInterval = 2 * time.Second
	slowInterval = time.Minute
	// allRead is the number of entry daemons up to which all of them read the
	// host list often. Beyond, most rely on the news of a few, which may be old
	// in a cut-off corner.
	allRead = 8
	// retryInterval is the mean time after a read that failed.
	retryInterval = 5 * time.Second
	// newsDelay spreads the reads after news over this time.
	newsDelay = time.Second
	// callLimit bounds the wait for one answer.
	callLimit = 10 * time.Second
	callShift = 48
)

// Config configures the part.
type Config struct{ Self msg.Self }

// Component is the membership part of a daemon.
type Component struct {
	cfg  Config
	rand *rand.Rand

	seq    uint64
	call   msg.CallID
	readAt msg.Time
	hosts  []msg.Host
	digest uint64
	// heard is the last digest that led to a read.
	heard uint64
	// heardAt is when another daemon last told its digest, and sentAt when the
	// list was last asked for.
	heardAt, sentAt msg.Time
	reader          bool
	// addrs holds the known addresses, and connect the hosts to which a
	// connection is kept.
	addrs   map[msg.HostID]string
	connect map[msg.HostID]bool
}

// New returns the part.
func New(cfg Config) *Component {
	return &Component{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(0, 0)),
		addrs:   make(map[msg.HostID]string),
		connect: make(map[msg.HostID]bool),
	}
}

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentMembership)))
		return []msg.Effect{p.read(now)}
	case msg.Tick:
		if p.alone(now) {
			p.readAt = min(p.readAt, p.sentAt+readInterval)
		}
		if now >= p.readAt {
			return []msg.Effect{p.read(now)}
		}
	case msg.PeerHostsReported:
		p.onHeard(now, ev)
	case msg.HostsListed:
		return p.onListed(now, ev)
	}
	return nil
}

// alone reports whether no other daemon tells of changes of the host list.
func (p *Component) alone(now msg.Time) bool {
	return p.call == 0 && !p.reader && now-p.heardAt > readInterval
}

func (p *Component) onHeard(now msg.Time, ev msg.PeerHostsReported) {
	p.heardAt = now
	if ev.Digest == 0 || ev.Digest == p.digest || ev.Digest == p.heard {
		return
	}
	p.heard = ev.Digest
	p.readAt = min(p.readAt, now+time.Duration(p.rand.Int64N(int64(newsDelay))))
}

func (p *Component) read(now msg.Time) msg.Effect {
	p.seq++
	p.sentAt = now
	p.call = msg.CallID(uint64(store.ComponentMembership)<<callShift | p.seq)
	p.readAt = now + callLimit
	return msg.ListHosts{Call: p.call}
}

func (p *Component) onListed(now msg.Time, ev msg.HostsListed) []msg.Effect {
	if ev.Call != p.call {
		return nil
	}
	p.call = 0
	if ev.Status != msg.CallOK {
		p.readAt = now + p.around(p.retry())
		return nil
	}
	var effs []msg.Effect
	hosts := slices.Clone(ev.Hosts)
	slices.SortFunc(hosts, func(a, b msg.Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if digest := digestOf(hosts); digest != p.digest {
		p.digest = digest
		p.hosts = hosts
		effs = p.changed()
	}
	p.readAt = now + p.around(p.interval())
	return effs
}

// changed takes the new host list into use.
func (p *Component) changed() []msg.Effect {
	m := p.members()
	p.reader = len(m.Entries) <= allRead || slices.ContainsFunc(exchange.Roots(m.Entries), func(h msg.Host) bool { return h.Host == p.cfg.Self.Host })
	return append(p.connections(m), logMembers(m), msg.Raise{Event: m})
}

func (p *Component) interval() time.Duration {
	if p.reader {
		return readInterval
	}
	return slowInterval
}

// retry is shorter as long as no list is known at all, and for the daemons
// that others rely on: leaving hosts must be known within seconds.
func (p *Component) retry() time.Duration {
	if p.digest == 0 || p.reader {
		return readInterval / 2
	}
	return retryInterval
}

func (p *Component) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rand.Int64N(int64(d)))
}

// digestOf identifies a sorted host list.
func digestOf(hosts []msg.Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = fmt.Fprintf(d, "%q %q %q %q %d %d\n", h.Host, h.Addr, h.Domain, h.Region, h.Kind, h.State)
	}
	return d.Sum64() | 1
}

// members sorts the host list by what a host is to this daemon.
func (p *Component) members() msg.MembersChanged {
	m := msg.MembersChanged{Digest: p.digest}
	for _, h := range p.hosts {
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
	return msg.LogLine{Component: partName, Text: "host list changed", Attrs: []msg.Attr{
		{Key: "entries", Value: strconv.Itoa(len(m.Entries))},
		{Key: "targets", Value: strconv.Itoa(len(m.Targets))},
		{Key: "leaving", Value: strconv.Itoa(len(m.Leaving))},
	}}
}
