package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/verbenaspur/verbenaspur/internal/bootclock"
	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/metrics"
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// callerIdleTimeout is how long a caller's connection may be idle at least. It is extended
	// to the configured limit.
	callerIdleTimeout = 2 * time.Minute
	headerTimeout     = relay.DefaultHeadTimeout
	// maxHeaderBytes is the largest head that may be configured, and opsHeadBytes the largest
	// one of requests for readiness and metrics.
	maxHeaderBytes = 1 << 20
	opsHeadBytes   = 8 << 10
	// maxScrapes is the number of requests for metrics that are served at once.
	maxScrapes = 4
	// A revoked key must be refused within a time limit. keyAgeRatio is the fraction
	// of that limit for which keys are accepted after a confirmation of the
	// configuration.
	keyAgeRatio = 0.75
	// A usage report must be sent within a time limit. usageCollectRatio is the
	// fraction of that limit for which the daemon waits for counts. The rest is left
	// for sending the report.
	usageCollectRatio = 0.75
)

// RunDirect runs an entry daemon that calls its targets directly, without side
// daemons, with the settings file at path. It returns when ctx has ended and the
// graceful shutdown that follows is complete, or when a listener fails.
func RunDirect(ctx context.Context, path, metricsAddr string, log *slog.Logger) error {
	file, s, err := openSettingsFile(path)
	if err != nil {
		return err
	}
	if heap := NewCallerLimits(s).Heap; heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	sockets, err := openDirectSockets(s, metricsAddr)
	if err != nil {
		file.close()
		return err
	}
	d := newDirectProcess(s, file, sockets, log)
	defer d.close()
	log.Info("daemon: started", "host", s.Host, "domain", s.Domain, "incarnation", string(d.startedEvent.Incarnation), "peer_addr", s.PeerAddr())
	d.start()
	select {
	case <-ctx.Done():
	case err := <-d.serveErrors:
		return errors.Wrap(err, "listener")
	}
	d.shutdown()
	return nil
}

// directProcess is a running entry daemon of the direct path.
type directProcess struct {
	settings     *platform.Settings
	file         *settingsFile
	sockets      *directSockets
	log          *slog.Logger
	startedEvent msg.Started
	driver       *directDriver
	loop         *Loop
	peers        *datagramTransport
	registry     *prometheus.Registry
	servers      []server
	budget       *relay.Budget
	serveErrors  chan error
	// workCtx ends when the daemon's own goroutines must end.
	workCtx  context.Context
	stopWork context.CancelFunc
	// shutdownDone is closed when the reducer has finished a graceful shutdown.
	shutdownDone chan struct{}
}

// newDirectProcess returns a process that serves nothing until it is started. It
// closes the file and the sockets when it is closed.
func newDirectProcess(s *platform.Settings, file *settingsFile, sockets *directSockets, log *slog.Logger) *directProcess {
	d := &directProcess{
		settings: s, file: file, sockets: sockets, log: log, registry: prometheus.NewRegistry(),
		serveErrors: make(chan error, 3), shutdownDone: make(chan struct{}),
	}
	d.workCtx, d.stopWork = context.WithCancel(context.Background())
	clock := bootclock.New()
	d.startedEvent = newStartedEvent(msg.Self{
		Host: msg.HostID(s.Host), Domain: msg.FailureDomain(s.Domain),
		Region: msg.Region(s.Region), Kind: msg.HostEntry,
	})
	d.peers = newDatagramTransport(sockets.peers, d.startedEvent.Self.Host, log)
	observer := metrics.NewDirect(d.registry)
	client := platform.NewClient(s)
	pool := httpclient.NewPool()
	d.budget = relay.NewBudget(NewCallerLimits(s).Bytes, log)
	d.registry.MustRegister(client, openedConnectionsCounter(pool), metrics.NewRelay(d.budget.Stats))
	reducer := core.NewDirect(reducerConfig(s, d.startedEvent, observer))
	d.driver = &directDriver{
		client: client, pool: pool, peers: d.peers, log: log, ctx: d.workCtx, budget: d.budget,
		exchanges: make(map[msg.RequestID]*directExchange), attempts: make(map[msg.AttemptID]*runningAttempt),
		onStopCompleted: func() { close(d.shutdownDone) },
	}
	d.driver.callers = httpdrain.New(&http.Server{
		Handler: d.driver, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	})
	d.registry.MustRegister(metrics.NewDrain(d.driver.callers.Stats))
	d.loop = newLoop(reducer, d.driver.execute, clock.Now, d.wallClock(clock))
	d.driver.loop = d.loop
	return d
}

