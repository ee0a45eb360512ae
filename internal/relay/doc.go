// Package relay keeps callers that read slowly from holding back the targets that
// answer them, within a bound on memory.
//
// It stands between an HTTP server and the connections of its callers. What a
// connection does not take at once is held in memory and sent as the caller reads, in
// order. A caller that keeps up costs neither a copy nor a goroutine.
//
// The load that it answers: hundreds of callers that read slowly or not at all, on a
// host with little memory, while many others send bodies. A [Budget] bounds what is held
// for all of them. Each caller may hold a share of what is still free (the dynamic
// threshold of switches with shared memory), so that those that hold the most are held
// back first, and a first block is left for each of the others. A caller that takes
// nothing for a while is given up: its connection is reset.
package relay
