package httpclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// outcomeOf returns what an exchange with a target that answers with raw bytes and then closes
// the connection brings: the status and the body, or the text of the error.
func outcomeOf(t *testing.T, answer string) string {
	t.Helper()
	tg := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) { write(c, answer); _ = c.Close() })
	resp, err := NewPool().Do(context.Background(), tg.addr, request("1"))
	if err == nil {
		defer resp.Close(false)
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			return fmt.Sprintf("%d %s", resp.StatusCode, b)
		}
	}
	if errors.Is(err, ErrMalformed) {
		return ErrMalformed.Error()
	}
	return err.Error()
}

// checkOutcomes checks the outcome of each answer by its name. No outcome may hold the body of
// an answer that stands inside another one.
func checkOutcomes(t *testing.T, want string, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is.New(t).Equal(outcomeOf(t, answer), want)
		})
	}
}

// forged is an answer with the request's ID that stands where no answer begins.
const forged = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\nforged"

// inside returns an answer with the given status line whose body holds a forged one.
func inside(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(forged), forged)
}

// A target in trouble sent an answer with status 000, which callers got. Statuses below 200 were
// passed over, and an answer in the body of such a one was taken for the request's.
func TestStatusThatIsNoneIsMalformed(t *testing.T) {
	answers := map[string]string{
		"interim with chunks": "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + forged,
		"204 with a body":     inside("204 No Content"),
		"no protocol":         "ICY 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"other version":       "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"two blanks":          "HTTP/1.1  200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte":        "HTTP/1.1 200 O\x01K\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"empty line first":    "\r\n" + responseFor("1"),
	}
	for _, status := range []string{"000 None", "000", "001 x", "099 x", "100 Continue", "101 Switching Protocols", "102 x", "199 x", "+20 x", "-20 x", "600 x", "999 x", "1000 x", "2 x", "20O x", "200.5"} {
		answers[status] = inside(status)
	}
	checkOutcomes(t, ErrMalformed.Error(), answers)
	checkOutcomes(t, "200 ok", map[string]string{
		"plain":                "HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"interim":              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: </a>\r\n\r\n" + responseFor("1"),
		"interim, length of 0": "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + responseFor("1"),
		"bare line feeds":      "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok",
		"minor version 0":      "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nok",
		"long head":            "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 3*bufferSize) + "\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
	})
}

// A target in trouble sent a name with a blank or a control byte in its head. Callers got the
// line, or a body that was not the target's where the line said how long it is.
func TestFieldThatIsNoneIsMalformed(t *testing.T) {
	answers := make(map[string]string)
	for _, field := range []string{
		"X Bad: v", "X-Bad : v", "X-Bad\t: v", "Content-Length : 2", "Content Length: 2", " X-Bad: v", "\tX-Bad: v", ": v", "X-Bad",
		"X\x01Bad: v", "X\x00Bad: v", "X\x7fBad: v", "X-B\u00e4d: v", "X(Bad): v", "X-Bad: a\x00b", "X-Bad: a\x01b", "X-Bad: a\rb", "X-Bad: a\x7fb",
	} {
		for _, status := range []string{"200 OK", "500 Internal Server Error"} {
			answers[fmt.Sprintf("%s %q", status, field)] = "HTTP/1.1 " + status + "\r\nX-Id: 1\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok"
		}
		answers[fmt.Sprintf("interim %q", field)] = "HTTP/1.1 103 x\r\nX-A: b\r\n" + field + "\r\n\r\n" + responseFor("1")
	}
	checkOutcomes(t, ErrMalformed.Error(), answers)
	checkOutcomes(t, "200 ok", map[string]string{
		"blanks around a value": "HTTP/1.1 200 OK\r\nX-Id: \t 1 \r\nContent-Length:2 \r\n\r\nok",
		"empty value":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok",
		"bytes above ASCII":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: \xe4\r\nContent-Length: 2\r\n\r\nok",
	})
}

// The trailer of a chunked answer is a head too.
func TestTrailerThatIsNoneIsMalformed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	checkOutcomes(t, ErrMalformed.Error(), map[string]string{"name": chunked + "X Bad: v\r\n\r\n"})
	checkOutcomes(t, "200 ok", map[string]string{"sound": chunked + "X-A: v\r\n\r\n"})
}

// Fields that say in two ways how long the body is let its end be taken from the wrong one.
func TestAmbiguousLengthIsMalformed(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	checkOutcomes(t, ErrMalformed.Error(), map[string]string{
		"length and chunks":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks and length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n" + chunks,
		"chunks before them": "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
	})
	checkOutcomes(t, "200 ok", map[string]string{
		"chunks":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"same twice": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	})
}

// An answer with the IDs of two requests passed for that of the first.
func TestAnswerWithTwoIDsIsOfNoRequest(t *testing.T) {
	checkOutcomes(t, ErrResponseMismatch.Error(), map[string]string{
		"two": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 2\r\n\r\nok",
	})
}

// The clients of the product's own platform and of operators read by net/http.
func TestCheckedTransportRefusesWhatIsNoAnswer(t *testing.T) {
	client := &http.Client{Transport: &CheckedTransport{Base: &http.Transport{DisableKeepAlives: true}}}
	for answer, sound := range map[string]bool{
		inside("000 x"): false, inside("100 x"): false, inside("103 x"): false, inside("204 x"): false, inside("600 x"): false,
		"HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok": false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":            false,
		"HTTP/1.1 103 x\r\nX Bad: v\r\n\r\n" + responseFor("1"):      false,
		"HTTP/1.1 103 x\r\nLink: </a>\r\n\r\n" + responseFor("1"):    true,
		"HTTP/1.1 500 x\r\nX-A: \xe4\r\nContent-Length: 2\r\n\r\nok": true,
	} {
		t.Run(fmt.Sprintf("%.40q", answer), func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) { write(c, answer); _ = c.Close() })
			resp, err := client.Get("http://" + tg.addr)
			if err == nil {
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, sound)
			is.Equal(errors.Is(err, ErrMalformed), !sound)
		})
	}
}
