// Package core composes the reducers of the daemons from their components.
// [Entry] and [Side] are the reducers of entry daemons and side daemons.
// [Direct] is the reducer of an entry daemon on the direct path, which is a
// deployment without side daemons.
//
// The components of [Direct] are in the folder direct, those of [Entry] and [Side] in
// the folder pool. The other packages are used by both.
package core
