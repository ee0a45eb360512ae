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
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/metrics"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// memoryShare is the part of the memory limit up to which the garbage
	// collector lets the heap grow.
	memoryShare = 0.7
	// callerIdle is how long a caller's connection may be idle: longer than
	// any limit that callers are told.
	callerIdle     = 2 * time.Minute
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// drainNotice is the time from the request to stop until the listener
	// closes: the balancer has seen two refusals by then.
	drainNotice = 2800 * time.Millisecond
	// lastKept is when connections are no longer kept: a caller that opens a
	// new one comes to another entry.
	lastKept = 1800 * time.Millisecond
	// stopShare is the part of the grace period in which requests may end; the
	// rest is for the end of the process.
	stopShare = 0.88
	// keyMargin is the part of the time in which a withdrawn key must stop
	// for which a confirmation of the configuration is good.
	keyMargin = 0.75
	// collectShare is the part of the time until a usage report is due for
	// which counts are awaited; the rest is for the report.
	collectShare = 0.75
)

// RunDirect runs an entry daemon that drives its targets itself, with the
// settings file at path, until ctx ends and the graceful shutdown that follows is over.
func RunDirect(ctx context.Context, path, metricsAddr string, log *slog.Logger) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	d, err := newDirect(s, log)
	if err != nil {
		return err
	}
	defer d.close()
	log.Info("daemon: started", "host", s.Host, "domain", s.Domain, "incarnation", string(d.started.Incarnation), "peer_addr", s.PeerAddr())
	if err := d.listen(metricsAddr); err != nil {
		return err
	}
	d.start(path)
	select {
	case <-ctx.Done():
	case err := <-d.failed:
		return errors.Wrap(err, "listener")
	}
	d.shutdown()
	return nil
}

// directProcess is a running entry daemon of the direct path.
type directProcess struct {
	settings *platform.Settings
	log      *slog.Logger
	started  msg.Started
	front    *directFront
	loop     *Loop
	peers    *datagrams
	registry *prometheus.Registry
	servers  []*http.Server
	callers  *http.Server
	failed   chan error
	// work ends when the daemon's own goroutines are to end.
	work context.Context
	stop context.CancelFunc
	idle chan struct{}
}

func newDirect(s *platform.Settings, log *slog.Logger) (*directProcess, error) {
	d := &directProcess{settings: s, log: log, registry: prometheus.NewRegistry(), failed: make(chan error, 3), idle: make(chan struct{})}
	d.work, d.stop = context.WithCancel(context.Background())
	clock := bootclock.New()
	d.started = newStarted(msg.Self{
		Host: msg.HostID(s.Host), Domain: msg.FailureDomain(s.Domain),
		Region: msg.Region(s.Region), Kind: msg.HostEntry,
	})
	peers, err := newDatagrams(s.PeerAddr(), d.started.Self.Host, log)
	if err != nil {
		return nil, err
	}
	d.peers = peers
	watch := metrics.NewDirect(d.registry)
	client := platform.NewClient(s)
	pool := httpclient.NewPool()
	d.registry.MustRegister(client, openedConnections(pool))
	reducer := core.NewDirect(directConfig(s, d.started, watch))
	d.front = &directFront{
		client: client, pool: pool, peers: peers, log: log, ctx: d.work,
		exchanges: make(map[msg.RequestID]*directExchange), attempts: make(map[msg.AttemptID]context.CancelFunc),
		stopped: func() { close(d.idle) },
	}
	d.loop = newLoop(reducer, d.front.execute, clock.Now, d.wallClock(clock))
	d.front.loop = d.loop
	return d, nil
}

// wallClock returns the wall time at the start carried on by a clock that is
// never set, so that a step of the wall clock moves no usage window.
func (d *directProcess) wallClock(clock *bootclock.Clock) func() time.Time {
	base := d.started.Wall
	return func() time.Time { return base.Add(clock.Now()) }
}

