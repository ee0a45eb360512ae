package httpclient

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// confirmTimeout limits the time in which a target says which process it is.
	confirmTimeout = 500 * time.Millisecond
	// maxConfirmBytes limits the body in which it says so.
	maxConfirmBytes = 1 << 20
)

// ErrUnconfirmed means that a request was not sent because its target did not say which of
// its processes is at the other end of the connection.
var ErrUnconfirmed = errors.New("kept: the target's process could not be confirmed")

// OtherProcessError means that a request was not sent because another process of its target
// is at the other end of the connection than the one that it is meant for.
type OtherProcessError struct {
	// Process is the start time of that process.
	Process int64
}

// Error implements error.
func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("kept: another process of the target, started at %d", e.Process)
}

// Confirmation makes sure that a request reaches a certain process of its target. A
// connection ends with the process that accepted it, so that one question tells which
// process the requests on a connection reach.
type Confirmation struct {
	// Process is the start time that identifies the process. It is not zero.
	Process int64
	// Question is the request whose response says which process sends it, and Read reads
	// that from its body. Zero means that the body does not say it.
	Question *Request
	Read     func(body []byte) int64
}

// acquireConfirmed returns a connection on which the request reaches the process that it is
// meant for. No byte of the request has been sent.
func (p *Pool) acquireConfirmed(ctx context.Context, addr string, req *Request) (*conn, error) {
	for {
		c, err := p.acquire(ctx, addr, req.EchoID)
		if err != nil || req.Confirm == nil {
			return c, err
		}
		kept := !c.expires.IsZero()
		if c.process == 0 {
			err = c.askProcess(ctx, req.Confirm)
		}
		switch {
		case err == nil && c.process == req.Confirm.Process:
			return c, nil
		case err == nil:
			p.putUnused(c)
			return nil, &OtherProcessError{c.process}
		}
		c.close()
		if !kept || ctx.Err() != nil {
			return nil, err
		}
	}
}

// askProcess asks which process is at the other end of the connection.
func (c *conn) askProcess(ctx context.Context, confirm *Confirmation) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.close)
	c.send(confirm.Question)
	resp, err := c.readResponse(confirm.Question)
	if err != nil {
		stop()
		return errors.Mark(err, ErrUnconfirmed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxConfirmBytes))
	process := confirm.Read(body)
	if !stop() || err != nil || process == 0 || !resp.reusable() {
		return ErrUnconfirmed
	}
	c.process = process
	return nil
}
