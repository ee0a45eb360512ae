// Package httpdrain stops HTTP servers and shows what becomes of the requests that arrive
// meanwhile.
package httpdrain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server is an HTTP server that can be drained: by AnnounceClose and then Shutdown.
type Server struct {
	http *http.Server
	// announced makes each response ask the caller to close its connection.
	announced atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	phase Phase
	stats Stats
}

// New returns a server that serves as srv is configured. It sets the handler and the
// hook for states of connections of srv, which must not be used otherwise.
func New(srv *http.Server) *Server {
	s := &Server{http: srv, conns: make(map[*conn]struct{})}
	s.stats.Requests = make(map[Phase]int64)
	srv.Handler = s.announcing(srv.Handler)
	srv.ConnState = s.stateChanged
	return s
}

// Serve is like [http.Server.Serve].
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{l, s}) }

// AnnounceClose makes each response from now on ask the caller to close its connection.
func (s *Server) AnnounceClose() {
	s.announced.Store(true)
	s.enter(PhaseAnnounced)
}

// Shutdown closes the listeners and idle connections, and waits until the others have
// ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.enter(PhaseListenersClosed)
	return s.http.Shutdown(ctx)
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.enter(PhaseListenersClosed)
	return s.http.Close()
}

// enter begins a phase, unless a later one has begun.
func (s *Server) enter(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = max(s.phase, p)
}

// add adds an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// remove removes a connection. Unanswered states that it has ended after a part of a
// request was read, although the caller had not left.
func (s *Server) remove(c *conn, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if unanswered {
		s.stats.Unanswered++
	}
}

// stateChanged follows which connections carry a request.
func (s *Server) stateChanged(nc net.Conn, state http.ConnState) {
	if t, ok := nc.(*tls.Conn); ok {
		if t.ConnectionState().NegotiatedProtocol == "h2" {
			s.remove(unwrap(nc), false)
			return
		}
	}
	c := unwrap(nc)
	switch state {
	case http.StateActive:
		c.setServing(true)
		s.countRequest()
	case http.StateIdle:
		c.setServing(false)
	}
}

func (s *Server) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests[s.phase]++
}
