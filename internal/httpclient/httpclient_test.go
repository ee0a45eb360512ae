package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// target is a server that answers the requests on each connection with raw
// bytes.
type target struct {
	addr     string
	conns    atomic.Int64
	requests atomic.Int64
}

// serve starts a target. Answer gets the connection and the request's number.
func serve(t *testing.T, answer func(c net.Conn, n int64, req *http.Request)) *target {
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
			go tg.handle(c, answer)
		}
	}()
	return tg
}

func (tg *target) handle(c net.Conn, answer func(net.Conn, int64, *http.Request)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer(c, tg.requests.Add(1), req)
	}
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func answerFor(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a", Host: "h", Body: []byte("{}"), EchoName: "X-Id", EchoID: id, Header: []Field{{"X-Id", id}}}
}

func get(t *testing.T, p *Pool, addr, id string) (string, error) {
	t.Helper()
	a, err := p.Do(context.Background(), addr, request(id))
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(b), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, _ int64, req *http.Request) { write(c, answerFor(req.Header.Get("X-Id"))) })
	p := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		b, err := get(t, p, tg.addr, id)
		is.NoErr(err)
		is.Equal(b, "ok")
	}
	is.Equal(tg.conns.Load(), int64(1))
}

// A kept connection that the target closes as the request arrives: the
// request may have run, so it is not sent again.
func TestNothingIsSentAgain(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, n int64, req *http.Request) {
		if n == 2 {
			_ = c.Close()
			return
		}
		write(c, answerFor(req.Header.Get("X-Id")))
	})
	p := NewPool()
	_, err := get(t, p, tg.addr, "1")
	is.NoErr(err)
	_, err = get(t, p, tg.addr, "2")
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent)) // it may have run
	is.Equal(tg.requests.Load(), int64(2))
}

func TestConnectionThatNeverOpened(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = NewPool().Do(context.Background(), addr, request("1"))
	is.True(errors.Is(err, ErrNotSent))
}

func TestNotAllowedIsNotSent(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, _ int64, req *http.Request) { write(c, answerFor(req.Header.Get("X-Id"))) })
	req := request("1")
	req.Allowed = func() bool { return false }
	_, err := NewPool().Do(context.Background(), tg.addr, req)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(tg.requests.Load(), int64(0))
}

// A late answer to an earlier request stands before the one that is due.
func TestAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, _ int64, req *http.Request) {
		write(c, answerFor("old")+answerFor(req.Header.Get("X-Id")))
	})
	b, err := get(t, NewPool(), tg.addr, "1")
	is.NoErr(err)
	is.Equal(b, "ok")
}

// Bytes after an answer belong to no request: the connection is not used again.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, n int64, req *http.Request) {
		s := answerFor(req.Header.Get("X-Id"))
		if n == 1 {
			s += answerFor("extra")
		}
		write(c, s)
	})
	p := NewPool()
	_, err := get(t, p, tg.addr, "1")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the surplus may arrive after the answer
	b, err := get(t, p, tg.addr, "2")
	is.NoErr(err)
	is.Equal(b, "ok")
	is.Equal(tg.conns.Load(), int64(2))
}

// An answer without a length is not kept: its end can't be told from a loss.
func TestUnframedAnswerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, _ int64, req *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\nbody")
		_ = c.Close()
	})
	p := NewPool()
	a, err := p.Do(context.Background(), tg.addr, request("1"))
	is.NoErr(err)
	is.True(!a.Framed)
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(b), "body")
	a.Close(true)
	is.Equal(len(p.idle), 0)
}

// A target may answer before it has read a long request. What it reads then
// is the rest of that request, so the connection is not used for another.
func TestEarlyAnswerToLongRequest(t *testing.T) {
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
	a, err := p.Do(context.Background(), l.Addr().String(), req)
	is.NoErr(err)
	is.Equal(a.StatusCode, 413)
	a.Close(true)
	is.Equal(len(p.idle[l.Addr().String()]), 0)
}

func TestContextEndsTheExchange(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	tg := serve(t, func(c net.Conn, _ int64, _ *http.Request) {
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, tg.addr, request("1"))
	is.True(err != nil)
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the target does not see the end")
	}
}

func TestAnnouncedIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	head := func(h string) http.Header { return http.Header{"Keep-Alive": {h}} }
	d, ok := idleTime(head("timeout=5, max=10"))
	is.True(ok)
	is.Equal(d, 4*time.Second)
	_, ok = idleTime(head("timeout=1"))
	is.True(!ok)
	d, ok = idleTime(nil)
	is.True(ok)
	is.Equal(d, defaultIdle)
}

func TestSweepClosesOldConnections(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(c net.Conn, _ int64, req *http.Request) { write(c, answerFor(req.Header.Get("X-Id"))) })
	p := NewPool()
	_, err := get(t, p, tg.addr, "1")
	is.NoErr(err)
	p.CloseExpired(time.Now())
	is.Equal(len(p.idle), 1)
	p.CloseExpired(time.Now().Add(time.Minute))
	is.Equal(len(p.idle), 0)
}
