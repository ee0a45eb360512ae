// Package core composes the reducers of the two kinds of daemon from their
// parts.
package core
