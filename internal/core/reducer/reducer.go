// Package reducer composes a reducer from components.
//
// A reducer is deterministic: its next state and its effects depend only on its
// state, the time and the event. It reads no clock, starts no goroutine, does no
// I/O and draws random numbers only from the seed in [msg.Started].
package reducer

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Component is one of the state machines that make up a reducer. It ignores
// events that do not concern it.
type Component interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// maxRaised is the largest number of internal events that one external event
// may cause. Exceeding it is a programming error, such as two components that
// raise events for each other without end.
const maxRaised = 100_000

// Reducer is a composition of components. It is not safe for concurrent use.
type Reducer struct {
	components []Component
}

// New returns a reducer of the given components. They process each event in this
// order.
func New(components ...Component) *Reducer { return &Reducer{components: components} }

// Step processes one event and returns the effects for the driver, in order.
// Events that components raise are delivered to all components in the order in
// which they were raised, before Step returns.
func (r *Reducer) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var out []msg.Effect
	queue := []msg.Event{ev}
	for i := 0; i < len(queue); i++ {
		if i > maxRaised {
			panic("reducer: one event caused more than the allowed number of internal events")
		}
		for _, c := range r.components {
			for _, eff := range c.Step(now, queue[i]) {
				if raise, ok := eff.(msg.Raise); ok {
					queue = append(queue, raise.Event)
					continue
				}
				out = append(out, eff)
			}
		}
	}
	return out
}
