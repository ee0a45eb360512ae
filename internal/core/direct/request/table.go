package request

import (
	"cmp"
	"slices"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// routeTable is a configuration prepared for lookups.
type routeTable struct {
	version      uint64
	routes       map[string][]*msg.DirectRoute // by host, the longest prefix first
	keys         map[string]*msg.DirectAccount
	keysRequired bool
	accounts     []msg.DirectAccount
	services     map[msg.ServiceID]*msg.DirectService
}

func newRouteTable(t *msg.RouteTable) *routeTable {
	out := &routeTable{
		version:      t.Version,
		routes:       make(map[string][]*msg.DirectRoute),
		keys:         make(map[string]*msg.DirectAccount),
		keysRequired: len(t.Accounts) > 0,
		accounts:     t.Accounts,
		services:     make(map[msg.ServiceID]*msg.DirectService, len(t.Services)),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		out.routes[host] = append(out.routes[host], r)
	}
	for _, list := range out.routes {
		slices.SortStableFunc(list, func(a, b *msg.DirectRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			out.keys[k] = &t.Accounts[i]
		}
	}
	for i := range t.Services {
		out.services[t.Services[i].Service] = &t.Services[i]
	}
	return out
}

// route returns the route of the host with the longest prefix that matches the
// path, or nil if there is none.
func (t *routeTable) route(host, path string) *msg.DirectRoute {
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// pickService selects one of a route's services by weight. The argument draw is
// a random number in [0, 1).
func (t *routeTable) pickService(r *msg.DirectRoute, draw float64) msg.ServiceID {
	var total float64
	for _, sh := range r.Shares {
		total += sh.Weight
	}
	left := draw * total
	for _, sh := range r.Shares {
		left -= sh.Weight
		if left < 0 {
			return sh.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
