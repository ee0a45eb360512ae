package config

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Follower is the configuration component of a side daemon. It receives the
// newest generation from the exchange and holds no manifest.
type Follower struct{ generation msg.Generation }

// NewFollower returns a follower without a generation.
func NewFollower() *Follower { return &Follower{} }

// Step implements reducer.Component.
func (f *Follower) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	reported, ok := ev.(msg.PeerConfigReported)
	if !ok || reported.Generation <= f.generation {
		return nil
	}
	f.generation = reported.Generation
	return []msg.Effect{msg.Raise{Event: msg.ConfigChanged{Generation: f.generation}}}
}
