package httpclient

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// startProcess starts a target that says which process it is. It counts how often it is
// asked.
func startProcess(t *testing.T, process *atomic.Int64, head string) (tg *target, asked *atomic.Int64) {
	asked = new(atomic.Int64)
	return startTarget(t, func(c net.Conn, _ int64, req *http.Request) {
		if req.URL.Path == "/process" {
			asked.Add(1)
			text := strconv.FormatInt(process.Load(), 10)
			write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
			return
		}
		write(c, responseFor(req.Header.Get("X-Id")))
	}), asked
}

// confirmed returns a request that is meant for a process.
func confirmed(id string, process int64) *Request {
	req := request(id)
	req.Confirm = &Confirmation{
		Process: process, Question: &Request{Method: http.MethodGet, URI: "/process", Host: "h"},
		Read: func(body []byte) int64 { n, _ := strconv.ParseInt(string(body), 10, 64); return n },
	}
	return req
}

func send(t *testing.T, p *Pool, addr string, req *Request) error {
	t.Helper()
	resp, err := p.Do(t.Context(), addr, req)
	if err == nil {
		resp.Discard()
	}
	return err
}

// A request reached another process at its target's address than the one it was meant for.
func TestRequestReachesItsProcessOnly(t *testing.T) {
	is := is.New(t)
	var process atomic.Int64
	process.Store(7)
	tg, asked := startProcess(t, &process, "")
	p := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		is.NoErr(send(t, p, tg.addr, confirmed(id, 7)))
	}
	is.Equal(asked.Load(), int64(1)) // once on a connection
	err := send(t, p, tg.addr, confirmed("4", 8))
	var other *OtherProcessError
	is.True(errors.As(err, &other) && errors.Is(err, ErrNotSent))
	is.Equal(other.Process, int64(7))
	is.Equal(tg.requests.Load(), int64(1+3))
	is.NoErr(send(t, p, tg.addr, request("5"))) // any process, on the same connection
	is.Equal(tg.conns.Load(), int64(1))

	p.CloseIdle(tg.addr)
	process.Store(8)
	is.NoErr(send(t, p, tg.addr, confirmed("6", 8)))
	is.Equal(asked.Load(), int64(2))
}

// A kept connection on which no answer to the question comes has ended with its process.
// Nothing of the request was sent on it, so that a new one is opened.
func TestQuestionIsRepeatedOnNewConnection(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	tg := startTarget(t, func(c net.Conn, _ int64, req *http.Request) {
		switch {
		case req.URL.Path != "/process":
			write(c, responseFor(req.Header.Get("X-Id")))
		case conns.Add(1) == 1:
			_ = c.Close()
		default:
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		}
	})
	p := NewPool()
	is.NoErr(send(t, p, tg.addr, request("1")))
	is.NoErr(send(t, p, tg.addr, confirmed("2", 7)))
	is.Equal(tg.conns.Load(), int64(2))
}

// A target that does not say which process it is, or closes the connection on which it has
// said so, gets no request that is meant for one.
func TestUnconfirmedRequestIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		process int64
		head    string
	}{"says nothing": {0, ""}, "closes": {7, "Connection: close\r\n"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var process atomic.Int64
			process.Store(c.process)
			tg, asked := startProcess(t, &process, c.head)
			err := send(t, NewPool(), tg.addr, confirmed("1", 7))
			is.True(errors.Is(err, ErrUnconfirmed) && errors.Is(err, ErrNotSent))
			is.Equal(tg.requests.Load(), asked.Load())
		})
	}
}

// A target that answers the question with bytes without end does not hold the request up.
func TestEndlessAnswerToQuestionIsGivenUp(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\n\r\n")
		for junk := make([]byte, 64<<10); ; {
			if _, err := c.Write(junk); err != nil {
				return
			}
		}
	})
	is.True(errors.Is(send(t, NewPool(), tg.addr, confirmed("1", 7)), ErrUnconfirmed))
	silent := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) { _, _ = io.Copy(io.Discard, c) })
	is.True(errors.Is(send(t, NewPool(), silent.addr, confirmed("1", 7)), ErrUnconfirmed))
}
