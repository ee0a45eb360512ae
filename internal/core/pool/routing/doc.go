// Package routing selects the target on which an attempt of a request runs.
//
// A decision filters the targets of a pool, scores the remaining ones by their
// expected cost in seconds, and picks the cheapest of a sample: the targets
// expected to have a prefix of the prompt in their cache, and a few random
// ones.
package routing
