package relay

import (
	"io"
	"time"
)

// maxLingerBytes is how much is read of a closed connection at most.
const maxLingerBytes = 16 << 20

// startLinger starts a lingering close (RFC 9112, section 9.6) if the connection needs
// one and there are not too many. The caller holds mu, and everything has been sent.
//
// net/http calls CloseWrite only after a response to a request that it has not read to
// its end. To close such a connection at once would reset it, which may discard the
// response on its way and makes the caller's sending fail. All other connections are
// closed without reading: a request that arrives on one of them must not be consumed,
// because its caller may send it again elsewhere.
func (c *conn) startLinger() bool {
	if !c.writeClosed || c.left || c.err != nil || !c.budget.enterLinger() {
		return false
	}
	c.port.await(c)
	go c.linger()
	return true
}

// linger discards what the caller still sends until it closes its side, and closes the
// connection. A caller that has received the end of the response closes soon.
func (c *conn) linger() {
	defer c.budget.leaveLinger()
	defer c.endLater()
	c.reading.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.budget.LingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
