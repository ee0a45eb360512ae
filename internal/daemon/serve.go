package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

// port is a listener of the daemon: its name in metrics and the number of connections that may
// be open.
type port struct {
	name        string
	connections int
}

// serve starts an HTTP server on an address. The server runs until it is shut
// down.
func (p *process) serve(to port, addr string, srv *httpdrain.Server, tlsCert, tlsKey string) error {
	l, err := listen(addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ln := p.budget.Port(to.name, l, to.connections)
	ln.SetHeadBytes(maxHeader)
	go func() {
		var err error
		if tlsCert != "" {
			err = srv.ServeTLS(ln, tlsCert, tlsKey)
		} else {
			err = srv.Serve(ln)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("daemon: HTTP server failed", "addr", addr, "reason", err.Error())
		}
	}()
	return nil
}

// serveOps serves health checks and metrics on the address for operations, if the
// settings name one.
func (p *process) serveOps(ready func() bool) (*httpdrain.Server, error) {
	r := mux.NewRouter()
	p.healthRoutes(r, ready)
	srv := newServer(r, p.log)
	if p.settings.Listen.Ops == "" {
		return srv, nil
	}
	return srv, p.serve(port{"ops", opsConns}, p.settings.Listen.Ops, srv, "", "")
}

// healthRoutes adds the routes for health checks and metrics.
func (p *process) healthRoutes(r *mux.Router, ready func() bool) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
}

// stopAll ends what a daemon runs, in this order: the HTTP servers, the daemon's
// own goroutines, the connections to other daemons and the loop. It then waits for
// the driver's goroutines.
func (p *process) stopAll(node *link.Node, stopLoop context.CancelFunc, driver *sync.WaitGroup, servers ...*httpdrain.Server) {
	p.shutdownServers(servers...)
	p.stopWork()
	node.Close()
	stopLoop()
	driver.Wait()
	p.log.Info("daemon: stopped")
}

// shutdownServers stops HTTP servers when their open requests have ended, or
// after serverShutdownTimeout.
func (p *process) shutdownServers(servers ...*httpdrain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	var stopped sync.WaitGroup
	for _, s := range servers {
		stopped.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				p.log.Warn("daemon: stopped waiting for open requests", "callers", s.Stats())
			}
		})
	}
	stopped.Wait()
}
