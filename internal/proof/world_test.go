package proof

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/apikey"
	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
)

const usageShards = 2

// The world is small: three entries, two engines and a plain service with two
// instances, in two failure domains, and two client accounts.
func newSim(seed uint64, muts mutations) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), muts: muts,
		objects: coretest.NewObjects(), procs: make(map[msg.HostID]*proc),
		cut: make(map[[2]msg.HostID]bool), engines: make(map[msg.HostID]*engine),
		requests: make(map[msg.RequestID]*callerRequest), operations: make(map[string]*operation),
		changes: make(map[msg.CallID]*change), granted: make(map[string]msg.CallID),
		usage:   &usageInterface{accepted: make(map[usageKey]msg.UsageReport)},
		targets: &targetInterface{byToken: make(map[string]msg.ProvisionedTarget), gone: make(map[msg.TargetID]bool)},
		version: 1,
		keys:    map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"},
	}
	s.oracle = newOracle(s)
	for i, domain := range []msg.FailureDomain{"d1", "d2", "d1"} {
		s.addHost(msg.HostID(fmt.Sprintf("e%d", i+1)), domain, msg.HostEntry)
	}
	s.addTarget("t1", "d1", "chat", msg.TargetEngine)
	s.addTarget("t2", "d2", "chat", msg.TargetEngine)
	s.addTarget("t3", "d1", "orders", msg.TargetService)
	s.addTarget("t4", "d2", "orders", msg.TargetService)
	s.listed = slices.Clone(s.hosts)
	for _, h := range s.hosts {
		s.start(h)
	}
	s.after(time.Second, s.sweep)
	s.configureFirst()
	return s
}

func (s *sim) addHost(id msg.HostID, d msg.FailureDomain, kind msg.HostKind) {
	s.hosts = append(s.hosts, msg.Host{Host: id, Addr: "10.0.0.1", Domain: d, Region: "r", Kind: kind})
}

func (s *sim) addTarget(id string, d msg.FailureDomain, pool msg.PoolID, kind msg.TargetKind) {
	host := msg.HostID(id)
	s.addHost(host, d, msg.HostTarget)
	s.engines[host] = &engine{
		s: s, host: host, version: "1", runs: make(map[msg.AttemptID]*sideRun),
		identity: msg.TargetIdentity{Target: msg.TargetID(id), Pool: pool, Kind: kind},
	}
	s.targets.fixed = append(s.targets.fixed, msg.ProvisionedTarget{Target: msg.TargetID(id), Host: host, Pool: pool, Domain: d, Ready: true, Cost: 1})
}

// configureFirst brings the first configuration into force.
func (s *sim) configureFirst() {
	s.run(3 * time.Second)
	s.propose(s.procs["e1"], 0)
	s.run(4 * time.Second)
}

// change is an operator's change of the configuration.
type change struct {
	withdrawn map[string]bool
	// unchanged is set once the operator was told that nothing changed.
	unchanged bool
	inForce   bool
}

// propose sends the present keys as a new manifest.
func (s *sim) propose(p *proc, base msg.Generation) {
	s.lastCall++
	c := &change{withdrawn: make(map[string]bool)}
	for _, k := range s.gone {
		c.withdrawn[k] = true
	}
	for k := range s.keys {
		s.granted[k] = s.lastCall
		delete(s.oracle.withdrawn, k)
	}
	s.changes[s.lastCall] = c
	p.post(msg.ConfigProposed{Call: s.lastCall, Author: "operator", Manifest: []byte(s.manifest()), Base: base})
}

func (s *sim) manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "apiVersion: verbenaspur/v1\ndeployment: proof-%d\n", s.lastCall)
	fmt.Fprintf(&b, manifestHead, s.version)
	for _, account := range []string{"a", "b"} {
		fmt.Fprintf(&b, "  - name: %s\n    weight: 1\n    keys:\n", account)
		for _, id := range slices.Sorted(maps.Keys(s.keys)) {
			if s.keys[id] != account {
				continue
			}
			d := apikey.Digest(id, secretOf(id))
			fmt.Fprintf(&b, "      - {id: %s, hash: %s}\n", id, hex.EncodeToString(d[:]))
		}
	}
	return b.String()
}

const manifestHead = `regions:
  - {name: r, failureDomains: [d1, d2]}
models:
  - {name: m, version: "%d"}
pools:
  - name: chat
    kind: engines
    model: m
    shape:
      - {failureDomain: d1, min: 1, max: 2}
      - {failureDomain: d2, min: 1, max: 2}
  - name: orders
    kind: service
    shape:
      - {failureDomain: d1, min: 1, max: 1}
      - {failureDomain: d2, min: 1, max: 1}
routes:
  - {name: chat, pool: chat, access: keyed, class: urgent, timeout: 20s, queueTimeout: 5s, maxTokens: 64}
  - {name: open, pool: chat, access: public, class: ordinary, timeout: 20s, queueTimeout: 5s, maxTokens: 64}
  - name: orders
    pool: orders
    access: keyed
    class: ordinary
    timeout: 10s
    queueTimeout: 3s
    operations:
      - {method: POST, pathPrefix: /orders, idempotent: false}
usage: {window: 10s, grace: 8s, shards: 2}
accounts:
`

func poolLease(pool msg.PoolID) msg.LeaseName { return msg.LeaseName("fleet/" + string(pool)) }

func usageLease(account msg.AccountID) msg.LeaseName {
	return usage.LeaseName(usage.ShardOf(account, usageShards))
}

// entries and sides return the live processes of a kind, in order of host.
func (s *sim) alive(kind msg.HostKind) []*proc {
	var out []*proc
	for _, h := range s.hosts {
		if p := s.procs[h.Host]; h.Kind == kind && p != nil && !p.dead {
			out = append(out, p)
		}
	}
	return out
}

// setState changes a host's state; the host list shows it with a lag.
func (s *sim) setState(id msg.HostID, st msg.HostState) {
	at := slices.IndexFunc(s.hosts, func(h msg.Host) bool { return h.Host == id })
	s.hosts[at].State = st
	s.after(s.between(200*time.Millisecond, 2*time.Second), func() { s.listed[at].State = s.hosts[at].State })
}

// heal ends all faults and lets the world come to rest.
func (s *sim) heal() {
	clear(s.cut)
	s.store, s.loseRate, s.slow, s.usage.out = storeWell, 0, 0, false
	for _, h := range s.hosts {
		p := s.procs[h.Host]
		if p.dead {
			s.start(h)
			continue
		}
		s.resume(p)
	}
}
