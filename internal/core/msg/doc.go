// Package msg defines the events and effects of the reducers, and the value
// types that they share.
//
// An [Event] is an input of a reducer: a caller's request, a response of the
// platform's object API, a message from another daemon, a timer tick. An
// [Effect] is an action that the reducer asks its driver to perform. The driver
// is the code around a reducer that does the I/O. Only types of this package
// implement the two interfaces. The components of a reducer communicate through
// internal events: a component emits one with [Raise], and every component of
// the same daemon processes it before the next external event.
//
// All types are plain data without channels, functions or locks, so that
// replaying a recorded sequence of events produces the same effects.
package msg
