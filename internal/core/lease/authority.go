package lease

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Authority holds the state of a lease for a component that acts under it.
type Authority struct {
	// Epoch accompanies every action under the lease. No action may take effect
	// at Until or later.
	Epoch msg.Epoch
	Until msg.Time
	held  bool
}

// Update applies a change of the lease and reports whether the lease was newly
// acquired, as opposed to renewed or lost.
func (a *Authority) Update(ev msg.LeaseChanged) bool {
	acquired := ev.Held && (!a.held || ev.Epoch != a.Epoch)
	*a = Authority{Epoch: ev.Epoch, Until: ev.Until, held: ev.Held}
	return acquired
}

// Valid reports whether the lease allows the component to act at the given
// time.
func (a *Authority) Valid(now msg.Time) bool { return a.held && now < a.Until }
