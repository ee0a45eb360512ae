package httpclient

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Transport sends the plain requests of an [http.Client] through a [Pool], so that they are
// sent at most once and their responses are read as strictly as all others.
type Transport struct {
	// Pool holds the connections.
	Pool *Pool
	// Close asks for the end of each connection after one request.
	Close bool
	// TLS sends the requests to https URLs.
	TLS http.RoundTripper
}

// ownFields are the header fields that a request has from its other parts.
var ownFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// RoundTrip implements [http.RoundTripper]. It reads the whole body before it sends the request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme != "http" {
		return t.TLS.RoundTrip(r)
	}
	req, err := t.request(r)
	if err != nil {
		return nil, err
	}
	addr := r.URL.Host
	if r.URL.Port() == "" {
		addr += ":80"
	}
	t.Pool.CloseExpired(time.Now())
	resp, err := t.Pool.Do(r.Context(), addr, req)
	if err != nil {
		return nil, err
	}
	out := resp.Response
	out.Request = r
	out.Body = &transportBody{ReadCloser: resp.Body, resp: resp}
	return out, nil
}

// request returns the request to send.
func (t *Transport) request(r *http.Request) (*Request, error) {
	req := &Request{Method: r.Method, URI: r.URL.RequestURI(), Host: r.URL.Host, Patient: true}
	if r.Host != "" {
		req.Host = r.Host
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !ownFields[name] {
				req.Header = append(req.Header, Field{name, v})
			}
		}
	}
	if t.Close {
		req.Header = append(req.Header, Field{"Connection", "close"})
	}
	if r.Body == nil {
		return req, nil
	}
	body, err := io.ReadAll(r.Body)
	req.Body = body
	return req, errors.CombineErrors(err, r.Body.Close())
}

// transportBody is the body of a response. Its end or its Close ends the exchange.
type transportBody struct {
	io.ReadCloser
	resp          *Response
	whole, closed bool
}

// Read implements [io.Reader].
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close implements [io.Closer].
func (b *transportBody) Close() error {
	if !b.closed {
		b.closed = true
		b.resp.Close(b.whole)
	}
	return nil
}
