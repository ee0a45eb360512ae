package httpdrain

import (
	"io"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// announcing returns a handler whose responses ask the caller to close its connection
// once that has been announced, also if it is announced while the request runs. It counts
// requests, and those that the handler aborts without a response.
func (s *Server) announcing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.countRequest()
		c := r.Context().Value(connKey{}).(*conn)
		c.handOver()
		a := &announcer{ResponseWriter: w, server: s}
		defer func() {
			if !a.prepared && r.Context().Err() == nil {
				c.handOver()
				s.countUnanswered()
			}
		}()
		h.ServeHTTP(a, r)
		a.prepare()
	})
}

// announcer sets the header of a response just before the head is written.
type announcer struct {
	http.ResponseWriter
	server   *Server
	prepared bool
}

func (a *announcer) prepare() {
	if !a.prepared && a.server.announced.Load() {
		a.Header().Set("Connection", "close")
	}
	a.prepared = true
}

// WriteHeader implements [http.ResponseWriter].
func (a *announcer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.prepare()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (a *announcer) Write(p []byte) (int, error) {
	a.prepare()
	return a.ResponseWriter.Write(p)
}

// Flush implements [http.Flusher].
func (a *announcer) Flush() { _ = a.FlushError() }

// FlushError sends what has been written.
func (a *announcer) FlushError() error {
	a.prepare()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for [http.ResponseController].
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// MaxBytesReader is [http.MaxBytesReader] for handlers of a [Server]. The function of
// net/http has the connection closed only if it gets the HTTP server's own writer.
func MaxBytesReader(w http.ResponseWriter, r io.ReadCloser, n int64) io.ReadCloser {
	if a, ok := w.(*announcer); ok {
		w = a.ResponseWriter
	}
	return http.MaxBytesReader(w, r, n)
}

// Conn returns the connection of a request as the listener of its [Server] has accepted it,
// or nil for requests of other servers.
func Conn(r *http.Request) net.Conn {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.Conn
	}
	return nil
}
