// Package usage counts what client accounts use and reports it.
//
// A [Recorder] runs in every entry and every side. Both ends of an attempt
// record it and flush their records to the platform every few seconds, each to
// objects of its own, so that the loss of one process loses no record. A
// [Reporter] runs in every entry; the holder of the lease of a shard of client
// accounts reads the records of both ends, counts each attempt once, freezes
// the figures of a window by a conditional create, and reports the frozen
// figures until they are accepted. Attempts that are found after their window
// was frozen are counted as late in the next one.
package usage
