package relay

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// checksPerTimeout is how often it is checked within the time limit whether a caller
	// still takes something.
	checksPerTimeout = 4
	// closeDelay is how long a connection that does not linger stays open after its last
	// bytes, so that a reset by unread input does not overtake them.
	closeDelay = 500 * time.Millisecond
)

// startSending starts the goroutine that sends what is held, unless it is running.
func (c *conn) startSending() {
	if c.sending || c.err != nil {
		return
	}
	c.sending = true
	c.progressAt = time.Now()
	c.port.setBehind(c, true)
	c.budget.enter()
	go c.send()
}

// send sends what is held as the caller reads, until nothing is left or the caller is
// given up.
func (c *conn) send() {
	defer c.budget.leave()
	interval := min(c.budget.StallTimeout, c.budget.TightTimeout) / checksPerTimeout
	for {
		err := c.Conn.SetWriteDeadline(time.Now().Add(interval))
		if err == nil {
			err = c.raw.Write(c.sendHeld)
		}
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.abort(err)
			break
		}
		if reason := c.checkProgress(); reason != "" {
			c.giveUp(reason)
			break
		}
	}
	c.finishClose()
}

// trySend sends what the connection takes. It returns false if something is left.
func (c *conn) trySend(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil {
		p := c.queue.head()
		lent := len(p) == 0
		if lent {
			p = c.lent
		}
		if len(p) == 0 {
			c.stopSending()
			return true
		}
		n, err := writeFD(fd, p)
		if err != nil {
			c.fail(err)
		}
		if n == 0 {
			break
		}
		c.progressAt = time.Now()
		if lent {
			c.lent = c.lent[n:]
		} else {
			c.queue.pop(n)
		}
		c.wake()
	}
	return c.err != nil
}

// stopSending ends the sending of what was held, now that nothing is left. From here on
// Write sends directly.
func (c *conn) stopSending() {
	c.sending = false
	c.port.setBehind(c, false)
	// A deadline that has passed would make the next direct write fail.
	_ = c.Conn.SetWriteDeadline(time.Time{})
}

// fail makes the connection unusable and frees what is held.
func (c *conn) fail(err error) {
	c.err = err
	if c.sending {
		c.sending = false
		c.port.setBehind(c, false)
	}
	c.queue.clear()
	c.wake()
}

// abort fails the connection and closes it.
func (c *conn) abort(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	_ = c.end()
}

// checkProgress returns why the caller has to be given up, or nothing.
func (c *conn) checkProgress() Reason {
	c.mu.Lock()
	idle := time.Since(c.progressAt)
	c.mu.Unlock()
	switch {
	case idle >= c.budget.StallTimeout:
		return ReasonStalled
	case idle >= c.budget.TightTimeout && c.budget.tight():
		return ReasonMemory
	}
	return ""
}

// giveUp resets the connection, so that what the kernel holds is freed too.
func (c *conn) giveUp(reason Reason) {
	c.mu.Lock()
	held := c.queue.account.held
	idle := time.Since(c.progressAt)
	c.mu.Unlock()
	c.budget.countGivenUp(reason)
	c.budget.log.Info("relay: gave up a caller that does not read", "reason", string(reason),
		"caller", c.RemoteAddr().String(), "held_bytes", held, "idle_ms", idle.Milliseconds())
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.abort(errors.Newf("relay: caller given up: %s", string(reason)))
}

// finishClose carries out what was asked of the connection while bytes were held.
func (c *conn) finishClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending || c.err != nil && !c.closed {
		return
	}
	if c.writeClosed || c.closed {
		_ = c.closeWrite()
	}
	if c.closed && !c.startLinger() {
		c.port.await(c)
		time.AfterFunc(closeDelay, c.endLater)
	}
}

func (c *conn) endLater() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.end()
}
