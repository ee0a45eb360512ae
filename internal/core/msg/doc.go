// Package msg defines the events and effects of the reducers, and the value
// types that they share.
//
// An [Event] is something that happened: a caller's request, an answer of the
// platform's object API, a message from another daemon, a timer tick. An
// [Effect] is something that the daemon is to do about it. Both are closed
// sums: only types of this package implement them. Parts of a reducer talk to
// each other through internal events, which a part raises with [Raise] and
// which every part of the same daemon then sees before the next external
// event.
//
// All types are plain data. They hold no channels, functions or locks, so
// that a recorded sequence of events replays to the same effects.
package msg
