package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// target is a server that responds to the requests on each connection with raw
// bytes.
type target struct {
	addr     string
	conns    atomic.Int64
	requests atomic.Int64
}

// startTarget starts a target. It calls respond with the connection, the number
// of the request, counted from 1 over all connections, and the request.
func startTarget(t *testing.T, respond func(c net.Conn, n int64, req *http.Request)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	tg := &target{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tg.conns.Add(1)
			go tg.handle(c, respond)
		}
	}()
	return tg
}

func (tg *target) handle(c net.Conn, respond func(net.Conn, int64, *http.Request)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		respond(c, tg.requests.Add(1), req)
	}
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func responseFor(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a", Host: "h", Body: []byte("{}"), EchoName: "X-Id", EchoID: id, Header: []Field{{"X-Id", id}}}
}

func roundTrip(t *testing.T, p *Pool, addr, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), addr, request(id))
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) { write(c, responseFor(req.Header.Get("X-Id"))) })
	p := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		b, err := roundTrip(t, p, tg.addr, id)
		is.NoErr(err)
		is.Equal(b, "ok")
	}
	is.Equal(tg.conns.Load(), int64(1))
}

// If the target closes a reused connection when the request arrives, the request
// may have run. It must not be sent again.
func TestRequestIsNotResent(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, n int64, req *http.Request) {
		if n == 2 {
			_ = c.Close()
			return
		}
		write(c, responseFor(req.Header.Get("X-Id")))
	})
	p := NewPool()
	_, err := roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	_, err = roundTrip(t, p, tg.addr, "2")
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent)) // the request may have run
	is.Equal(tg.requests.Load(), int64(2))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = NewPool().Do(context.Background(), addr, request("1"))
	is.True(errors.Is(err, ErrNotSent))
}

func TestDisallowedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) { write(c, responseFor(req.Header.Get("X-Id"))) })
	req := request("1")
	req.Allowed = func() bool { return false }
	_, err := NewPool().Do(context.Background(), tg.addr, req)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(tg.requests.Load(), int64(0))
}

// A late response to an earlier request that arrives before the expected one must
// be skipped.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) {
		write(c, responseFor("old")+responseFor(req.Header.Get("X-Id")))
	})
	b, err := roundTrip(t, NewPool(), tg.addr, "1")
	is.NoErr(err)
	is.Equal(b, "ok")
}

// A request may go to the same target in two steps with one ID. A late second copy of the
// first step's response must not be taken for the second's.
func TestLateCopyIsNotTakenForNextStep(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, n int64, _ *http.Request) {
		if n == 1 {
			write(c, responseFor("1"))
			_, _ = c.Read(make([]byte, 1)) // part of the next request on this connection
			write(c, responseFor("1"))
			return
		}
		write(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nnext")
	})
	p := NewPool()
	b, err := roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	is.Equal(b, "ok")
	b, err = roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	is.Equal(b, "next")
}

// A call without an ID took a late second copy of an earlier response on its connection for
// its own. After it, the copy's ID is still not used on the connection.
func TestLateCopyIsNotTakenForCallWithoutID(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, n int64, req *http.Request) {
		if n == 2 {
			write(c, responseFor("1"))
		}
		if id := req.Header.Get("X-Id"); id != "" {
			write(c, responseFor(id))
			return
		}
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
	})
	p := NewPool()
	_, err := roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	resp, err := p.Do(t.Context(), tg.addr, &Request{Method: http.MethodGet, URI: "/health", Host: "h", EchoName: "X-Id"})
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "own")
	resp.Close(true)
	is.Equal(tg.conns.Load(), int64(1))
	_, err = roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	is.Equal(tg.conns.Load(), int64(2))
}

// Keep-alive probes, which end an exchange with a silent host, are off while a patient
// request runs, and on again for the next one on the connection.
func TestPatientRequestIsNotProbed(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) { write(c, responseFor(req.Header.Get("X-Id"))) })
	p := NewPool()
	probed := func(c *conn) (on bool) {
		raw, err := c.SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			v, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
			on = err == nil && v != 0
		}))
		return on
	}
	for i, patient := range []bool{false, true, false} {
		req := request(strconv.Itoa(i))
		req.Patient = patient
		resp, err := p.Do(t.Context(), tg.addr, req)
		is.NoErr(err)
		is.Equal(probed(resp.conn), !patient)
		resp.Discard()
	}
	is.Equal(tg.conns.Load(), int64(1))
}

// Bytes that follow a response belong to no request, so the connection must not
// be reused.
func TestSurplusBytesCloseConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, n int64, req *http.Request) {
		s := responseFor(req.Header.Get("X-Id"))
		if n == 1 {
			s += responseFor("extra")
		}
		write(c, s)
	})
	p := NewPool()
	_, err := roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the extra bytes may arrive after the response
	b, err := roundTrip(t, p, tg.addr, "2")
	is.NoErr(err)
	is.Equal(b, "ok")
	is.Equal(tg.conns.Load(), int64(2))
}

// The end of a response without a length can't be distinguished from a lost
// connection, so the connection must not be reused.
func TestUnframedResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\nbody")
		_ = c.Close()
	})
	p := NewPool()
	resp, err := p.Do(context.Background(), tg.addr, request("1"))
	is.NoErr(err)
	is.True(!resp.Framed)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "body")
	resp.Close(true)
	is.Equal(len(p.idle), 0)
}

// A target may respond before it has read all of a long request. It then still
// reads the rest of that request, so the connection must not be used for another
// one.
func TestEarlyResponseToLongRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				line, _ := bufio.NewReaderSize(c, 16).ReadString('\n')
				if strings.HasPrefix(line, "POST") {
					write(c, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
				}
				time.Sleep(time.Second)
				_ = c.Close()
			}()
		}
	}()
	p := NewPool()
	req := request("1")
	req.Body = make([]byte, 8<<20)
	resp, err := p.Do(context.Background(), l.Addr().String(), req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	resp.Close(true)
	is.Equal(len(p.idle[l.Addr().String()]), 0)
}

func TestContextCancelsExchange(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	tg := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) {
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, tg.addr, request("1"))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the target did not see the connection close")
	}
}

func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	is := is.New(t)
	head := func(h string) http.Header { return http.Header{"Keep-Alive": {h}} }
	d, ok := idleTime(head("timeout=5, max=10"))
	is.True(ok)
	is.Equal(d, 4*time.Second)
	_, ok = idleTime(head("timeout=1"))
	is.True(!ok)
	d, ok = idleTime(nil)
	is.True(ok)
	is.Equal(d, defaultIdleTime)
}

func TestCloseExpired(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) { write(c, responseFor(req.Header.Get("X-Id"))) })
	p := NewPool()
	_, err := roundTrip(t, p, tg.addr, "1")
	is.NoErr(err)
	p.CloseExpired(time.Now())
	is.Equal(len(p.idle), 1)
	p.CloseExpired(time.Now().Add(time.Minute))
	is.Equal(len(p.idle), 0)
}
