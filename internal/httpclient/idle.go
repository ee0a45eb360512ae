package httpclient

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// idleTime returns how long a connection may be idle after an answer, and
// false where it is not to be used again.
func idleTime(h http.Header) (time.Duration, bool) {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		idle := time.Duration(s)*time.Second - idleMargin
		return idle, idle > 0
	}
	return defaultIdle, true
}

// quiet reports whether nothing has arrived on an idle connection: no bytes
// that belong to no request, no end and no error.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// endOfBody returns nil for the end of a whole body.
func endOfBody(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
