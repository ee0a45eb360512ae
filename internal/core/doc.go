// Package core composes the reducers of the entry daemon and the side daemon
// from their components.
package core
