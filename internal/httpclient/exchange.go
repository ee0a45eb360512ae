package httpclient

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one call of a target.
type Request struct {
	Method, URI, Host string
	// Header holds the header fields, written in this order.
	Header []Field
	Body   []byte
	// EchoName is the header in which the target repeats EchoID.
	EchoName, EchoID string
	// Allowed is asked right before the first byte leaves; nil allows.
	Allowed func() bool
}

// Field is one header field.
type Field struct{ Name, Value string }

// conn is one connection.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// until is when an idle connection is too old for use.
	until  time.Time
	closer sync.Once
	// written is closed when the request in progress is written or failed.
	written  chan struct{}
	writeErr error
}

// Response is a target's answer. Close must be called.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	// Framed says that the answer has a length or chunks, so that its end can
	// be told from a lost connection.
	Framed bool
}

func (c *conn) close() { c.closer.Do(func() { _ = c.Close() }) }

// send writes the request, a long one beside the wait for the answer: a
// target may answer before it has read it.
func (c *conn) send(req *Request) {
	b := req.encode()
	c.written = make(chan struct{})
	c.writeErr = nil
	if len(b) < asyncBody {
		_, c.writeErr = c.Write(b)
		close(c.written)
		return
	}
	done := c.written
	go func() {
		_, c.writeErr = c.Write(b)
		close(done)
	}()
}

// sent reports whether the request has been written whole.
func (c *conn) sent() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

func (r *Request) encode() []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, f := range r.Header {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// receive reads the head of the request's answer, past whole answers to
// earlier requests.
func (c *conn) receive(req *Request) (*Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(c.r, asked) //nolint:bodyclose // Answer.Close ends the exchange
		if err != nil {
			return nil, errors.Wrap(err, "kept: no answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.EchoName == "" || resp.Header.Get(req.EchoName) == req.EchoID {
			return &Response{Response: resp, conn: c, Framed: framed(resp)}, nil
		}
		if !framed(resp) {
			return nil, ErrResponseMismatch
		}
		if err := drain(resp); err != nil {
			return nil, errors.Wrap(err, "kept: no answer")
		}
	}
	return nil, ErrResponseMismatch
}

func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func drain(resp *http.Response) error {
	b := make([]byte, bufferSize)
	for {
		_, err := resp.Body.Read(b)
		if err != nil {
			return endOfBody(err)
		}
	}
}

// Close ends the exchange. Whole says that the body was read to its end.
func (a *Response) Close(whole bool) {
	// A false result means that the context has closed the connection.
	alive := a.stop()
	c := a.conn
	idle, keep := idleTime(a.Header)
	if !alive || !whole || !keep || !a.Framed || a.Response.Close || !c.sent() || c.r.Buffered() > 0 {
		c.close()
		return
	}
	c.until = time.Now().Add(idle)
	a.pool.put(c)
}
