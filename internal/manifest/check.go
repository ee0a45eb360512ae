package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// checker collects the faults that concern more than one field.
type checker struct {
	m      *Manifest
	faults []strictyaml.Violation
	models map[string]*Model
	pools  map[string]*Pool
	// domains holds the declared failure domains; empty when no region is
	// declared, and then every failure domain is taken.
	domains  map[string]bool
	accounts map[string]bool
}

func check(m *Manifest) []strictyaml.Violation {
	c := &checker{
		m:        m,
		models:   make(map[string]*Model, len(m.Models)),
		pools:    make(map[string]*Pool, len(m.Pools)),
		domains:  make(map[string]bool),
		accounts: make(map[string]bool, len(m.Accounts)),
	}
	c.checkRegions()
	c.checkModels()
	c.checkAccounts()
	c.checkPools()
	c.checkRoutes()
	return c.faults
}

func (c *checker) addf(path, format string, args ...any) {
	c.faults = append(c.faults, strictyaml.Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}

// unique reports a name that an earlier entry has already.
func (c *checker) unique(seen map[string]bool, what, name, path string) {
	if seen[name] {
		c.addf(path, "%s %q stands twice", what, name)
	}
	seen[name] = true
}

func (c *checker) checkRegions() {
	names := make(map[string]bool)
	for i, r := range c.m.Regions {
		c.unique(names, "region", r.Name, fmt.Sprintf("$.regions[%d].name", i))
		for j, d := range r.FailureDomains {
			c.unique(c.domains, "failure domain", d, fmt.Sprintf("$.regions[%d].failureDomains[%d]", i, j))
		}
	}
}

func (c *checker) checkModels() {
	names := make(map[string]bool)
	for i := range c.m.Models {
		model := &c.m.Models[i]
		c.unique(names, "model", model.Name, fmt.Sprintf("$.models[%d].name", i))
		c.models[model.Name] = model
		adapters := make(map[string]bool)
		for j, a := range model.Adapters {
			c.unique(adapters, "adapter", a, fmt.Sprintf("$.models[%d].adapters[%d]", i, j))
		}
	}
}

func (c *checker) checkAccounts() {
	keys := make(map[string]bool)
	for i, a := range c.m.Accounts {
		c.unique(c.accounts, "account", a.Name, fmt.Sprintf("$.accounts[%d].name", i))
		for j, k := range a.Keys {
			path := fmt.Sprintf("$.accounts[%d].keys[%d]", i, j)
			c.unique(keys, "key", k.ID, path+".id")
			if k.Hash != strings.ToLower(k.Hash) {
				c.addf(path+".hash", "must be in lower case")
			}
		}
	}
}

func (c *checker) checkPools() {
	names := make(map[string]bool)
	for i := range c.m.Pools {
		p := &c.m.Pools[i]
		path := fmt.Sprintf("$.pools[%d]", i)
		c.unique(names, "pool", p.Name, path+".name")
		c.pools[p.Name] = p
		c.checkPoolModel(p, path)
		c.checkShape(p, path)
	}
}

func (c *checker) checkPoolModel(p *Pool, path string) {
	switch {
	case p.Kind == PoolService && p.Model != "":
		c.addf(path+".model", "a service pool has no model")
	case p.Kind == PoolEngines && p.Model == "":
		c.addf(path+".model", "is missing; an engine pool needs a model")
	case p.Kind == PoolEngines && c.models[p.Model] == nil:
		c.addf(path+".model", "no model is called %q", p.Model)
	}
	if p.Kind == PoolService && p.Roles != (RolePolicy{}) {
		c.addf(path+".roles", "a service pool has no roles")
	}
	if p.Roles.Mode != RolesFixed && (p.Roles.Prefill != 0 || p.Roles.Decode != 0) {
		c.addf(path+".roles", "prefill and decode are taken in mode fixed only")
	}
}

func (c *checker) checkShape(p *Pool, path string) {
	seen := make(map[string]bool)
	most := 0
	for j, s := range p.Shape {
		at := fmt.Sprintf("%s.shape[%d].failureDomain", path, j)
		c.unique(seen, "failure domain", s.FailureDomain, at)
		if len(c.domains) > 0 && !c.domains[s.FailureDomain] {
			c.addf(at, "no region holds the failure domain %q", s.FailureDomain)
		}
		most += s.Max
	}
	if most == 0 {
		c.addf(path+".shape", "allows no target; withdraw the pool instead")
	}
	if fixed := p.Roles.Prefill + p.Roles.Decode; fixed > most {
		c.addf(path+".roles", "%d fixed roles are more than the %d targets", fixed, most)
	}
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	for i := range c.m.Routes {
		r := &c.m.Routes[i]
		path := fmt.Sprintf("$.routes[%d]", i)
		c.unique(names, "route", r.Name, path+".name")
		c.checkRoutePool(r, path)
		c.checkRouteAccess(r, path)
		if r.QueueTimeout > r.Timeout {
			c.addf(path+".queueTimeout", "%s is longer than the timeout %s", r.QueueTimeout, r.Timeout)
		}
	}
}

func (c *checker) checkRoutePool(r *Route, path string) {
	p := c.pools[r.Pool]
	if p == nil {
		c.addf(path+".pool", "no pool is called %q", r.Pool)
		return
	}
	if p.Kind == PoolService {
		c.checkServiceRoute(r, path)
		return
	}
	if len(r.Operations) > 0 {
		c.addf(path+".operations", "a route of an engine pool has no operations")
	}
	if model := c.models[p.Model]; r.Adapter != "" && model != nil && !slices.Contains(model.Adapters, r.Adapter) {
		c.addf(path+".adapter", "model %q has no adapter %q", p.Model, r.Adapter)
	}
}

func (c *checker) checkServiceRoute(r *Route, path string) {
	if r.Adapter != "" {
		c.addf(path+".adapter", "a route of a service pool has no adapter")
	}
	if len(r.Operations) == 0 {
		c.addf(path+".operations", "is missing; a route of a service pool lists its operations")
	}
	seen := make(map[string]bool)
	for j, op := range r.Operations {
		at := fmt.Sprintf("%s.operations[%d]", path, j)
		c.unique(seen, "operation", op.Method+" "+op.PathPrefix, at+".pathPrefix")
		if r.Access == AccessPublic && !op.Idempotent {
			c.addf(at+".idempotent", "a public route takes idempotent operations only, as a claim needs an account")
		}
	}
}

func (c *checker) checkRouteAccess(r *Route, path string) {
	if r.Access == AccessPublic && len(r.Accounts) > 0 {
		c.addf(path+".accounts", "a public route is open to all; it lists no accounts")
	}
	for j, a := range r.Accounts {
		if !c.accounts[a] {
			c.addf(fmt.Sprintf("%s.accounts[%d]", path, j), "no account is called %q", a)
		}
	}
}
