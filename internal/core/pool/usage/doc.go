// Package usage counts the tokens and requests of client accounts and reports
// them to the usage interface.
//
// A [Recorder] runs in every entry daemon and every side daemon. The entry daemon
// that starts an attempt and the side daemon that runs it both record its usage
// and flush their records to the platform every few seconds, each to objects of
// its own, so that the loss of one process loses no usage. The objects are named
// by buckets, which are minutes of the wall clock; buckets are independent of the
// windows for which usage is reported.
//
// A [Reporter] runs in every entry daemon. Client accounts are distributed over
// shards. The holder of a shard's lease reads the records of both daemons,
// counts each attempt once, freezes the usage of a window by a conditional
// create, and reports the frozen usage until it is accepted. Attempts that are
// found after their window was frozen are counted as late in the next one.
package usage
