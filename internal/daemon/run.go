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
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/internal/settings"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

// serverShutdownTimeout limits the shutdown of the HTTP servers, which is the last
// part of a graceful shutdown, after all requests have ended.
const serverShutdownTimeout = 5 * time.Second

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

// process holds what entry and side daemons have in common.
type process struct {
	settings     *settings.Settings
	log          *slog.Logger
	startedEvent msg.Started
	credentials  *identity.Credentials
	platform     *platform.Client
	registry     *prometheus.Registry
	metrics      *metrics.Metrics
	// budget bounds what is held for callers and operators.
	budget    *relay.Budget
	recorder  *trace.Recorder
	traceFile *os.File
	// workCtx ends when the daemon's own goroutines must end.
	workCtx  context.Context
	stopWork context.CancelFunc
	// shutdownDone is closed when the reducer has finished a graceful shutdown.
	shutdownDone chan struct{}
}

func newProcess(s *settings.Settings, log *slog.Logger) (*process, error) {
	credentials, err := identity.LoadCredentials(identity.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key}, log)
	if err != nil {
		return nil, err
	}
	token, err := readToken(s.Platform.TokenFile)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s, log: log, credentials: credentials, startedEvent: startedEventOf(s),
		platform: platform.New(platform.Config{
			Objects: s.Platform.Objects, Targets: s.Platform.Targets,
			Usage: s.Platform.Usage, Hosts: s.Platform.Hosts, Token: token,
		}),
		registry:     prometheus.NewRegistry(),
		budget:       relay.NewBudget(s.Limits.CallerBytes(), log),
		shutdownDone: make(chan struct{}),
	}
	p.metrics = metrics.New(p.registry)
	p.registry.MustRegister(p.platform, metrics.NewRelay(p.budget.Stats), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.workCtx, p.stopWork = context.WithCancel(context.Background())
	return p, nil
}

// readToken returns the content of a token file without surrounding white space,
// or an empty token if no file is named.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "platform token")
}

// startedEventOf returns the first event of a daemon with the given settings.
func startedEventOf(s *settings.Settings) msg.Started {
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
	return newStartedEvent(self)
}

// newStartedEvent returns the first event of a process, with a random incarnation
// and seed.
func newStartedEvent(self msg.Self) msg.Started {
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

// withRecorder wraps a reducer so that its events are recorded in a file, if the
// settings name one.
func (p *process) withRecorder(r trace.Reducer) (trace.Reducer, error) {
	if p.settings.Trace == "" {
		return r, nil
	}
	f, err := os.Create(p.settings.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	p.traceFile = f
	p.recorder = trace.NewRecorder(r, f)
	return p.recorder, nil
}

func (p *process) close() {
	p.stopWork()
	p.platform.Close()
	if p.recorder == nil {
		return
	}
	if err := errors.CombineErrors(p.recorder.Close(), p.traceFile.Close()); err != nil {
		p.log.Warn("daemon: trace is incomplete", "reason", err.Error())
	}
}

// newNode binds the address for connections with other daemons.
func (p *process) newNode(h link.Handler) (*link.Node, error) {
	hello := link.Hello{
		Host: p.startedEvent.Self.Host, Incarnation: p.startedEvent.Incarnation,
		Domain: p.startedEvent.Self.Domain, Target: p.startedEvent.Self.Target,
	}
	if t := p.settings.Target; t != nil {
		hello.TargetURL = t.URL
	}
	return link.New(link.Config{
		Hello:     hello,
		Addr:      p.settings.Listen.Link,
		ServerTLS: identity.TLSServer(p.credentials, link.Protocol),
		ClientTLS: func(want link.Peer) *tls.Config {
			return identity.TLSClient(p.credentials, link.Protocol, peerIdentity(want))
		},
		Identify: identify,
		Handler:  h,
		Log:      p.log,
	})
}

// peerIdentity returns the identity that the certificate of a peer must have.
func peerIdentity(p link.Peer) identity.Peer {
	kind := identity.KindEntry
	if p.Kind == msg.HostTarget {
		kind = identity.KindSide
	}
	return identity.Peer{Kind: kind, Host: string(p.Host)}
}

// identify returns the peer that the certificate of a TLS connection names.
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

// awaitShutdown waits until ctx ends, then requests a graceful shutdown from the
// reducer and waits until it has finished.
func (p *process) awaitShutdown(ctx context.Context, l *Loop) {
	<-ctx.Done()
	p.log.Info("daemon: stopping")
	l.Post(msg.StopRequested{})
	<-p.shutdownDone
}

// markShutdownDone records that the reducer has finished a graceful shutdown. It
// may be called more than once.
func (p *process) markShutdownDone() {
	select {
	case <-p.shutdownDone:
	default:
		close(p.shutdownDone)
	}
}
