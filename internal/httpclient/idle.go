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

// idleTime returns how long a connection may be idle after a response with the
// header h. It returns false if the connection must not be reused.
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
	return defaultIdleTime, true
}

// noPendingInput reports whether nothing has arrived on an idle connection:
// neither bytes that belong to no request, nor the end of the stream, nor an
// error.
func (c *conn) noPendingInput() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// ignoreEOF returns nil for io.EOF, which marks the end of a complete body, and
// any other error unchanged.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
