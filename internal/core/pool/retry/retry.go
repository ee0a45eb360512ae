// Package retry limits retries by budgets, so that the failure of many attempts
// does not multiply the load.
package retry

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

const (
	// depositPerRequest is the number of retries that each new request adds to
	// a budget.
	depositPerRequest = 0.1
	// capacity is the maximum number of retries in a budget.
	capacity = 20
	// maxBudgets is the number of stored budgets of one kind, which is routes or
	// accounts, above which all budgets of that kind are reset to full.
	maxBudgets = 10_000
)

// Budgets holds a retry budget for each route and for each client account.
// Budgets that are full are not stored.
type Budgets struct {
	routes   map[msg.RouteID]float64
	accounts map[msg.AccountID]float64
}

// New returns budgets that are full.
func New() *Budgets {
	return &Budgets{routes: make(map[msg.RouteID]float64), accounts: make(map[msg.AccountID]float64)}
}

// Deposit adds the deposit of a new request to the budgets of its route and its
// client account.
func (b *Budgets) Deposit(route msg.RouteID, account msg.AccountID) {
	addDeposit(b.routes, route)
	addDeposit(b.accounts, account)
}

// TryWithdraw takes one retry from the budgets of the route and of the client
// account. It reports false and takes nothing if either holds less than one.
func (b *Budgets) TryWithdraw(route msg.RouteID, account msg.AccountID) bool {
	if balance(b.routes, route) < 1 || balance(b.accounts, account) < 1 {
		return false
	}
	b.routes[route] = balance(b.routes, route) - 1
	b.accounts[account] = balance(b.accounts, account) - 1
	return true
}

// balance returns the number of retries in a budget, which is the capacity if
// the budget is not stored.
func balance[K comparable](m map[K]float64, k K) float64 {
	v, ok := m[k]
	if !ok {
		return capacity
	}
	return v
}

// addDeposit adds a deposit to a budget, and removes the budget once it is
// full.
func addDeposit[K comparable](m map[K]float64, k K) {
	v, ok := m[k]
	if !ok {
		return
	}
	if v+depositPerRequest >= capacity {
		delete(m, k)
		return
	}
	m[k] = v + depositPerRequest
	if len(m) > maxBudgets {
		clear(m)
	}
}
