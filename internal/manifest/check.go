package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// checker collects the violations of rules that concern more than one field.
type checker struct {
	m          *Manifest
	violations []strictyaml.Violation
	models     map[string]*Model
	pools      map[string]*Pool
	// domains holds the declared failure domains. It is empty if no region is
	// declared; every failure domain is accepted then.
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
	return c.violations
}

func (c *checker) addf(path, format string, args ...any) {
	c.violations = append(c.violations, strictyaml.Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkUnique adds name to seen, and reports a violation if an earlier entry has
// the same name.
func (c *checker) checkUnique(seen map[string]bool, kind, name, path string) {
	if seen[name] {
		c.addf(path, "duplicate %s %q", kind, name)
	}
	seen[name] = true
}

func (c *checker) checkRegions() {
	names := make(map[string]bool)
	for i, r := range c.m.Regions {
		c.checkUnique(names, "region", r.Name, fmt.Sprintf("$.regions[%d].name", i))
		for j, d := range r.FailureDomains {
			c.checkUnique(c.domains, "failure domain", d, fmt.Sprintf("$.regions[%d].failureDomains[%d]", i, j))
		}
	}
}

func (c *checker) checkModels() {
	names := make(map[string]bool)
	for i := range c.m.Models {
		model := &c.m.Models[i]
		c.checkUnique(names, "model", model.Name, fmt.Sprintf("$.models[%d].name", i))
		c.models[model.Name] = model
		adapters := make(map[string]bool)
		for j, a := range model.Adapters {
			c.checkUnique(adapters, "adapter", a, fmt.Sprintf("$.models[%d].adapters[%d]", i, j))
		}
	}
}

func (c *checker) checkAccounts() {
	keys := make(map[string]bool)
	for i, a := range c.m.Accounts {
		c.checkUnique(c.accounts, "account", a.Name, fmt.Sprintf("$.accounts[%d].name", i))
		for j, k := range a.Keys {
			path := fmt.Sprintf("$.accounts[%d].keys[%d]", i, j)
			c.checkUnique(keys, "key", k.ID, path+".id")
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
		c.checkUnique(names, "pool", p.Name, path+".name")
		c.pools[p.Name] = p
		c.checkPoolModel(p, path)
		c.checkShape(p, path)
	}
}

func (c *checker) checkPoolModel(p *Pool, path string) {
	switch {
	case p.Kind == PoolService && p.Model != "":
		c.addf(path+".model", "must not be set for a service pool")
	case p.Kind == PoolEngines && p.Model == "":
		c.addf(path+".model", "is missing; an engine pool needs a model")
	case p.Kind == PoolEngines && c.models[p.Model] == nil:
		c.addf(path+".model", "model %q does not exist", p.Model)
	}
	if p.Kind == PoolService && p.Roles != (RolePolicy{}) {
		c.addf(path+".roles", "must not be set for a service pool")
	}
	if p.Roles.Mode != RolesFixed && (p.Roles.Prefill != 0 || p.Roles.Decode != 0) {
		c.addf(path+".roles", "prefill and decode are allowed in mode fixed only")
	}
}

func (c *checker) checkShape(p *Pool, path string) {
	seen := make(map[string]bool)
	maxTargets := 0
	for j, s := range p.Shape {
		domainPath := fmt.Sprintf("%s.shape[%d].failureDomain", path, j)
		c.checkUnique(seen, "failure domain", s.FailureDomain, domainPath)
		if len(c.domains) > 0 && !c.domains[s.FailureDomain] {
			c.addf(domainPath, "no region contains the failure domain %q", s.FailureDomain)
		}
		maxTargets += s.Max
	}
	if maxTargets == 0 {
		c.addf(path+".shape", "allows no targets; remove the pool instead")
	}
	if fixed := p.Roles.Prefill + p.Roles.Decode; fixed > maxTargets {
		c.addf(path+".roles", "%d fixed roles exceed the maximum of %d targets", fixed, maxTargets)
	}
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	for i := range c.m.Routes {
		r := &c.m.Routes[i]
		path := fmt.Sprintf("$.routes[%d]", i)
		c.checkUnique(names, "route", r.Name, path+".name")
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
		c.addf(path+".pool", "pool %q does not exist", r.Pool)
		return
	}
	if p.Kind == PoolService {
		c.checkServiceRoute(r, path)
		return
	}
	if len(r.Operations) > 0 {
		c.addf(path+".operations", "must not be set for a route of an engine pool")
	}
	if model := c.models[p.Model]; r.Adapter != "" && model != nil && !slices.Contains(model.Adapters, r.Adapter) {
		c.addf(path+".adapter", "model %q has no adapter %q", p.Model, r.Adapter)
	}
}

func (c *checker) checkServiceRoute(r *Route, path string) {
	if r.Adapter != "" {
		c.addf(path+".adapter", "must not be set for a route of a service pool")
	}
	if len(r.Operations) == 0 {
		c.addf(path+".operations", "is missing; a route of a service pool must list its operations")
	}
	seen := make(map[string]bool)
	for j, op := range r.Operations {
		opPath := fmt.Sprintf("%s.operations[%d]", path, j)
		c.checkUnique(seen, "operation", op.Method+" "+op.PathPrefix, opPath+".pathPrefix")
		if r.Access == AccessPublic && !op.Idempotent {
			c.addf(opPath+".idempotent", "must be true for a public route, because an Idempotency-Key belongs to an account")
		}
	}
}

func (c *checker) checkRouteAccess(r *Route, path string) {
	if r.Access == AccessPublic && len(r.Accounts) > 0 {
		c.addf(path+".accounts", "must not be set for a public route, which is open to all callers")
	}
	for j, a := range r.Accounts {
		if !c.accounts[a] {
			c.addf(fmt.Sprintf("%s.accounts[%d]", path, j), "account %q does not exist", a)
		}
	}
}
