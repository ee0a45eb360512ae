package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that what arrived is no response in HTTP/1.1, or one whose end can't be
// told.
var ErrMalformed = errors.New("kept: malformed answer")

// protocol is what each response begins with, before the digit of the minor version.
const protocol = "HTTP/1."

// Range of the status codes of HTTP (RFC 9110, section 15).
const (
	lowestStatus  = 100
	highestStatus = 599
)

// responseHead is what of a head decides whether the response can be read.
type responseHead struct {
	status int
	// minor is the digit behind protocol.
	minor byte
	// lengths counts the Content-Length fields. length is the last value.
	lengths int
	length  string
	// coded reports that there is a Transfer-Encoding field.
	coded bool
}

// checkHead waits for the whole head of the next response and checks it, before it is parsed.
// The parser of net/http is lenient: it joins folded lines, drops empty names, keeps names with
// blanks, and hides conflicting fields for the length. A line that is wrong ends the wait.
func (c *conn) checkHead() error {
	var scanner headScanner
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered()) // can't fail for as many bytes as are buffered
		if complete, malformed := scanner.scan(b); complete || malformed != nil {
			return malformed
		}
		if len(b) == c.r.Size() {
			c.r = bufio.NewReaderSize(c.r, 2*c.r.Size())
			// The smaller buffer below may hold bytes that this one does not show.
			c.oversized = true
		} else if err != nil {
			return err
		}
		n = len(b) + 1
	}
}

// headScanner checks the lines of a head as they arrive.
type headScanner struct {
	head responseHead
	// scanned is the number of bytes of the lines that have been checked.
	scanned int
}

// scan checks the lines of b that are new since the last call, and reports whether b holds the
// whole head. It is given all that has arrived of the head each time.
func (s *headScanner) scan(b []byte) (complete bool, err error) {
	if s.scanned == 0 && !bytes.HasPrefix(b, []byte(protocol)[:min(len(protocol), len(b))]) {
		return false, errors.Wrapf(ErrMalformed, "begins with %.20q", b)
	}
	for {
		text, _, ok := bytes.Cut(b[s.scanned:], []byte("\n"))
		if !ok {
			return false, nil
		}
		line := string(bytes.TrimSuffix(text, []byte("\r")))
		switch {
		case s.scanned == 0:
			if s.head, ok = scanStatusLine(line); !ok {
				return false, errors.Wrapf(ErrMalformed, "status line %.40q", line)
			}
		case line == "":
			return true, s.head.check()
		case !s.head.scanField(line):
			return false, errors.Wrapf(ErrMalformed, "field %.40q", line)
		}
		s.scanned += len(text) + 1
	}
}

// scanStatusLine reads a status line that begins with [protocol], such as "HTTP/1.1 200 OK".
// The reason may be missing.
func scanStatusLine(line string) (h responseHead, ok bool) {
	const shortest = "1 200"
	rest := strings.TrimPrefix(line, protocol)
	if len(rest) < len(shortest) || !isDigit(rest[0]) || rest[1] != ' ' {
		return h, false
	}
	h.minor = rest[0]
	for _, d := range []byte(rest[2:5]) {
		if !isDigit(d) {
			return h, false
		}
		h.status = 10*h.status + int(d-'0')
	}
	reason := rest[5:]
	validReason := reason == "" || reason[0] == ' ' && httpguts.ValidHeaderFieldValue(reason)
	return h, validReason && h.status >= lowestStatus && h.status <= highestStatus
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// scanField notes the field of a line and reports whether it is valid. A line that begins with a blank
// would continue the one before, which is obsolete (RFC 9112, section 5.2).
func (h *responseHead) scanField(line string) bool {
	name, value, ok := strings.Cut(line, ":")
	return ok && h.note(name, value)
}

// note notes a field and reports whether its name and its value are valid.
func (h *responseHead) note(name, value string) bool {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return false
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		h.lengths++
		h.length = strings.Trim(value, " \t")
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.coded = true
	}
	return true
}

// check checks what the lines of a head say together (RFC 9112, section 6).
func (h *responseHead) check() error {
	bodyless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrMalformed, "another protocol, which was not asked for")
	case bodyless && (h.coded || h.lengths > 0 && h.length != "0"):
		return errors.Wrapf(ErrMalformed, "status %d announces a body", h.status)
	case h.coded && (h.lengths > 0 || h.minor == '0'):
		return errors.Wrap(ErrMalformed, "ambiguous length")
	}
	return nil
}

// checkedBody is the body of a response. At its end, it checks the names in the trailer.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements [io.Reader].
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.resp.Trailer {
			if !httpguts.ValidHeaderFieldName(name) {
				return n, errors.Wrapf(ErrMalformed, "field %.40q", name)
			}
		}
	}
	return n, err
}
