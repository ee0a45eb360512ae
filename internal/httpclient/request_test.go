package httpclient

import (
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// What another program had named, such as the handle of an engine or the name of a target, went
// into a request as it was: with a line break in it, the rest of it was a field or a request of
// its own.
func TestRequestThatEndsItsLineIsNotSent(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) { write(c, responseFor("1")) })
	for _, change := range []func(*Request){
		func(r *Request) { r.URI = "/a HTTP/1.1\r\nX: y" },
		func(r *Request) { r.URI = "/a b" },
		func(r *Request) { r.URI = "" },
		func(r *Request) { r.Method = "GET /" },
		func(r *Request) { r.Host = "h\r\nX: y" },
		func(r *Request) { r.Header = append(r.Header, Field{"X-A", "b\r\nX-B: c"}) },
		func(r *Request) { r.Header = append(r.Header, Field{"X A", "b"}) },
	} {
		req := request("1")
		change(req)
		_, err := NewPool().Do(t.Context(), tg.addr, req)
		is.True(errors.Is(err, ErrNotSent) && errors.Is(err, errInvalidRequest))
	}
	is.Equal(tg.conns.Load(), int64(0))
}
