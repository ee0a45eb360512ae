package daemon

import (
	"net"
	"testing"
)

// acceptEach listens on a loopback address and serves each connection, which it closes then.
func acceptEach(t *testing.T, serve func(c *net.TCPConn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l
}
