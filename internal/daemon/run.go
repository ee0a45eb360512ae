package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/metrics"
	"github.com/verbenaspur/verbenaspur/internal/platform"
	"github.com/verbenaspur/verbenaspur/internal/settings"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

// shutdownLimit bounds the last part of a graceful shutdown, when no request
// is open any more.
const shutdownLimit = 5 * time.Second

var compare = cmp.Compare[string]

// Run runs a daemon until ctx ends and the graceful shutdown that follows is
// over.
func Run(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	defer p.close()
	if s.Role == settings.RoleSide {
		return p.runSide(ctx)
	}
	return p.runEntry(ctx)
}

// process holds what both roles of a daemon need.
type process struct {
	settings *settings.Settings
	log      *slog.Logger
	started  msg.Started
	pair     *identity.Pair
	platform *platform.Client
	registry *prometheus.Registry
	metrics  *metrics.Metrics
	recorder *trace.Recorder
	traceOut *os.File
	// work ends when the daemon's own goroutines are to end.
	work context.Context
	stop context.CancelFunc
	// idle is closed when the reducer has finished a graceful shutdown.
	idle chan struct{}
}

func newProcess(s *settings.Settings, log *slog.Logger) (*process, error) {
	pair, err := identity.LoadPair(identity.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key})
	if err != nil {
		return nil, err
	}
	token, err := readToken(s.Platform.TokenFile)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s, log: log, pair: pair, started: newStarted(s),
		platform: platform.New(platform.Config{
			Objects: s.Platform.Objects, Targets: s.Platform.Targets,
			Usage: s.Platform.Usage, Hosts: s.Platform.Hosts, Token: token,
		}),
		registry: prometheus.NewRegistry(),
		idle:     make(chan struct{}),
	}
	p.metrics = metrics.New(p.registry)
	p.registry.MustRegister(p.platform, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.work, p.stop = context.WithCancel(context.Background())
	return p, nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "platform token")
}

func newStarted(s *settings.Settings) msg.Started {
	var r [16]byte
	_, _ = rand.Read(r[:])
	self := msg.Self{
		Host: msg.HostID(s.Host), Domain: msg.FailureDomain(s.FailureDomain),
		Region: msg.Region(s.Region), Kind: msg.HostEntry,
	}
	if s.Role == settings.RoleSide {
		self.Kind = msg.HostTarget
		self.Target = &msg.TargetIdentity{
			Target: msg.TargetID(s.Target.ID), Pool: msg.PoolID(s.Target.Pool),
			Kind: targetKind(s.Target.Kind), ChecksFencing: s.Target.ChecksFencing,
		}
	}
	return msg.Started{
		Self: self, Incarnation: msg.Incarnation(hex.EncodeToString(r[:8])),
		Seed: binary.BigEndian.Uint64(r[8:]), Wall: time.Now().UTC(),
	}
}

func targetKind(k settings.TargetKind) msg.TargetKind {
	if k == settings.TargetService {
		return msg.TargetService
	}
	return msg.TargetEngine
}

