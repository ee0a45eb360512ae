package httpclient

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// endlessBytes is how much a target of these tests sends at most. A client without
// limits takes all of it.
const endlessBytes = 256 << 20

// A target may send bytes without end, which are no answer, in a head or in a body.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		start, repeated string
		most            int64
	}{
		"no head":            {"", "\x00\x01garbage", 1 << 20},
		"head":               {head, "X-A: b\r\n", 1 << 20},
		"line":               {head + "X-A: ", "bbbbbbbb", 1 << 20},
		"interim":            {"", "HTTP/1.1 100 Continue\r\n\r\n", 1 << 20},
		"late answer":        {head + "X-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nbbbbbbbb\r\n", 2 << 20},
		"unframed body":      {head + "X-Id: 1\r\n\r\n", "bbbbbbbb", endlessBytes / 2},
		"chunked body":       {head + "X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nbbbbbbbb\r\n", endlessBytes / 2},
		"body with a length": {head + "X-Id: 1\r\nContent-Length: 100000000000\r\n\r\n", "bbbbbbbb", endlessBytes / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var taken atomic.Int64
			closed := make(chan struct{})
			tg := startTarget(t, func(conn net.Conn, _ int64, _ *http.Request) {
				defer close(closed)
				_, _ = io.WriteString(conn, c.start)
				block := strings.Repeat(c.repeated, 64<<10/len(c.repeated))
				for taken.Load() < endlessBytes {
					n, err := io.WriteString(conn, block)
					taken.Add(int64(n))
					if err != nil {
						return
					}
				}
				_ = conn.Close()
			})
			resp, err := NewPool().Do(t.Context(), tg.addr, request("1"))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Close(false)
			}
			is.True(errors.IsAny(err, ErrTooLong, ErrResponseMismatch, ErrMalformed))
			<-closed
			// What the kernel buffers counts as taken.
			is.True(taken.Load() < c.most+16<<20)
		})
	}
}
