// Package proof checks the promises of the system by stateful fuzzing.
//
// Its tests run the reducers of several entries and sides against fakes of
// the outside interfaces, all under one queue of events in virtual time. The
// queue delays, drops, duplicates and reorders messages, kills and pauses
// processes, parts the network, takes the platform out and loses its answers
// after their effect. An oracle watches the outside interfaces and states
// each promise in a few lines.
package proof
