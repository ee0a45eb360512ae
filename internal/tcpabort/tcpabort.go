// Package tcpabort makes TCP connections void what they have not delivered when they end.
//
// After an ordinary close, and after the exit of its process, a kernel goes on sending what
// the other host has not acknowledged, for minutes if need be. A call that was given up
// while a network partition held it up then arrives after the partition has healed. A call
// under a lease must not: others act under the next epoch by then. The options of this
// package take effect without the process, so that they hold too if it is paused or killed.
package tcpabort

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Control returns a function for [net.Dialer.Control]. However a connection that was
// dialed with it ends, the kernel resets it and drops what the other host has not
// acknowledged. The kernel ends the connection by itself once something has been
// unacknowledged for unacked. It counts from the first retransmission, so that the
// connection ends some 0.2 s later.
//
// On Linux, unacked takes the place of the number of keep-alive probes that may be
// unanswered.
func Control(unacked time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds())); err != nil {
				return errors.Wrap(err, "tcpabort: limit of unacknowledged time")
			}
			return resetOnClose(fd)
		})
	}
}

// DropUnacknowledged prepares a connection for its close. If the other host has not
// acknowledged all that was sent, the close resets the connection and drops that, and the
// result is true. Otherwise the close stays an ordinary one: unlike a reset, it is repeated
// until the other host, which has received all, knows that the connection has ended.
func DropUnacknowledged(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	dropped := false
	err = control(raw, func(fd int) error {
		unacked, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil || unacked == 0 {
			return err
		}
		dropped = true
		return resetOnClose(fd)
	})
	return err == nil && dropped
}

func resetOnClose(fd int) error {
	err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	return errors.Wrap(err, "tcpabort: reset on close")
}

// control calls f with the file descriptor of a connection.
func control(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if cerr := c.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
