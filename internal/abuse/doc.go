// Package abuse holds tests of an entry daemon on the platform before crowds of clients
// that do not behave: they send bodies and heads that they do not end, requests without
// reading the responses, or nothing at all. The daemon is a real process on loopback
// addresses, under low limits of memory and descriptors.
//
// The tests check what does not depend on the speed of the machine. They have to run one
// at a time, and apart from other load: make unit does that.
package abuse
