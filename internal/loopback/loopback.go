// Package loopback gives each test process loopback addresses of its own, so that test
// processes that run at once can use fixed ports without taking each other's.
package loopback

import (
	"fmt"
	"os"
)

// maxAddresses is the number of addresses of a process.
const maxAddresses = 3

// IP returns the address with the number i, which is from 0 to 2, of this process. Ports
// on it should lie below the ephemeral ports, which the system gives to other sockets.
func IP(i int) string {
	if i < 0 || i >= maxAddresses {
		panic("loopback: no such address")
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64*(i+1)+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
