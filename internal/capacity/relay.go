package capacity

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ipHeader is the length of the IPv4 and UDP headers in bytes.
const ipHeader = 28

// Traffic counts the datagrams of the daemon under measurement. Bytes include
// the IP and UDP headers.
type Traffic struct {
	SentPackets, SentBytes         atomic.Int64
	ReceivedPackets, ReceivedBytes atomic.Int64
}

// relay passes datagrams between the daemon under measurement and one
// stand-in peer, and counts them.
type relay struct {
	front   *net.UDPConn
	back    *net.UDPConn
	traffic *Traffic
	daemon  atomic.Pointer[net.UDPAddr]
	wg      sync.WaitGroup
}

// newRelay listens on front and passes everything on to the address to.
func newRelay(front, to string, traffic *Traffic) (*relay, error) {
	toAddr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	frontAddr, err := net.ResolveUDPAddr("udp", front)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &relay{traffic: traffic}
	if r.front, err = net.ListenUDP("udp", frontAddr); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if r.back, err = net.DialUDP("udp", nil, toAddr); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r.wg.Go(r.forward)
	r.wg.Go(r.backward)
	return r, nil
}

func (r *relay) forward() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.daemon.Store(from)
		r.traffic.SentPackets.Add(1)
		r.traffic.SentBytes.Add(int64(n + ipHeader))
		// A datagram that can't be passed on is lost, as on a network.
		_, _ = r.back.Write(buf[:n])
	}
}

func (r *relay) backward() {
	buf := make([]byte, 1<<16)
	for {
		n, err := r.back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		to := r.daemon.Load()
		if err != nil || to == nil {
			continue
		}
		r.traffic.ReceivedPackets.Add(1)
		r.traffic.ReceivedBytes.Add(int64(n + ipHeader))
		_, _ = r.front.WriteToUDP(buf[:n], to)
	}
}

func (r *relay) close() {
	_ = r.front.Close()
	_ = r.back.Close()
	r.wg.Wait()
}
