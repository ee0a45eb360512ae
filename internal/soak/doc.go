// Package soak holds a randomized test of real processes: entry daemons of the
// direct path between proxies that delay, reset, silence and refuse
// connections, while the daemons are stopped, killed, paused and told to
// reload. It checks the promises by what callers and targets see.
package soak
