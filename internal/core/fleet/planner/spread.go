package planner

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// domainSlack is how many fewer engines of a role than the fullest failure
// domain a domain may have and still give one up.
const domainSlack = 1

// survivable is the number of failure domains in which each kind of work
// should be possible, so that the loss of one leaves the other.
const survivable = 2

// spread counts the engines per failure domain and role.
type spread map[msg.FailureDomain]counts

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

// most returns the largest number of engines of a role in one domain.
func (s spread) most(r msg.Role) int {
	n := 0
	for _, c := range s {
		n = max(n, c.of(r))
	}
	return n
}

// serving returns the numbers of domains in which each kind of work can be
// done.
func (s spread) serving() (prefill, decode int) {
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

// keeps reports whether a change of one engine leaves each kind of work in as
// many failure domains as before, or in enough of them.
func (s spread) keeps(d msg.FailureDomain, from, to msg.Role) bool {
	prefill, decode := s.serving()
	before := s[d]
	s[d] = before.add(from, -1).add(to, 1)
	prefillAfter, decodeAfter := s.serving()
	s[d] = before
	return prefillAfter >= min(prefill, survivable) && decodeAfter >= min(decode, survivable)
}
