package platform

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var errDeadlinePassed = errors.New("the call's deadline has passed")

// gate blocks the writes of one request once its deadline has passed.
type gate struct {
	now      func() msg.Time
	notAfter msg.Time
	// wrote is set when bytes are about to be written to a connection.
	wrote atomic.Bool
	// blocked is set when a write is blocked. The request is then incomplete, and
	// all its further writes are blocked too.
	blocked atomic.Bool
}

// attach returns a context that makes the connections of its request use the gate.
func (g *gate) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := rawConn(info.Conn).(*gatedConn); ok {
				conn.gate.Store(g)
			}
		},
	})
}

// allowWrite returns an error if the deadline has passed.
func (g *gate) allowWrite() error {
	if g.notAfter != 0 && g.now() >= g.notAfter {
		g.blocked.Store(true)
	}
	if g.blocked.Load() {
		return errDeadlinePassed
	}
	g.wrote.Store(true)
	return nil
}

// noEffect reports whether the request certainly did not reach its receiver
// completely.
func (g *gate) noEffect() bool { return g.blocked.Load() || !g.wrote.Load() }

// rawConn returns the connection below TLS.
func rawConn(conn net.Conn) net.Conn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return conn
}

// gatedConn checks the gate of its current request before each write.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write writes b unless the deadline of the current request has passed.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.allowWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
