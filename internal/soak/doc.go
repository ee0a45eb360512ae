// Package soak contains a randomized test with real processes. It runs entry
// daemons of the direct path between proxies that delay, reset, stall and refuse
// connections, while it stops, kills, pauses and reloads the daemons. It checks
// the promises by the requests and responses that callers and targets observe, and
// by how connections over slow links end: a request that an entry has read gets a
// complete response, also around a planned stop.
package soak
