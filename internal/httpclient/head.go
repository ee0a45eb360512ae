package httpclient

import (
	"bufio"
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
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered()) // can't fail for as many bytes as are buffered
		if complete, malformed := scanHead(string(b)); complete || malformed != nil {
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

// scanHead checks the lines of the head that b begins with, and reports whether b holds all
// of them.
func scanHead(b string) (complete bool, err error) {
	if !strings.HasPrefix(b, protocol[:min(len(protocol), len(b))]) {
		return false, errors.Wrapf(ErrMalformed, "begins with %.20q", b)
	}
	line, rest, ok := cutLine(b)
	if !ok {
		return false, nil
	}
	h, ok := scanStatusLine(line)
	if !ok {
		return false, errors.Wrapf(ErrMalformed, "status line %.40q", line)
	}
	for {
		line, rest, ok = cutLine(rest)
		switch {
		case !ok:
			return false, nil
		case line == "":
			return true, h.check()
		case !h.scanField(line):
			return false, errors.Wrapf(ErrMalformed, "field %.40q", line)
		}
	}
}

// cutLine returns the first line of b without its end, and what follows. It returns false if
// the line is not complete.
func cutLine(b string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(b, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
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
