package config

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Follower is the configuration part of a side daemon. It knows the newest
// generation from the exchange and holds no manifest.
type Follower struct{ generation msg.Generation }

// NewFollower returns the part.
func NewFollower() *Follower { return &Follower{} }

// Step implements the reducer's part.
func (f *Follower) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	heard, ok := ev.(msg.PeerConfigReported)
	if !ok || heard.Generation <= f.generation {
		return nil
	}
	f.generation = heard.Generation
	return []msg.Effect{msg.Raise{Event: msg.ConfigChanged{Generation: f.generation}}}
}