// wallClock returns a clock that starts at the wall time of the daemon's start and
// advances with the boot clock. Unlike the system's wall clock, the boot clock is
// never adjusted, so a step of the wall clock does not move a usage window.
func (d *directProcess) wallClock(clock *bootclock.Clock) func() time.Time {
	base := d.startedEvent.Wall
	return func() time.Time { return base.Add(clock.Now()) }
}

// reducerConfig returns the reducer's configuration for the given settings.
func reducerConfig(s *platform.Settings, started msg.Started, observer *metrics.Direct) core.DirectConfig {
	cfg := core.DirectConfig{
		Self: started.Self, Incarnation: started.Incarnation, PeerAddr: s.PeerAddr(),
		Limits: directLimits(s),
		PlatformPoll: platformpoll.Config{
			RoutesInterval:    pollInterval(s.Bounds.ConfigPropagation),
			InstancesInterval: pollInterval(s.Bounds.Draining),
		},
		LeaseTurn: s.Bounds.LeaseTurn,
		Observer:  observer,
	}
	if s.UsageAddr != "" {
		cfg.UsageWindow = s.Bounds.UsageWindow
		cfg.UsageReportDeadline = s.Bounds.UsageReportDeadline
		cfg.UsageCollectTimeout = time.Duration(usageCollectRatio * float64(s.Bounds.UsageReportDeadline))
	}
	return cfg
}

// pollInterval returns the time between two reads of data whose changes must be in
// force within limit. It is short enough that one read may fail.
func pollInterval(limit time.Duration) time.Duration { return limit / 2 }

// directLimits returns the limits that the settings define for the reducer.
func directLimits(s *platform.Settings) msg.DirectLimits {
	return msg.DirectLimits{
		AcceptMaxAge: time.Duration(keyAgeRatio * float64(s.Bounds.KeyRevocation)),
		RejectMaxAge: s.Bounds.ConfigPropagation,
		RetryRatio:   s.Bounds.RetryRatio,
		RetryWindow:  s.Bounds.RetryWindow,
		RetrySlack:   s.Bounds.RetrySlack,
		QuotaWindow:  s.Bounds.QuotaWindow,
		QuotaOverage: s.Bounds.QuotaOverage,
		QuotaSlack:   s.Bounds.QuotaSlack,
	}
}

// openedConnectionsCounter returns a metric of the connections opened to targets.
func openedConnectionsCounter(pool *httpclient.Pool) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "verbenaspur_target_connections_opened_total",
		Help: "Connections to targets that were opened.",
	}, func() float64 { return float64(pool.Opened.Load()) })
}

// start starts the servers and the daemon's own goroutines.
func (d *directProcess) start() {
	d.serve()
	go d.loop.Run(d.workCtx, d.startedEvent)
	go d.receivePeers()
	go d.sweepConnections()
	go d.followSettings()
}

// serve serves callers, the load balancer and metrics.
func (d *directProcess) serve() {
	limits := NewCallerLimits(d.settings)
	callers := d.budget.Port("callers", d.sockets.callers, limits.Callers)
	d.driver.port = callers
	d.serveOn(callers, d.driver.callers)
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, d.driver.serveReady)
	d.serveOps("ready", d.sockets.ready, limits.Ready, ready)
	if d.sockets.metrics != nil {
		ops := mux.NewRouter()
		ops.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
		d.serveOps("metrics", d.sockets.metrics, limits.Metrics, ops)
	}
}

// serveOps serves operations on a listener, of which limit connections may be open.
func (d *directProcess) serveOps(name string, l net.Listener, limit int, h http.Handler) {
	port := d.budget.Port(name, l, limit)
	port.SetHeadBytes(opsHeadBytes)
	d.serveOn(port, httpdrain.New(&http.Server{
		Handler: withoutBody(h), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}))
}

// withoutBody returns a handler that responds to a request without reading its body.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !relay.Arrived(httpdrain.Conn(r)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			closeUnread(w)
		}
		h.ServeHTTP(w, r)
	})
}

// server is an HTTP server.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// serveOn starts an HTTP server on a listener. If the server fails, the daemon ends.
func (d *directProcess) serveOn(l net.Listener, s server) {
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.serveErrors <- err
		}
	}()
}

// receivePeers posts the messages of other entry daemons.
func (d *directProcess) receivePeers() {
	d.peers.receive(func(from msg.HostID, m msg.PeerMessage) {
		d.loop.Post(msg.PeerReceived{From: from, Message: m})
	})
}

// sweepConnections closes connections to targets that have been idle for too long.
func (d *directProcess) sweepConnections() {
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.driver.pool.CloseExpired(now)
		case <-d.workCtx.Done():
			return
		}
	}
}

func (d *directProcess) close() {
	d.stopWork()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.sockets.close()
	d.file.close()
}