// record wraps a reducer so that its events are recorded, if settings ask.
func (p *process) record(r trace.Stepper) (trace.Stepper, error) {
	if p.settings.Trace == "" {
		return r, nil
	}
	f, err := os.Create(p.settings.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	p.traceOut = f
	p.recorder = trace.NewRecorder(r, f)
	return p.recorder, nil
}

func (p *process) close() {
	p.stop()
	p.platform.Close()
	if p.recorder == nil {
		return
	}
	if err := errors.CombineErrors(p.recorder.Close(), p.traceOut.Close()); err != nil {
		p.log.Warn("daemon: trace is not whole", "reason", err.Error())
	}
}

// newNode binds the address for the other daemons.
func (p *process) newNode(h link.Handler) (*link.Node, error) {
	hello := link.Hello{
		Host: p.started.Self.Host, Incarnation: p.started.Incarnation,
		Domain: p.started.Self.Domain, Target: p.started.Self.Target,
	}
	if t := p.settings.Target; t != nil {
		hello.TargetURL = t.URL
	}
	return link.New(link.Config{
		Hello:     hello,
		Kind:      p.started.Self.Kind,
		Addr:      p.settings.Listen.Link,
		ServerTLS: identity.TLSServer(p.pair, link.Protocol),
		ClientTLS: func(want link.Peer) *tls.Config {
			return identity.TLSClient(p.pair, link.Protocol, identityOf(want))
		},
		Identify: identify,
		Handler:  h,
		Log:      p.log,
	})
}

func identityOf(p link.Peer) identity.Peer {
	kind := identity.KindEntry
	if p.Kind == msg.HostTarget {
		kind = identity.KindSide
	}
	return identity.Peer{Kind: kind, Host: string(p.Host)}
}

func identify(state tls.ConnectionState) (link.Peer, error) {
	id, err := identity.PeerOfState(state)
	if err != nil {
		return link.Peer{}, err
	}
	kind := msg.HostEntry
	if id.Kind == identity.KindSide {
		kind = msg.HostTarget
	}
	return link.Peer{Kind: kind, Host: msg.HostID(id.Host)}, nil
}

// serve runs an HTTP server on an address until the work ends.
func (p *process) serve(addr string, srv *http.Server, tlsCert, tlsKey string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv.ErrorLog = slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	go func() {
		if tlsCert != "" {
			err = srv.ServeTLS(ln, tlsCert, tlsKey)
		} else {
			err = srv.Serve(ln)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("daemon: HTTP server ended", "addr", addr, "reason", err.Error())
		}
	}()
	return nil
}

// serveOps serves health checks and metrics.
func (p *process) serveOps(ready func() bool) (*http.Server, error) {
	r := mux.NewRouter()
	p.healthRoutes(r, ready)
	srv := newServer(r)
	if p.settings.Listen.Ops == "" {
		return srv, nil
	}
	return srv, p.serve(p.settings.Listen.Ops, srv, "", "")
}

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

// await blocks until ctx ends and the reducer has finished its shutdown.
func (p *process) await(ctx context.Context, l *Loop) {
	<-ctx.Done()
	p.log.Info("daemon: stopping")
	l.Post(msg.StopRequested{})
	<-p.idle
}

func (p *process) becomeIdle() {
	select {
	case <-p.idle:
	default:
		close(p.idle)
	}
}

func (p *process) runEntry(ctx context.Context) error {
	reducer := core.NewEntry(core.EntryConfig{
		Self: p.started.Self, Incarnation: p.started.Incarnation,
		Parts: core.PartConfigs{Observer: p.metrics},
	})
	stepper, err := p.record(reducer)
	if err != nil {
		return err
	}
	e := &entry{
		self: p.started.Self, reducer: reducer, platform: p.platform, log: p.log, ctx: p.work,
		ready: p.becomeIdle, seen: p.metrics.ObserveEffect,
		exchanges: make(map[msg.RequestID]*exchange),
		attempts:  make(map[msg.AttemptID]context.CancelCauseFunc),
		waiting:   make(map[msg.CallID]chan msg.Effect),
		urls:      make(map[msg.TargetID]string),
	}
	e.loop = NewLoop(p.metrics.Timed(stepper), e.execute)
	if e.node, err = p.newNode(e); err != nil {
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go e.loop.Run(loopCtx, p.started)
	ready := func() bool { return e.isReady() }
	ops, err := p.serveOps(ready)
	if err != nil {
		return err
	}
	r := mux.NewRouter()
	p.healthRoutes(r, ready)
	(&operators{e: e, known: p.settings.Operators}).routes(r)
	(&callers{e: e}).routes(r)
	srv := newServer(r)
	if err := p.serve(p.settings.Listen.HTTP, srv, p.settings.TLS.HTTPCert, p.settings.TLS.HTTPKey); err != nil {
		return err
	}
	p.log.Info("daemon: started", "role", "entry", "host", p.settings.Host, "http", p.settings.Listen.HTTP, "link", p.settings.Listen.Link)
	p.await(ctx, e.loop)
	p.shutdown(srv, ops)
	p.stop()
	e.node.Close()
	stopLoop()
	e.wg.Wait()
	p.log.Info("daemon: stopped")
	return nil
}

// isReady reports whether the platform's balancer may send callers here.
func (e *entry) isReady() bool {
	ok := false
	e.loop.Query(func(now msg.Time) {
		ok = e.reducer.Index() != nil && e.reducer.Fresh(now) && !e.reducer.Stopping()
	})
	return ok
}

func (p *process) shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

func (p *process) runSide(ctx context.Context) error {
	reducer := core.NewSide(core.SideConfig{
		Self: p.started.Self, Incarnation: p.started.Incarnation,
		Parts: core.PartConfigs{Observer: p.metrics},
	})
	stepper, err := p.record(reducer)
	if err != nil {
		return err
	}
	s := &side{
		platform: p.platform, log: p.log, ctx: p.work, attempts: newAttemptTable(),
		ready: p.becomeIdle, seen: p.metrics.ObserveEffect, target: p.newTarget(),
	}
	s.loop = NewLoop(p.metrics.Timed(stepper), s.execute)
	if s.node, err = p.newNode(s); err != nil {
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go s.loop.Run(loopCtx, p.started)
	s.wg.Go(s.sweep)
	s.wg.Go(s.pollCache)
	ops, err := p.serveOps(func() bool { return ctx.Err() == nil })
	if err != nil {
		return err
	}
	p.log.Info("daemon: started", "role", "side", "host", p.settings.Host, "target", p.settings.Target.ID, "link", p.settings.Listen.Link)
	p.await(ctx, s.loop)
	s.drainStreams()
	p.shutdown(ops)
	p.stop()
	s.node.Close()
	stopLoop()
	s.wg.Wait()
	p.log.Info("daemon: stopped")
	return nil
}

func (p *process) newTarget() targetClient {
	t := p.settings.Target
	if t.Kind == settings.TargetService {
		return &serviceClient{base: t.URL, http: newTargetHTTP(true), once: newTargetHTTP(false)}
	}
	return &engineClient{base: t.URL, http: newTargetHTTP(true)}
}
