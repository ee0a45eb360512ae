package proof

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
)

// usageShards is the number of usage shards in the manifest.
const usageShards = 2

// newSim returns a small deployment with its first configuration in force: three
// entries, two engines and a plain service with two instances, in two failure
// domains, and two client accounts.
func newSim(seed uint64, muts mutations) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), mutations: muts,
		objects: coretest.NewObjects(), procs: make(map[msg.HostID]*proc),
		blocked: make(map[[2]msg.HostID]bool), engines: make(map[msg.HostID]*engine),
		requests: make(map[msg.RequestID]*callerRequest), operations: make(map[string]*operation),
		changes: make(map[msg.CallID]*configChange), lastGrant: make(map[string]msg.CallID),
		usage:        &usageEndpoint{accepted: make(map[usageKey]msg.UsageReport)},
		targets:      &targetProvisioner{byToken: make(map[string]msg.ProvisionedTarget), released: make(map[msg.TargetID]bool)},
		modelVersion: 1, minEngines: minEnginesBefore,
		keys: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"},
	}
	s.oracle = newOracle(s)
	for i, domain := range []msg.FailureDomain{"d1", "d2", "d1"} {
		s.addHost(msg.HostID(fmt.Sprintf("e%d", i+1)), domain, msg.HostEntry)
	}
	s.addTarget("t1", "d1", "chat", msg.TargetEngine)
	s.addTarget("t2", "d2", "chat", msg.TargetEngine)
	s.addTarget("t3", "d1", "orders", msg.TargetService)
	s.addTarget("t4", "d2", "orders", msg.TargetService)
	s.listedHosts = slices.Clone(s.hosts)
	for _, h := range s.hosts {
		s.start(h)
	}
	s.after(time.Second, s.stopAbandonedAttempts)
	s.applyFirstConfig()
	return s
}

func (s *sim) addHost(id msg.HostID, d msg.FailureDomain, kind msg.HostKind) {
	s.hosts = append(s.hosts, msg.Host{Host: id, Addr: "10.0.0.1", Domain: d, Region: "r", Kind: kind})
}

func (s *sim) addTarget(id string, d msg.FailureDomain, pool msg.PoolID, kind msg.TargetKind) {
	host := msg.HostID(id)
	s.addHost(host, d, msg.HostTarget)
	s.engines[host] = &engine{
		s: s, host: host, version: "1", attempts: make(map[msg.AttemptID]*sideAttempt),
		identity: msg.TargetIdentity{Target: msg.TargetID(id), Pool: pool, Kind: kind},
	}
	s.targets.initial = append(s.targets.initial, msg.ProvisionedTarget{Target: msg.TargetID(id), Host: host, Pool: pool, Domain: d, Ready: true, Cost: 1})
}

// applyFirstConfig proposes the first configuration and waits until it is in
// force.
func (s *sim) applyFirstConfig() {
	s.run(3 * time.Second)
	s.propose(s.procs["e1"], 0)
	s.run(4 * time.Second)
}

// configChange is an operator's proposal of a configuration.
type configChange struct {
	// withdrawn are the IDs of the API keys that the proposal lacks.
	withdrawn map[string]bool
	// reportedUnchanged is set when the operator receives a response which
	// states that nothing changed.
	reportedUnchanged bool
	// inForce reports that a process has applied the configuration.
	inForce bool
}

// propose sends the current keys and model version to p as a new manifest.
func (s *sim) propose(p *proc, base msg.Generation) {
	s.lastCall++
	c := &configChange{withdrawn: make(map[string]bool)}
	for _, k := range s.withdrawnKeys {
		c.withdrawn[k] = true
	}
	for k := range s.keys {
		s.lastGrant[k] = s.lastCall
		delete(s.oracle.withdrawnAt, k)
	}
	s.changes[s.lastCall] = c
	p.post(msg.ConfigProposed{Call: s.lastCall, Author: "operator", Manifest: []byte(s.manifest()), Base: base})
}

// manifest returns the manifest of the last proposal. Its deployment name contains
// the proposal's call ID, by which the oracle recognizes the configuration.
func (s *sim) manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "apiVersion: verbenaspur/v1\ndeployment: proof-%d\n", s.lastCall)
	fmt.Fprintf(&b, manifestHead, s.modelVersion, s.minEngines)
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

// The two numbers of engines that the manifest requires in each failure domain.
const (
	minEnginesBefore = 1
	minEnginesAfter  = 2
)

// manifestHead is the manifest's part between deployment name and accounts.
const manifestHead = `regions:
  - {name: r, failureDomains: [d1, d2]}
models:
  - {name: m, version: "%[1]d"}
pools:
  - name: chat
    kind: engines
    model: m
    shape:
      - {failureDomain: d1, min: %[2]d, max: 2}
      - {failureDomain: d2, min: %[2]d, max: 2}
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

// live returns the live processes of a kind, in the order of their hosts.
func (s *sim) live(kind msg.HostKind) []*proc {
	var out []*proc
	for _, h := range s.hosts {
		if p := s.procs[h.Host]; h.Kind == kind && p != nil && !p.dead {
			out = append(out, p)
		}
	}
	return out
}

// setState changes a host's state. The platform's host list shows the change
// with a lag of 200 ms to 2 s.
func (s *sim) setState(id msg.HostID, st msg.HostState) {
	at := slices.IndexFunc(s.hosts, func(h msg.Host) bool { return h.Host == id })
	s.hosts[at].State = st
	s.after(s.randomDuration(200*time.Millisecond, 2*time.Second), func() { s.listedHosts[at].State = s.hosts[at].State })
}

// clearFaults ends all faults, restarts dead processes and resumes paused ones.
func (s *sim) clearFaults() {
	clear(s.blocked)
	s.store, s.answerLossRate, s.storeDelay, s.usage.unavailable = storeAvailable, 0, 0, false
	for _, h := range s.hosts {
		p := s.procs[h.Host]
		if p.dead {
			s.start(h)
			continue
		}
		s.resume(p)
	}
}
