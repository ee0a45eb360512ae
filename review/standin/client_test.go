package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Path string
	Header                 []string // further lines of the head
	Body                   string
	Deadline               time.Duration
	SentAt                 time.Time
}

// Answer is what a client has received. Complete reports that the answer has ended as
// HTTP defines it: all of its length has come, or its last chunk.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Complete bool
	Err      error
}

// do sends a request on a new connection and reads the answer up to the deadline.
func do(addr string, r *Request) Answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.Deadline))
	r.SentAt = time.Now()
	if _, err := io.WriteString(c, r.text()); err != nil {
		return Answer{Err: err}
	}
	return readAnswer(bufio.NewReaderSize(c, 64<<10), r.Method)
}

func (r *Request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	for _, h := range r.Header {
		head += h + "\r\n"
	}
	if r.Body != "" || r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	return head + "\r\n" + r.Body
}

func readAnswer(br *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Complete = a.Err == nil && framed
	return a
}

// event is one event of a stream.
type event struct {
	id   string
	data string
}

// events splits the body of a stream into whole events.
func events(body []byte) []event {
	var out []event
	for _, block := range strings.SplitAfter(string(body), "\n\n") {
		if !strings.HasSuffix(block, "\n\n") {
			continue
		}
		var e event
		for _, line := range strings.Split(block, "\n") {
			if v, ok := strings.CutPrefix(line, "id: "); ok {
				e.id = v
			}
			if v, ok := strings.CutPrefix(line, "data: "); ok {
				e.data = v
			}
		}
		out = append(out, e)
	}
	return out
}
