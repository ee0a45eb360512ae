package abuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is a number of clients that do the same. A client whose connection ends comes
// again.
type crowd struct {
	clients int
	port    int
	// send sends what a client sends on a new connection. Waits in it end by the return
	// value of pause, which is false once the crowd leaves.
	send func(c net.Conn, pause func(time.Duration) bool)
	// read is what the client does afterwards, until the connection ends. Nil reads
	// nothing and leaves the connection open.
	read func(c net.Conn, pause func(time.Duration) bool)
}

const (
	// maxVisits is how often a client comes, and returnDelay the time until it comes again.
	maxVisits   = 50
	returnDelay = 100 * time.Millisecond
	dialTimeout = 2 * time.Second
)

// gather starts the crowd. The returned function makes it leave and waits until it has.
func (d *daemon) gather(crowd crowd) (leave func()) {
	left := make(chan struct{})
	var clients sync.WaitGroup
	for range crowd.clients {
		clients.Go(func() {
			for visit := 0; visit < maxVisits; visit++ {
				d.visit(crowd, left)
				select {
				case <-left:
					return
				case <-time.After(returnDelay):
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(left)
		clients.Wait()
	})
}

// visit opens a connection and keeps it until it ends or the crowd leaves.
func (d *daemon) visit(crowd crowd, left chan struct{}) {
	c, err := net.DialTimeout("tcp", d.addr(crowd.port), dialTimeout)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-left:
		case <-ended:
		}
		_ = c.Close()
	}()
	pause := func(t time.Duration) bool {
		select {
		case <-left:
			return false
		case <-time.After(t):
			return true
		}
	}
	crowd.send(c, pause)
	if crowd.read == nil {
		<-left
		return
	}
	crowd.read(c, pause)
}

// readAll reads until the connection ends.
func readAll(c net.Conn, _ func(time.Duration) bool) { _, _ = io.Copy(io.Discard, c) }

// leaveSoon reads nothing and leaves, to come again.
func leaveSoon(_ net.Conn, pause func(time.Duration) bool) { pause(returnDelay) }

// readSlowly reads a byte at a time.
func readSlowly(c net.Conn, pause func(time.Duration) bool) {
	for b := make([]byte, 1); pause(slowPause); {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// slowPause is the time between two bytes of a slow client.
const slowPause = 500 * time.Millisecond

type sender = func(c net.Conn, pause func(time.Duration) bool)

func nothing(net.Conn, func(time.Duration) bool) {}

// text sends a text in one piece.
func text(s string) sender {
	return func(c net.Conn, _ func(time.Duration) bool) { _, _ = io.WriteString(c, s) }
}

// slowly sends a text a byte at a time.
func slowly(s string) sender {
	return func(c net.Conn, pause func(time.Duration) bool) {
		for i := 0; i < len(s) && pause(slowPause); i++ {
			if _, err := io.WriteString(c, s[i:i+1]); err != nil {
				return
			}
		}
	}
}

// endlessly sends a head, and then a piece again and again.
func endlessly(head, piece string) sender {
	return func(c net.Conn, pause func(time.Duration) bool) {
		_, err := io.WriteString(c, head)
		for err == nil && pause(0) {
			_, err = io.WriteString(c, piece)
		}
	}
}

// unlikeNumber makes names differ.
var unlikeNumber atomic.Int64

// unlike sends requests whose path, ID, key, stream and segments occur once each and are
// long.
func unlike(path string) sender {
	const requests, nameBytes, segments = 50, 2000, 200
	return func(c net.Conn, _ func(time.Duration) bool) {
		for range requests {
			n := unlikeNumber.Add(1)
			name := strconv.FormatInt(n, 10) + strings.Repeat("n", nameBytes)
			var prefix strings.Builder
			for i := range segments {
				fmt.Fprintf(&prefix, "%x%08x:9,", i, n)
			}
			_, err := fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Api-Key: key\r\nResumes: %s\r\nX-Deadline-Ms: 4000\r\nX-Model: %s\r\nX-Token-Usage: 1800,9\r\nX-Prefix-Hash: %s\r\n\r\n",
				path, name, name, name, name, prefix.String()+"f:1")
			if err != nil {
				return
			}
		}
	}
}

// head returns the beginning of a request's head, without the empty line at its end.
func head(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\nX-Api-Key: key\r\nX-Deadline-Ms: 4000\r\n" + strings.Join(fields, "")
}

// shortFields returns header fields that are as short as possible, no two alike, of n
// bytes in all.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// sized returns a request of which the body's last byte is missing.
func sized(path string, n int, fields ...string) string {
	return head("POST", path, fields...) + "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" + strings.Repeat("x", n-1)
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// chunked returns a request without the last chunk, of n bytes in chunks of equal size.
func chunked(path string, n, size int) string {
	return head("POST", path) + chunkedHead + strings.Repeat(chunk(size), n/size)
}

// request is an ordinary request. Each is sent on a connection of its own.
type request struct {
	port int
	text string
}

const ordinaryBodyBytes = 2000

var (
	readyRequest    = request{readyPort, "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"}
	ordinaryRequest = request{callersPort, whole("/order/1", ordinaryBodyBytes)}
	shortRequest    = request{callersPort, whole("/order/1", 0)}
)

// whole returns a request with a body of n bytes.
func whole(path string, n int, fields ...string) string {
	return head("POST", path, fields...) + "Connection: close\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n" + strings.Repeat("x", n)
}

// ask sends a request and returns the status of the response. The body must be whole.
func (d *daemon) ask(r request) (int, error) {
	c, err := net.DialTimeout("tcp", d.addr(r.port), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, r.text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// maxTries is how often an ordinary caller asks until it has its answer.
const maxTries = 4

// checkAnswered checks that a request is answered. Its caller asks again after a refusal or
// a closed connection, as the page "What verbenaspur speaks" lets it.
func (d *daemon) checkAnswered(t *testing.T, name string, r request) {
	t.Helper()
	var seen []string
	for range maxTries {
		status, err := d.ask(r)
		if status == http.StatusOK && err == nil {
			return
		}
		seen = append(seen, fmt.Sprint(status, " ", err))
		time.Sleep(returnDelay)
	}
	t.Errorf("%s: not answered: %q", name, seen)
}
