package daemon

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/platform"
)

// directSockets holds the sockets on which an entry daemon of the direct path
// listens.
type directSockets struct {
	// callers and ready accept the connections of callers and of the load
	// balancer's readiness checks.
	callers, ready net.Listener
	// metrics accepts connections for metrics. It is nil if none are served.
	metrics net.Listener
	// peers receives the datagrams of other entry daemons.
	peers *net.UDPConn
}

// openDirectSockets opens the sockets at the addresses in the settings, and one for
// metrics unless metricsAddr is empty.
func openDirectSockets(s *platform.Settings, metricsAddr string) (*directSockets, error) {
	var sockets directSockets
	err := sockets.open(s, metricsAddr)
	if err != nil {
		sockets.close()
		return nil, errors.Wrap(err, "listen")
	}
	return &sockets, nil
}

func (d *directSockets) open(s *platform.Settings, metricsAddr string) error {
	var err error
	if d.callers, err = listen(s.CallersAddr); err != nil {
		return err
	}
	if d.ready, err = listen(s.ReadyAddr); err != nil {
		return err
	}
	peerAddr, err := net.ResolveUDPAddr("udp4", s.PeerAddr())
	if err != nil {
		return err
	}
	if d.peers, err = net.ListenUDP("udp4", peerAddr); err != nil {
		return err
	}
	if metricsAddr == "" {
		return nil
	}
	d.metrics, err = listen(metricsAddr)
	return err
}

func listen(addr string) (net.Listener, error) {
	return relay.ListenConfig().Listen(context.Background(), "tcp", addr)
}

// close closes the sockets that are open. A server may have closed its listener
// before.
func (d *directSockets) close() {
	for _, l := range []net.Listener{d.callers, d.ready, d.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
}
