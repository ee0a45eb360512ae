package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

// callService runs an attempt at a plain service that answers with raw bytes as soon as it has
// read the head of the request, and then ends the connection.
func callService(t *testing.T, answer, body string, end func(*net.TCPConn)) msg.AttemptResult {
	t.Helper()
	l := acceptEach(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, answer)
		end(c)
	})
	client := &serviceClient{base: "http://" + l.Addr().String(), http: newTargetHTTPClient(true), noReuse: newTargetHTTPClient(false)}
	a := newAttemptRun(&link.AttemptOpen{
		Spec:    msg.AttemptSpec{Attempt: "a1"},
		Payload: link.Payload{Method: http.MethodPost, Path: "/a", Body: []byte(body)},
	})
	return client.run(t.Context(), a).result
}

// Side daemons read the answers of targets by another reader, which passed on a part of an
// answer as a whole one, and answers that are none.
func TestSidePassesOnWholeAnswersOnly(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	inOrder := func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() }
	upload := strings.Repeat("u", 3<<20)
	for name, tt := range map[string]struct {
		answer, body string
		end          func(*net.TCPConn)
		want         msg.AttemptResult
	}{
		"whole":                     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "{}", inOrder, msg.AttemptDone},
		"no length, in order":       {"HTTP/1.1 200 OK\r\n\r\nok", upload, inOrder, msg.AttemptDone},
		"no length, reset":          {"HTTP/1.1 200 OK\r\n\r\nok", upload, reset, msg.AttemptCrashed},
		"status 000":                {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", "{}", inOrder, msg.AttemptCrashed},
		"answer in an interim one":  {fmt.Sprintf("HTTP/1.1 103 x\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged), "{}", inOrder, msg.AttemptCrashed},
		"blank in a name":           {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok" + forged, "{}", inOrder, msg.AttemptCrashed},
		"chunks before HTTP/1.1":    {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "{}", inOrder, msg.AttemptCrashed},
		"redirect":                  {"HTTP/1.1 307 x\r\nLocation: /b\r\nContent-Length: 2\r\n\r\nok", "{}", inOrder, msg.AttemptDone},
		"line that begins by blank": {"HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 2\r\n\r\nok", "{}", inOrder, msg.AttemptCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				is.New(t).Equal(callService(t, tt.answer, tt.body, tt.end), tt.want)
			}
		})
	}
}
