// Package routing chooses the target of an attempt.
//
// A decision filters the targets of a pool, scores the ones that are left by
// their expected cost in seconds, and picks one of the cheapest.
package routing
