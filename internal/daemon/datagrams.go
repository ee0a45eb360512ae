package daemon

import (
	"log/slog"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

// maxDatagram is the largest datagram between entry daemons in bytes.
const maxDatagram = 60 << 10

// datagramTransport sends and receives peer messages, one per UDP datagram.
// Messages may be lost. The name of the sender is not authenticated, so the
// transport is meant for networks on which only the deployment's own hosts can
// send.
type datagramTransport struct {
	conn *net.UDPConn
	self msg.HostID
	log  *slog.Logger

	mu    sync.Mutex
	addrs map[msg.HostID]*net.UDPAddr
}

// datagram is the content of a datagram on the wire.
type datagram struct {
	From msg.HostID `cbor:"1,keyasint"`
	// Message is an encoded peer message.
	Message []byte `cbor:"2,keyasint"`
}

// newDatagramTransport returns a transport on a socket, which the caller closes.
func newDatagramTransport(conn *net.UDPConn, self msg.HostID, log *slog.Logger) *datagramTransport {
	return &datagramTransport{conn: conn, self: self, log: log, addrs: make(map[msg.HostID]*net.UDPAddr)}
}

// setAddr sets the address of an entry daemon.
func (d *datagramTransport) setAddr(eff msg.SetHostAddr) {
	addr, err := net.ResolveUDPAddr("udp4", eff.Addr)
	if err != nil {
		d.log.Warn("peers: address could not be resolved", "host", string(eff.Host), "reason", err.Error())
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs[eff.Host] = addr
}

// send sends a peer message. It drops the message if the address of the receiver
// is not known. A write that fails is ignored, because any datagram may be lost.
func (d *datagramTransport) send(eff msg.SendPeer) {
	d.mu.Lock()
	addr := d.addrs[eff.To]
	d.mu.Unlock()
	if addr == nil {
		return
	}
	b, err := wire.Marshal(eff.Message)
	if err == nil {
		b, err = wire.Marshal(datagram{d.self, b})
	}
	if err != nil || len(b) > maxDatagram {
		d.log.Warn("peers: message could not be encoded or is too large", "host", string(eff.To), "bytes", len(b))
		return
	}
	_, _ = d.conn.WriteToUDP(b, addr)
}

// receive calls f for each message that arrives, until the connection is closed.
func (d *datagramTransport) receive(f func(msg.HostID, msg.PeerMessage)) {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := d.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from, m, err := decodeDatagram(buf[:n])
		if err != nil {
			d.log.Warn("peers: dropped a message that could not be decoded", "reason", err.Error())
			continue
		}
		d.learnAddr(from, source)
		f(from, m)
	}
}

// learnAddr takes the source of a message for the address of a daemon of which no other is
// known. A daemon that can't read the list of the others answers those from which it hears.
func (d *datagramTransport) learnAddr(from msg.HostID, source *net.UDPAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrs[from] == nil {
		d.addrs[from] = source
	}
}

func decodeDatagram(b []byte) (msg.HostID, msg.PeerMessage, error) {
	var dg datagram
	if err := wire.Unmarshal(b, &dg); err != nil {
		return "", nil, err
	}
	m, err := wire.UnmarshalPeer(dg.Message)
	return dg.From, m, err
}
