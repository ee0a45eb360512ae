// Package reducer composes a reducer from parts.
//
// A reducer is pure: its next state and its effects follow from its state,
// the time and the event. It reads no clock, starts no goroutine, does no I/O
// and draws random numbers only from the seed that comes with
// [msg.Started].
package reducer

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Component is one part of a reducer. It ignores events that do not concern it.
type Component interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// maxRaised bounds the internal events that one external event may lead to.
const maxRaised = 100_000

// Reducer is the composition of parts. It is not safe for concurrent use.
type Reducer struct {
	parts []Component
}

// New returns a reducer of the given parts. Each event visits them in
// this order.
func New(parts ...Component) *Reducer { return &Reducer{parts: parts} }

// Step takes one event and returns the effects for the driver, in order.
// Events that parts raise are handed to all parts, first raised first, before
// Step returns.
func (r *Reducer) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var out []msg.Effect
	queue := []msg.Event{ev}
	for i := 0; i < len(queue); i++ {
		if i > maxRaised {
			panic("reducer: parts raise events without end")
		}
		for _, p := range r.parts {
			for _, eff := range p.Step(now, queue[i]) {
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
