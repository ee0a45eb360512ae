package capacity

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// headerBytes is the length of the IPv4 and UDP headers in bytes.
const headerBytes = 28

// Traffic counts the datagrams that the measured daemon sends and receives. Bytes
// include the IP and UDP headers.
type Traffic struct {
	SentPackets, SentBytes         atomic.Int64
	ReceivedPackets, ReceivedBytes atomic.Int64
}

// relay forwards datagrams between the measured daemon and a stand-in peer, and
// counts them.
type relay struct {
	daemonSide *net.UDPConn
	peerSide   *net.UDPConn
	traffic    *Traffic
	daemonAddr atomic.Pointer[net.UDPAddr]
	wg         sync.WaitGroup
}

// newRelay returns a relay that listens on listenAddr for the measured daemon and
// forwards its datagrams to peerAddr.
func newRelay(listenAddr, peerAddr string, traffic *Traffic) (*relay, error) {
	peerUDP, err := net.ResolveUDPAddr("udp", peerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	listenUDP, err := net.ResolveUDPAddr("udp", listenAddr)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &relay{traffic: traffic}
	if r.daemonSide, err = net.ListenUDP("udp", listenUDP); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if r.peerSide, err = net.DialUDP("udp", nil, peerUDP); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r.wg.Go(r.forwardToPeer)
	r.wg.Go(r.forwardToDaemon)
	return r, nil
}

// forwardToPeer forwards the datagrams that the measured daemon sends.
func (r *relay) forwardToPeer() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.daemonSide.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.daemonAddr.Store(from)
		r.traffic.SentPackets.Add(1)
		r.traffic.SentBytes.Add(int64(n + headerBytes))
		// A datagram that can't be forwarded is lost, as on a network.
		_, _ = r.peerSide.Write(buf[:n])
	}
}

// forwardToDaemon forwards the datagrams that the peer sends to the address from
// which the measured daemon last sent one.
func (r *relay) forwardToDaemon() {
	buf := make([]byte, 1<<16)
	for {
		n, err := r.peerSide.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		to := r.daemonAddr.Load()
		if err != nil || to == nil {
			continue
		}
		r.traffic.ReceivedPackets.Add(1)
		r.traffic.ReceivedBytes.Add(int64(n + headerBytes))
		_, _ = r.daemonSide.WriteToUDP(buf[:n], to)
	}
}

func (r *relay) close() {
	_ = r.daemonSide.Close()
	_ = r.peerSide.Close()
	r.wg.Wait()
}
