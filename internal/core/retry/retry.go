// Package retry bounds retries by budgets, so that a failure of many attempts
// does not multiply the load.
package retry

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

const (
	// deposit is the part of a retry that each new request earns.
	deposit = 0.1
	// capacity is the largest number of retries that a budget holds.
	capacity = 20
	// maxBudgets bounds the number of budgets.
	maxBudgets = 10_000
)

// Budgets holds a retry budget per route and one per client account.
type Budgets struct {
	routes   map[msg.RouteID]float64
	accounts map[msg.AccountID]float64
}

// New returns full budgets.
func New() *Budgets {
	return &Budgets{routes: make(map[msg.RouteID]float64), accounts: make(map[msg.AccountID]float64)}
}

// Earn credits a new request.
func (b *Budgets) Earn(route msg.RouteID, account msg.AccountID) {
	credit(b.routes, route)
	credit(b.accounts, account)
}

// Spend takes one retry from both budgets. It reports false, and takes
// nothing, where one of them is used up.
func (b *Budgets) Spend(route msg.RouteID, account msg.AccountID) bool {
	if left(b.routes, route) < 1 || left(b.accounts, account) < 1 {
		return false
	}
	b.routes[route] = left(b.routes, route) - 1
	b.accounts[account] = left(b.accounts, account) - 1
	return true
}

// left returns what a budget holds; one that is not kept is full.
func left[K comparable](m map[K]float64, k K) float64 {
	v, ok := m[k]
	if !ok {
		return capacity
	}
	return v
}

// credit adds a deposit to a budget and drops it once it is full.
func credit[K comparable](m map[K]float64, k K) {
	v, ok := m[k]
	if !ok {
		return
	}
	if v+deposit >= capacity {
		delete(m, k)
		return
	}
	m[k] = v + deposit
	if len(m) > maxBudgets {
		clear(m)
	}
}
