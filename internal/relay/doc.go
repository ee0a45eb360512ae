// Package relay owns what callers hold of a process: connections, the heads and bodies of
// their requests, and responses that they have not read, within bounds on descriptors and
// memory.
//
// A [Port] accepts connections. While it has as many as it may, the one that has waited the
// longest gives way to the next. A [Receipt] is the room that a request holds; one that does
// not end loses its room to one that needs it.
//
// Callers that read slowly do not hold back the targets that answer them. What a connection
// does not take at once is held in memory and sent as the caller reads, in order. A caller
// that keeps up costs neither a copy nor a goroutine.
//
// The load that it answers: hundreds of callers that read slowly or not at all, on a
// host with little memory, while many others send bodies. A [Budget] bounds what is held
// for all of them. Each caller may hold a share of what is still free (the dynamic
// threshold of switches with shared memory), so that those that hold the most are held
// back first, and a first block is left for each of the others. A caller that takes
// nothing for a while is given up: its connection is reset.
package relay
