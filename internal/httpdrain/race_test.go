package httpdrain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowListener accepts connections on whose bytes the process acts late, as on a busy
// processor.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(300 * time.Microsecond)
	return n, err
}

// stopServer stops a server after a delay while clients send requests over kept
// connections. It returns the number of requests that were read and got no response.
func stopServer(t *testing.T, clients int, delay time.Duration) int64 {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var handled, answered atomic.Int64
	srv := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			handled.Add(1)
		}
	})})
	go func() { _ = srv.Serve(slowListener{l}) }()
	var ready, done sync.WaitGroup
	start := make(chan struct{})
	for range clients {
		ready.Add(1)
		done.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				ready.Done()
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			exchange := func(path string) bool {
				_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(r, nil)
				return err == nil && resp.Body.Close() == nil
			}
			exchange("/first")
			ready.Done()
			<-start
			if exchange("/last") {
				answered.Add(1)
			}
		})
	}
	ready.Wait()
	close(start)
	time.Sleep(delay)
	srv.CloseListeners()
	srv.CloseIdle()
	is.NoErr(srv.Wait(t.Context()))
	done.Wait()
	is.Equal(handled.Load(), answered.Load())
	return srv.Stats().Unanswered
}

// A request that arrives while idle connections are closed is answered, or not read.
func TestStopReadsNoRequestOnClosedConnection(t *testing.T) {
	var lost int64
	for i := range 60 {
		lost += stopServer(t, 40, time.Duration(i%30)*20*time.Microsecond)
	}
	is.New(t).Equal(lost, int64(0))
}
