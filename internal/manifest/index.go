package manifest

import "strings"

// Index is a manifest with lookup tables. It is shared between goroutines and
// must not be changed.
type Index struct {
	*Manifest
	routes   map[string]*Route
	pools    map[string]*Pool
	models   map[string]*Model
	accounts map[string]*Account
	keys     map[string]KeyRef
	// domains maps each failure domain to its region.
	domains map[string]string
}

// KeyRef is a key and the account to which it belongs.
type KeyRef struct {
	Key     *Key
	Account *Account
}

// NewIndex builds the lookup tables of a valid manifest.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		Manifest: m,
		routes:   make(map[string]*Route, len(m.Routes)),
		pools:    make(map[string]*Pool, len(m.Pools)),
		models:   make(map[string]*Model, len(m.Models)),
		accounts: make(map[string]*Account, len(m.Accounts)),
		keys:     make(map[string]KeyRef),
		domains:  make(map[string]string),
	}
	for i := range m.Routes {
		x.routes[m.Routes[i].Name] = &m.Routes[i]
	}
	for i := range m.Pools {
		x.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	for i := range m.Models {
		x.models[m.Models[i].Name] = &m.Models[i]
	}
	for i := range m.Accounts {
		x.addAccount(&m.Accounts[i])
	}
	for _, r := range m.Regions {
		for _, d := range r.FailureDomains {
			x.domains[d] = r.Name
		}
	}
	return x
}

func (x *Index) addAccount(a *Account) {
	x.accounts[a.Name] = a
	for j := range a.Keys {
		x.keys[a.Keys[j].ID] = KeyRef{Key: &a.Keys[j], Account: a}
	}
}

// Route returns the route with the given name, or nil if there is none.
func (x *Index) Route(name string) *Route { return x.routes[name] }

// Pool returns the pool with the given name, or nil if there is none.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Model returns the model with the given name, or nil if there is none.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Account returns the account with the given name, or nil if there is none.
func (x *Index) Account(name string) *Account { return x.accounts[name] }

// Key returns the key with the given ID and its account, and whether the key
// exists.
func (x *Index) Key(id string) (KeyRef, bool) {
	ref, ok := x.keys[id]
	return ref, ok
}

// Region returns the region of a failure domain, or "" if no region contains it.
func (x *Index) Region(domain string) string { return x.domains[domain] }

// Operation returns the operation of a service route that matches a call, or nil
// if there is none. If several match, it returns the one with the longest path
// prefix.
func (r *Route) Operation(method, path string) *Operation {
	var best *Operation
	for i := range r.Operations {
		op := &r.Operations[i]
		if op.Method != method || !strings.HasPrefix(path, op.PathPrefix) {
			continue
		}
		if best == nil || len(op.PathPrefix) > len(best.PathPrefix) {
			best = op
		}
	}
	return best
}

// Allows reports whether an account may use the route. A route that lists no
// accounts allows all of them.
func (r *Route) Allows(account string) bool {
	if len(r.Accounts) == 0 {
		return true
	}
	for _, a := range r.Accounts {
		if a == account {
			return true
		}
	}
	return false
}
