package planner

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// domainSlack limits the failure domains that may lose an engine of a role to
// another role: such a domain has at most this many fewer engines of the role
// than the domain with the most.
const domainSlack = 1

// minCapableDomains is the number of failure domains that should be capable of
// each kind of work, so that one remains if the other is lost.
const minCapableDomains = 2

// domainCounts holds the numbers of engines per failure domain and role.
type domainCounts map[msg.FailureDomain]counts

func (c counts) of(r msg.Role) int {
	switch r {
	case msg.RolePrefill:
		return c.prefill
	case msg.RoleDecode:
		return c.decode
	default:
		return c.mixed
	}
}

// maxInDomain returns the largest number of engines of a role in any one failure
// domain.
func (s domainCounts) maxInDomain(r msg.Role) int {
	n := 0
	for _, c := range s {
		n = max(n, c.of(r))
	}
	return n
}

// capableDomains returns the numbers of failure domains that are capable of each
// kind of work.
func (s domainCounts) capableDomains() (prefill, decode int) {
	for _, c := range s {
		if c.prefill+c.mixed > 0 {
			prefill++
		}
		if c.decode+c.mixed > 0 {
			decode++
		}
	}
	return prefill, decode
}

// keepsRedundancy reports whether, after a change of one engine, as many failure
// domains as before are capable of each kind of work, or at least
// minCapableDomains of them.
func (s domainCounts) keepsRedundancy(d msg.FailureDomain, from, to msg.Role) bool {
	prefill, decode := s.capableDomains()
	before := s[d]
	s[d] = before.add(from, -1).add(to, 1)
	prefillAfter, decodeAfter := s.capableDomains()
	s[d] = before
	return prefillAfter >= min(prefill, minCapableDomains) && decodeAfter >= min(decode, minCapableDomains)
}
