// Package proof checks the promises of the system by stateful fuzzing.
//
// Its tests run the reducers of several entry and side daemons against fakes
// of all external interfaces, in virtual time and from one event queue. They
// delay, drop, duplicate and reorder messages, kill and pause processes,
// partition the network, make the platform unavailable and lose its responses
// after a call has taken effect. An oracle observes the external interfaces
// and checks each promise in a few lines.
package proof
