package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

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
	pair     *identity.Credentials
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
	pair, err := identity.LoadCredentials(identity.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key})
	if err != nil {
		return nil, err
	}
	token, err := readToken(s.Platform.TokenFile)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s, log: log, pair: pair, started: startedOf(s),
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

func startedOf(s *settings.Settings) msg.Started {
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
	return newStarted(self)
}

// newStarted begins a life of a daemon.
func newStarted(self msg.Self) msg.Started {
	var r [16]byte
	_, _ = rand.Read(r[:])
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
func (p *process) record(r trace.Reducer) (trace.Reducer, error) {
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
