package platform

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var errTooLate = errors.New("the call's deadline has passed")

// gate stops the writes of one request after its deadline.
type gate struct {
	now      func() msg.Time
	notAfter msg.Time
	// wrote is set once bytes were handed to a connection.
	wrote atomic.Bool
	// shut is set once a write was stopped; the request is then incomplete.
	shut atomic.Bool
}

// attach makes the connections that a request uses pass through the gate.
func (g *gate) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := rawConn(info.Conn).(*gatedConn); ok {
				conn.gate.Store(g)
			}
		},
	})
}

func (g *gate) check() error {
	if g.notAfter != 0 && g.now() >= g.notAfter {
		g.shut.Store(true)
	}
	if g.shut.Load() {
		return errTooLate
	}
	g.wrote.Store(true)
	return nil
}

// noEffect reports whether the request certainly did not reach its receiver
// whole.
func (g *gate) noEffect() bool { return g.shut.Load() || !g.wrote.Load() }

// rawConn returns the connection below TLS.
func rawConn(conn net.Conn) net.Conn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return conn
}

// gatedConn asks the gate of its present request before each write.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write writes unless the present request is too late.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
