package httpclient

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// errInvalidRequest means that a request can't be written: a part of it would end its line.
var errInvalidRequest = errors.New("kept: request is not valid")

// Request is one HTTP request to a target.
type Request struct {
	Method, URI, Host string
	// Header holds the header fields in the order in which they are written.
	Header []Field
	Body   []byte
	// EchoName is the response header in which the target must repeat EchoID. If EchoID is
	// empty, it must not be set: a response with an ID is a late one to an earlier request
	// on the connection. Responses are not checked if EchoName is empty.
	EchoName, EchoID string
	// Patient keeps the connection open however long the target's host is silent. It is
	// of use if the exchange may last longer than [SilenceLimit].
	Patient bool
	// Confirm names the process of the target that the request is meant for. Nil means
	// any.
	Confirm *Confirmation
	// Allowed is called right before the first byte is sent. The request is not
	// sent if it returns false. Nil always allows.
	Allowed func() bool
}

// Field is one header field.
type Field struct{ Name, Value string }

// check reports an error if a part of the request would be read as something else. Some parts
// come from other programs, such as the names of targets.
func (r *Request) check() error {
	if !httpguts.ValidHeaderFieldName(r.Method) || r.URI == "" || strings.ContainsFunc(r.URI, endsURI) || !httpguts.ValidHostHeader(r.Host) {
		return errors.Wrapf(errInvalidRequest, "%.20q %.80q to %.40q", r.Method, r.URI, r.Host)
	}
	for _, f := range r.Header {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return errors.Wrapf(errInvalidRequest, "field %.40q", f.Name)
		}
	}
	return nil
}

// endsURI reports whether a character can't stand in the URI of a request line.
func endsURI(r rune) bool { return r <= ' ' || r == '\x7f' }

func (r *Request) encode() []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, f := range r.Header {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != "GET" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}
