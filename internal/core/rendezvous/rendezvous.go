// Package rendezvous assigns keys to hosts by rendezvous hashing: each key
// ranks all hosts by a hash of the key and the host. All daemons with the same
// host list compute the same order, and a host that joins or leaves changes
// only the assignments that involve it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Score returns the score of a host for a key. The host with the highest score
// comes first.
func Score(key string, host msg.HostID) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(string(host))))
}

// mix is the finalizer of SplitMix64, a bijection in which every input bit
// affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the number of hosts that precede a host in the order for a key.
func Rank(key string, host msg.HostID, hosts []msg.Host) int {
	own := Score(key, host)
	rank := 0
	for _, h := range hosts {
		score := Score(key, h.Host)
		if score > own || score == own && h.Host < host {
			rank++
		}
	}
	return rank
}

// scored is a host with its score for a key.
type scored struct {
	host  msg.Host
	score uint64
}

// Order returns the hosts in descending order of their score for a key. Hosts
// of equal score are in order of host ID.
func Order(key string, hosts []msg.Host) []msg.Host {
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		list[i] = scored{h, Score(key, h.Host)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.host.Host, b.host.Host)
	})
	out := make([]msg.Host, len(list))
	for i, s := range list {
		out[i] = s.host
	}
	return out
}

// Spread returns up to n hosts in descending order of their score for a key. It
// takes one host from each failure domain before it takes a second one from
// any.
func Spread(key string, hosts []msg.Host, n int) []msg.Host {
	order := Order(key, hosts)
	taken := make(map[msg.FailureDomain]int)
	round := make([]int, len(order))
	for i, h := range order {
		round[i] = taken[h.Domain]
		taken[h.Domain]++
	}
	out := make([]msg.Host, 0, n)
	for r := 0; len(out) < n && len(out) < len(order); r++ {
		for i, h := range order {
			if round[i] == r && len(out) < n {
				out = append(out, h)
			}
		}
	}
	return out
}
