package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/verbenaspur/verbenaspur/internal/tcpreset"
)

// bytesConn is a connection on which the given bytes have arrived, and then its end.
type bytesConn struct {
	net.Conn
	r io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.r.Read(b) }
func (bytesConn) Close() error                 { return nil }

// readBytes reads bytes as the answer to a request.
func readBytes(b []byte) (*Response, []byte, error) {
	rc := tcpreset.NewConn(bytesConn{r: bytes.NewReader(b)})
	input := &limitedReader{r: rc}
	c := &conn{Conn: rc, input: input, r: bufio.NewReaderSize(input, bufferSize)}
	resp, err := c.readResponse(request("1"))
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// FuzzResponse reads bytes at random. What passes for a whole answer has a status and fields of
// HTTP, is the one to the request, and has a body that arrived as it is unless it came in chunks.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		responseFor("1"), responseFor("2") + responseFor("1"), inside("103 x"), inside("000"),
		"HTTP/1.1 100 x\r\n\r\n" + responseFor("1"),
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n",
		"HTTP/1.0 200 OK\nX-Id: 1\n Folded: x\n\nok", "HTTP/1.1 200 OK\r\nX Id: 1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, body, err := readBytes(b)
		if err != nil {
			return
		}
		if resp.StatusCode < 200 || resp.StatusCode > highestStatus || !strings.HasPrefix(resp.Proto, protocol) {
			t.Fatalf("status %d of %s", resp.StatusCode, resp.Proto)
		}
		for name, values := range resp.Header {
			for _, v := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
					t.Fatalf("field %q: %q", name, v)
				}
			}
		}
		if ids := resp.Header.Values("X-Id"); len(ids) == 0 || ids[0] != "1" {
			t.Fatalf("IDs %q", ids)
		}
		if len(resp.TransferEncoding) == 0 && !bytes.Contains(b, body) {
			t.Fatalf("body %q was not sent", body)
		}
	})
}
