package httpclient

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// CheckedTransport refuses what another transport takes for a response though it is none. It
// sees a head only after net/http has parsed it, so that folded lines and a Transfer-Encoding
// under HTTP/1.0 escape it. [Transport] sees them.
type CheckedTransport struct {
	// Base sends the requests. Nil is [http.DefaultTransport].
	Base http.RoundTripper
}

// RoundTrip implements [http.RoundTripper]. It fails with [ErrMalformed].
func (t *CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error { return checkParsed(code, http.Header(h)) },
	})
	resp, err := t.base().RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (t *CheckedTransport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// CloseIdleConnections closes the idle connections of the transport, if it can.
func (t *CheckedTransport) CloseIdleConnections() {
	if c, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkParsed checks the status and the fields of a head that has been parsed.
func checkParsed(status int, header http.Header) error {
	h := responseHead{status: status}
	if status < lowestStatus || status > highestStatus {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	for name, values := range header {
		for _, v := range values {
			if !h.note(name, v) {
				return errors.Wrapf(ErrMalformed, "field %.40q", name)
			}
		}
	}
	return h.check()
}
