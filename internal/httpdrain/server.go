// Package httpdrain stops HTTP servers without losing requests: each request that the
// process has read gets its response.
//
// [http.Server.Shutdown] does not do that. Once it has begun, the server drops a request
// whose head it has just read, be it the first one on a new connection or the next one on
// a kept connection. Callers behind a slow link have such requests on their way for as
// long as the link's queue is. A [Server] instead closes its listeners, goes on reading
// for a while, and then stops reading on connections that carry no request. A request
// that arrives later stays unread, so that its caller may send it again.
package httpdrain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// InFlightTime is how long a connection stays silent before it is taken for unused once
// the listeners have been closed. A request that its caller sent at the start of that
// time, as on a connection that was just opened, arrives within it unless the link is
// overloaded.
const InFlightTime = time.Second

// idleCheckInterval is the time between two looks for connections that have been silent for
// InFlightTime.
const idleCheckInterval = 50 * time.Millisecond

// Server is an HTTP server that can be drained. Its steps are AnnounceClose,
// CloseListeners, CloseIdle and Wait, in this order; Shutdown takes all of them.
type Server struct {
	http *http.Server
	// announced makes each response ask the caller to close its connection.
	announced atomic.Bool
	// serving counts the running calls of Serve.
	serving sync.WaitGroup
	// idleTimeout is the least time for which kept connections may be idle, in nanoseconds.
	idleTimeout atomic.Int64

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	phase     Phase
	// lastAccepted is when a connection was last accepted.
	lastAccepted time.Time
	// empty is closed when no connection is left. It is nil unless somebody waits.
	empty chan struct{}
	stats Stats
}

// New returns a server that serves as srv is configured. It sets the handler and the
// hooks for connections of srv, which must not be used otherwise.
func New(srv *http.Server) *Server {
	s := &Server{http: srv, conns: make(map[*conn]struct{})}
	s.stats.Requests = make(map[Phase]int64)
	srv.Handler = s.announcing(srv.Handler)
	srv.ConnState = s.stateChanged
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(nc))
	}
	return s
}

// Serve serves connections of a listener, which it closes at the end. After
// CloseListeners or Close it returns [http.ErrServerClosed].
func (s *Server) Serve(l net.Listener) error { return s.serve(l, s.http.Serve) }

// ServeTLS is like Serve, with TLS by a certificate and key from files.
func (s *Server) ServeTLS(l net.Listener, certFile, keyFile string) error {
	return s.serve(l, func(l net.Listener) error {
		l.(*listener).encrypted = true
		return s.http.ServeTLS(l, certFile, keyFile)
	})
}

func (s *Server) serve(l net.Listener, serve func(net.Listener) error) error {
	if !s.addListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.serving.Done()
	err := serve(&listener{Listener: l, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase >= PhaseListenersClosed && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// addListener returns false if listeners have been closed.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase >= PhaseListenersClosed {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	return true
}

// ExtendIdleTimeout lets kept connections be idle for at least d, also if the limit of the
// HTTP server is shorter. A later call with a shorter time has no effect, since callers may
// still rely on the longer one.
func (s *Server) ExtendIdleTimeout(d time.Duration) {
	for old := s.idleTimeout.Load(); int64(d) > old && !s.idleTimeout.CompareAndSwap(old, int64(d)); {
		old = s.idleTimeout.Load()
	}
}

func (s *Server) extendIdleDeadline(t time.Time) time.Time {
	if extended := time.Now().Add(time.Duration(s.idleTimeout.Load())); t.Before(extended) {
		return extended
	}
	return t
}

// AnnounceClose makes each response from now on ask the caller to close its connection.
func (s *Server) AnnounceClose() {
	s.announced.Store(true)
	s.enter(PhaseAnnounced)
}

// CloseListeners closes the listeners. Connections that they have accepted are served.
func (s *Server) CloseListeners() {
	s.enter(PhaseListenersClosed)
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// CloseIdle closes each connection as soon as it carries no request. Nothing more is read
// from such a connection, so that no request is read and then dropped.
func (s *Server) CloseIdle() {
	s.enter(PhaseIdleClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.drain() {
			s.stats.IdleClosed++
		}
	}
}

// LastAccepted returns when a connection was last accepted. It is zero if none was.
func (s *Server) LastAccepted() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAccepted
}

// Wait waits until all connections have ended, except for those of HTTP/2.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if len(s.conns) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	empty := s.empty
	s.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown drains the server and waits until all connections have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.AnnounceClose()
	s.CloseListeners()
	s.awaitInFlight(ctx)
	s.CloseIdle()
	err := s.Wait(ctx)
	// This waits for the ends of the others' handlers, and ends connections of HTTP/2, which
	// tells callers the last request that it serves.
	return errors.CombineErrors(err, s.http.Shutdown(ctx))
}

// awaitInFlight closes connections as they have been silent for InFlightTime, until that
// time has passed or no connection is left.
func (s *Server) awaitInFlight(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, InFlightTime)
	defer cancel()
	for ctx.Err() == nil {
		s.closeIdleSince(time.Now().Add(-InFlightTime))
		wait, cancelWait := context.WithTimeout(ctx, idleCheckInterval)
		err := s.Wait(wait)
		cancelWait()
		if err == nil {
			return
		}
	}
}

// closeIdleSince closes the connections that have carried no request since an instant.
func (s *Server) closeIdleSince(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.drainIfIdleSince(at) {
			s.stats.IdleClosed++
		}
	}
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
	s.lastAccepted = c.idleSince
}

// remove removes a connection. Unanswered states that it has ended after a part of a
// request was read that no handler got, although the caller had not left.
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
	if len(s.conns) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

// stateChanged follows which connections carry a request.
func (s *Server) stateChanged(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if t, ok := nc.(*tls.Conn); ok && t.ConnectionState().NegotiatedProtocol == "h2" {
		c.release()
		s.remove(c, false)
		return
	}
	switch state {
	case http.StateActive:
		c.setServing(true)
	case http.StateIdle:
		c.setServing(false)
	}
}

func (s *Server) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests[s.phase]++
}

func (s *Server) countUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Unanswered++
}
