package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndOfConnectionShowsWhatWasRead guards the assumption by which a callerLink
// tells requests that the daemon has read from others: the kernel resets a
// connection that is closed with unread bytes, or that gets bytes after its close,
// and ends it in order otherwise.
func TestEndOfConnectionShowsWhatWasRead(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	readAll := func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, len(request))) }
	for _, test := range []struct {
		name string
		// serve is called with an accepted connection, which is then closed.
		serve func(c net.Conn)
		// The request is written before the close, after it, or both.
		before, after, reset bool
	}{
		{"whole request read", readAll, true, false, false},
		{"nothing read", func(net.Conn) { time.Sleep(50 * time.Millisecond) }, true, false, true},
		{"half read", func(c net.Conn) {
			time.Sleep(50 * time.Millisecond)
			_, _ = c.Read(make([]byte, len(request)/2))
		}, true, false, true},
		{"closed before the request", func(net.Conn) {}, false, true, true},
		{"one request read, the next one after the close", readAll, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, closed := serveOnce(t, test.serve)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if test.before {
				_, _ = io.WriteString(c, request)
			}
			<-closed
			if test.after {
				_, _ = io.WriteString(c, request)
			}
			time.Sleep(resetWait)
			_, err = c.Read(make([]byte, 1))
			if got := !errors.Is(err, io.EOF) || wasReset(c); got != test.reset {
				t.Errorf("reset: %v (read: %v), want %v", got, err, test.reset)
			}
		})
	}
}

// serveOnce accepts a connection, closes it after serve and then closes the channel.
func serveOnce(t *testing.T, serve func(net.Conn)) (string, chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if c, err := l.Accept(); err == nil {
			serve(c)
			_ = c.Close()
		}
	}()
	return l.Addr().String(), closed
}

// TestCallerLinkFindsRequestsReadAndNotAnswered checks a callerLink against servers
// whose behavior is known.
func TestCallerLinkFindsRequestsReadAndNotAnswered(t *testing.T) {
	read := func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
	answer := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			read(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"+text)
		}
	}
	for _, test := range []struct {
		name  string
		serve func(net.Conn)
		want  int
	}{
		{"read and not answered", read, 1},
		{"answered", answer("body"), 0},
		{"response cut short", answer("bo"), 1},
		{"not read", func(net.Conn) {}, 0},
		{"not read in time", func(net.Conn) { time.Sleep(2 * maxLinkDelay) }, 0},
		{"reset", func(c net.Conn) { read(c); closeWithReset(c) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := serveOnce(t, test.serve)
			link := newCallerLink(t, addr, newRand(1, 0))
			d := &deployment{t: t}
			client := &http.Client{}
			d.send(client, link.addr, "order", "1", func(r io.Reader) io.Reader { return r })
			client.CloseIdleConnections()
			link.wait()
			if got := link.unanswered; len(got) != test.want {
				t.Errorf("%v, want %d", got, test.want)
			}
		})
	}
}
