package daemon

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/relay"
)

// A caller whose body is refused can send the rest of it and then read the refusal,
// whether it keeps its connections or not, and however long the rest is.
func TestRefusalReachesCallerThatIsStillSending(t *testing.T) {
	for name, tc := range map[string]struct {
		header    string
		room      int64
		part      int // of 10
		status    int
		errorCode string
	}{
		"too large":                      {"", 1 << 20, 2_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"too large, single request":      {"Connection: close\r\n", 1 << 20, 2_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"much too large":                 {"", 1 << 20, 200_000, http.StatusRequestEntityTooLarge, "body-too-large"},
		"no room for it":                 {"", 100, 90, http.StatusServiceUnavailable, "memory"},
		"no room for it, single request": {"Connection: close\r\n", 100, 90, http.StatusServiceUnavailable, "memory"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := &directDriver{budget: relay.NewBudget(tc.room, slog.New(slog.DiscardHandler))}
			d.maxBody.Store(1000)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			srv := &http.Server{Handler: d}
			go func() { _ = srv.Serve(d.budget.Listener(l)) }()
			defer func() { _ = srv.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n%sContent-Length: %d\r\n\r\n", tc.header, 10*tc.part)
			is.NoErr(err)
			for range 10 {
				_, err = c.Write(make([]byte, tc.part))
				is.NoErr(err) // a part can be sent
				time.Sleep(250 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(resp.Close)
			is.Equal(string(body), `{"error":"`+tc.errorCode+"\"}\n")
		})
	}
}