func directConfig(s *platform.Settings, started msg.Started, watch *metrics.Direct) core.DirectConfig {
	cfg := core.DirectConfig{
		Self: started.Self, Incarnation: started.Incarnation, PeerAddr: s.PeerAddr(),
		Limits: directLimits(s),
		Catalog: platformpoll.Config{
			RoutesEvery:    readEvery(s.Bounds.ConfigInForce),
			InstancesEvery: readEvery(s.Bounds.Leaving),
		},
		LeaseTurn: s.Bounds.LeaseTurn,
		Observer:  watch,
	}
	if s.DutiesAddr != "" {
		cfg.UsageWindow = s.Bounds.UsageWindow
		cfg.UsageCollect = time.Duration(collectShare * float64(s.Bounds.UsageDue))
	}
	return cfg
}

// readEvery is how often something is read of which a change must be in force
// within a limit: often enough that one read may fail.
func readEvery(limit time.Duration) time.Duration { return limit / 2 }

func directLimits(s *platform.Settings) msg.DirectLimits {
	return msg.DirectLimits{
		AcceptMaxAge: time.Duration(keyMargin * float64(s.Bounds.KeyStops)),
		RejectMaxAge: s.Bounds.ConfigInForce,
		RetryRatio:   s.Bounds.RetryRatio,
		RetryWindow:  s.Bounds.RetryWindow,
		RetrySlack:   s.Bounds.RetrySlack,
	}
}

func openedConnections(pool *httpclient.Pool) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "verbenaspur_target_connections_opened_total",
		Help: "Connections to targets that were opened.",
	}, func() float64 { return float64(pool.Opened.Load()) })
}

// start starts the daemon's own goroutines.
func (d *directProcess) start(path string) {
	go d.loop.Run(d.work, d.started)
	go d.receivePeers()
	go d.sweepConnections()
	go d.followSettings(path)
}

// listen opens the listeners for callers, the balancer and metrics.
func (d *directProcess) listen(metricsAddr string) error {
	ops := mux.NewRouter()
	ops.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, d.front.serveReady)
	d.callers = &http.Server{
		Handler: d.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	if err := d.serve(d.settings.CallersAddr, d.callers); err != nil {
		return err
	}
	if err := d.serve(d.settings.ReadyAddr, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	if metricsAddr == "" {
		return nil
	}
	return d.serve(metricsAddr, &http.Server{Handler: ops, ReadHeaderTimeout: headerTimeout})
}

func (d *directProcess) serve(addr string, s *http.Server) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- err
		}
	}()
	return nil
}

func (d *directProcess) receivePeers() {
	d.peers.receive(func(from msg.HostID, m msg.PeerMessage) {
		d.loop.Post(msg.PeerReceived{From: from, Message: m})
	})
}

// sweepConnections closes connections to targets that were idle for long.
func (d *directProcess) sweepConnections() {
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.front.pool.CloseExpired(now)
		case <-d.work.Done():
			return
		}
	}
}

// stopLimit is the time from the request to stop until requests are given up.
func stopLimit(grace time.Duration) time.Duration {
	return time.Duration(stopShare * float64(grace))
}

// shutdown takes no new connections once the balancer knows, lets open
// requests end and hands over what this daemon holds.
func (d *directProcess) shutdown() {
	d.log.Info("daemon: stopping")
	begun := time.Now()
	limit, cancel := context.WithTimeout(context.Background(), stopLimit(d.settings.Bounds.Grace))
	defer cancel()
	d.loop.Post(msg.StopRequested{})
	time.Sleep(lastKept)
	d.callers.SetKeepAlivesEnabled(false)
	time.Sleep(drainNotice - lastKept)
	if err := d.callers.Shutdown(limit); err != nil {
		d.log.Warn("daemon: requests were open at the end of the grace period", "reason", err.Error())
	}
	select {
	case <-d.idle:
	case <-limit.Done():
	}
	d.log.Info("daemon: stopped", "took_ms", time.Since(begun).Milliseconds())
}

func (d *directProcess) close() {
	d.stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peers.close()
}
