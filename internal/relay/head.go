package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fieldCost and byteCost are the bytes of memory that a field of a head, and a byte of
	// it, take once it is parsed and copied for a target.
	fieldCost = 256
	byteCost  = 2
	// freeHeadCost is the cost of an ordinary head, which [ConnBytes] includes.
	freeHeadCost = 16 << 10
	// firstHeadBytes is how much room is made at first for a head that arrives in parts.
	firstHeadBytes = 4 << 10
	// refusalRetryAfter is how long a caller is asked to wait whose head found no room.
	refusalRetryAfter = time.Second
)

var errHeadTooLarge = errors.New("relay: head is too large")

// head is the head of the next request while it arrives. A server that parses a head
// keeps each field in several pieces of memory, many times its size if the fields are
// short. So the head is kept as it is until it is whole, and the server gets it once there
// is room for what it will make of it.
type head struct {
	// passed reports that the server has got the whole head, or has read it.
	passed atomic.Bool
	// part is what has arrived of an incomplete head, and partRoom the room that is reserved
	// for it. The server takes rest next: a complete head, and what came with it.
	part, rest []byte
	partRoom   int64
	// size and fields are the bytes and lines that have arrived.
	size, fields int
	end          headEnd
}

// headEnd finds the empty line at the end of a head.
type headEnd int

const (
	inLine headEnd = iota
	lineBegins
	carriageReturn
)

// scan goes on by the bytes that have arrived and reports whether the head is complete.
func (h *head) scan(p []byte) bool {
	for i, b := range p {
		switch {
		case b == '\n' && h.end != inLine:
			h.size += i + 1
			return true
		case b == '\n':
			h.end = lineBegins
			h.fields++
		case b == '\r' && h.end == lineBegins:
			h.end = carriageReturn
		default:
			h.end = inLine
		}
	}
	h.size += len(p)
	return false
}

// cost returns the memory that the head will take beyond that of an ordinary one.
func (h *head) cost() int64 {
	return max(int64(h.size)*byteCost+int64(h.fields)*fieldCost-freeHeadCost, 0)
}

// take moves bytes of a complete head that the server has not got to p.
func (h *head) take(p []byte) int {
	n := copy(p, h.rest)
	h.rest = h.rest[n:]
	if len(h.rest) == 0 {
		h.rest = nil
	}
	return n
}

// reset begins the next head, or records that the server has read one. Bytes that follow a
// head are left for the server.
func (h *head) reset(passed bool) {
	h.passed.Store(passed)
	h.part, h.partRoom, h.size, h.fields, h.end = nil, 0, 0, 0, inLine
}

// ReadHead is like Read while the server awaits the head of a request. It returns no byte
// before the head is complete. It calls unanswered with true when bytes have arrived, and
// with false when it has responded to them itself.
func (c *conn) ReadHead(p []byte, unanswered func(bool)) (int, error) {
	if c.head.passed.Load() {
		return c.Read(p)
	}
	for {
		n, err := c.readHeadPart(p, unanswered)
		if c.receipt.Lost() {
			err = ErrNoRoom
		}
		switch {
		case errors.Is(err, errHeadTooLarge), errors.Is(err, ErrNoRoom):
			c.refuseHead(err)
			unanswered(false)
			return 0, io.EOF
		case n > 0 || err != nil:
			return n, err
		}
	}
}

// readHeadPart reads what arrives next. It returns no byte unless the head is complete.
func (c *conn) readHeadPart(p []byte, unanswered func(bool)) (int, error) {
	h := &c.head
	arrived, err := c.receiveHead(p)
	if len(arrived) == 0 {
		return 0, err
	}
	unanswered(true)
	if h.size == 0 {
		c.port.await(c)
	}
	complete := h.scan(arrived)
	switch {
	case int64(h.size) > c.port.headBytes.Load():
		return 0, errHeadTooLarge
	case !complete:
		return 0, c.keepHead(arrived)
	case h.cost() > 0 && !c.receipt.Reserve(h.cost()):
		return 0, ErrNoRoom
	}
	c.receipt.heavy.Store(h.cost() > 0)
	return c.passHead(p, len(arrived)), nil
}

// receiveHead returns what arrives next of a head, behind the part that is kept, or in p if
// none is: what arrives in one piece needs no copy.
func (c *conn) receiveHead(p []byte) ([]byte, error) {
	h := &c.head
	if came := h.rest; came != nil {
		// It came with the request before.
		h.part, h.rest = came[:0], nil
		return came, nil
	}
	to := p
	if h.part != nil {
		to = h.part[len(h.part):cap(h.part)]
	}
	n, err := c.receive(to)
	return to[:n], err
}

// passHead gives the server a complete head, whose last n bytes have just arrived.
func (c *conn) passHead(p []byte, n int) int {
	h := &c.head
	h.passed.Store(true)
	c.deadlines.setOwn(time.Time{})
	if h.part == nil {
		return n
	}
	h.rest, h.part = h.part[:len(h.part)+n], nil
	return h.take(p)
}

// keepHead keeps a part of an incomplete head, and makes room for the next one.
func (c *conn) keepHead(arrived []byte) error {
	h := &c.head
	if h.partRoom == 0 {
		c.deadlines.setOwn(time.Now().Add(DefaultHeadTimeout))
	}
	if h.part != nil {
		h.part = h.part[:len(h.part)+len(arrived)]
		if h.partRoom > 0 && len(h.part) < cap(h.part) {
			return nil
		}
		arrived = h.part
	}
	room := max(2*int64(len(arrived)), firstHeadBytes)
	if !c.receipt.Reserve(room) {
		return ErrNoRoom
	}
	c.receipt.shrink(h.partRoom)
	h.part, h.partRoom = append(make([]byte, 0, room), arrived...), room
	return nil
}

// refuseHead responds to a request whose head the server does not get. It has not run.
func (c *conn) refuseHead(reason error) {
	resp := &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusServiceUnavailable, Close: true,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	body := "{\"error\":\"memory\"}\n"
	if errors.Is(reason, errHeadTooLarge) {
		resp.StatusCode = http.StatusRequestHeaderFieldsTooLarge
		body = "{\"error\":\"head-too-large\"}\n"
		c.port.countLargeHead()
	} else {
		resp.Header.Set("Retry-After", strconv.FormatFloat(refusalRetryAfter.Seconds(), 'f', -1, 64))
	}
	resp.ContentLength = int64(len(body))
	resp.Body = io.NopCloser(strings.NewReader(body))
	c.head.part = nil
	var text bytes.Buffer
	_ = resp.Write(&text)
	_, _ = c.Write(text.Bytes())
	_ = c.CloseWrite()
}

// ReceiptOf returns the receipt of the request on a connection, or nil if the connection was
// not accepted by a [Port].
func ReceiptOf(nc net.Conn) *Receipt {
	if c, ok := nc.(*conn); ok {
		return c.receipt
	}
	return nil
}

// Arrived records that the request on a connection has arrived whole. From then on, it gives
// way to no other. It returns false if the request has lost its room before.
func Arrived(nc net.Conn) bool {
	c, ok := nc.(*conn)
	return !ok || c.arrived()
}
