package lease

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Authority is what a part that acts under a lease keeps of it.
type Authority struct {
	// Epoch goes along with what is done under the lease, and Until is the
	// instant after which nothing may be.
	Epoch msg.Epoch
	Until msg.Time
	held  bool
}

// Update follows a change of the lease and reports whether it was acquired anew.
func (a *Authority) Update(ev msg.LeaseChanged) bool {
	acquired := ev.Held && (!a.held || ev.Epoch != a.Epoch)
	*a = Authority{Epoch: ev.Epoch, Until: ev.Until, held: ev.Held}
	return acquired
}

// Valid reports whether the lease allows to act now.
func (a *Authority) Valid(now msg.Time) bool { return a.held && now < a.Until }
