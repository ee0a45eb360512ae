package httpclient

import (
	"bufio"
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/tcpabort"
	"github.com/verbenaspur/verbenaspur/internal/tcpreset"
)

// conn is a connection to a target, with the state of the exchange in progress.
type conn struct {
	*tcpreset.Conn
	addr string
	// input reads from the connection, and r from input.
	input *limitedReader
	r     *bufio.Reader
	// expires is when an idle connection becomes too old to be reused.
	expires   time.Time
	closeOnce sync.Once
	// lastID is the EchoID of the last request that had one. A late copy of its response
	// would pass for that of another request with the same ID.
	lastID string
	// process is the start time of the target's process at the other end, or 0 as long as
	// it is not known.
	process int64
	// oversized reports that a head did not fit into the buffer of r.
	oversized bool
	// patient reports that keep-alive probes are off.
	patient bool
	// written is closed when the write of the request in progress has finished or
	// failed. writeErr is set before that.
	written  chan struct{}
	writeErr error
}

// Response is a target's response. Its Close method must be called.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	// Framed reports whether the response has a length or is chunked, so that its
	// end can be distinguished from a lost connection.
	Framed bool
}

// close ends the connection. A request that has not reached the target's host yet, since a
// partition holds it up, must not run when nobody waits for its response any more.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = tcpabort.DropUnacknowledged(c)
		_ = c.Close()
	})
}

// send writes the request. A long request is written in the background, since
// the target may respond before it has read all of it.
func (c *conn) send(req *Request) {
	b := req.encode()
	c.lastID = cmp.Or(req.EchoID, c.lastID)
	c.written = make(chan struct{})
	c.writeErr = nil
	if len(b) < asyncWriteSize {
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

// setPatient turns the keep-alive probes off or on.
func (c *conn) setPatient(patient bool) {
	if c.patient == patient {
		return
	}
	c.patient = patient
	_ = c.SetKeepAlive(!patient)
}

// requestWritten reports whether the request has been written completely.
func (c *conn) requestWritten() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// readResponse reads the head of the response to the request. It skips complete
// responses to earlier requests.
func (c *conn) readResponse(req *Request) (*Response, error) {
	httpReq := &http.Request{Method: req.Method}
	for range maxMismatched {
		resp, err := c.readHead(httpReq) //nolint:bodyclose // Response.Close ends the exchange
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if echoes(resp, req) {
			c.input.left = maxBodyBytes
			return &Response{Response: resp, conn: c, Framed: isFramed(resp)}, nil
		}
		if !isFramed(resp) {
			return nil, ErrResponseMismatch
		}
		if err := c.discardBody(resp); err != nil {
			return nil, errors.Wrap(err, "kept: no answer")
		}
	}
	return nil, ErrResponseMismatch
}

// readHead reads the head of the next response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.input.left = maxHeadBytes
	var resp *http.Response
	err := c.checkHead()
	if err == nil {
		resp, err = http.ReadResponse(c.r, req)
	}
	switch {
	case errors.Is(err, ErrMalformed):
		return nil, err
	case c.input.left <= 0:
		return nil, ErrTooLong
	case err != nil:
		return nil, errors.Wrap(err, "kept: no answer")
	}
	resp.Body = &checkedBody{resp.Body, resp}
	return resp, nil
}

// echoes reports whether the response belongs to the request, by the ID that it repeats.
func echoes(resp *http.Response, req *Request) bool {
	if req.EchoName == "" {
		return true
	}
	ids := resp.Header.Values(req.EchoName)
	if len(ids) == 0 {
		return req.EchoID == ""
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != req.EchoID })
}

func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (c *conn) discardBody(resp *http.Response) error {
	c.input.left = maxDiscardedBytes
	b := make([]byte, bufferSize)
	for {
		_, err := resp.Body.Read(b)
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// Discard reads the body to its end and ends the exchange.
func (r *Response) Discard() { r.Close(r.conn.discardBody(r.Response) == nil) }

// Close ends the exchange. The parameter complete reports whether the body was
// read to its end. The connection is closed unless it can be reused.
func (r *Response) Close(complete bool) {
	// False means that the context was cancelled, which closes the connection.
	alive := r.stop()
	c := r.conn
	if !alive || !complete || !r.reusable() {
		c.close()
		return
	}
	c.setPatient(false)
	r.pool.putIdle(c)
}

// reusable reports whether the connection can be used for another request after this
// response, whose body has been read to its end, and sets how long it may be idle.
func (r *Response) reusable() bool {
	c := r.conn
	idle, ok := idleTime(r.Header)
	c.expires = time.Now().Add(idle)
	return ok && r.Framed && !r.Response.Close && !c.oversized && c.requestWritten() && c.r.Buffered() == 0
}
