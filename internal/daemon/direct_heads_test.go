package daemon

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Answers that are none reached callers: one with status 000, one that stood in the body of an
// interim answer, and ones whose head held a blank in a name.
func TestDirectAnswerThatIsNoneReachesNoCaller(t *testing.T) {
	env := newDirectEnv(t)
	var text atomic.Value
	env.replaceTargets("app", "", []string{"app-1", "app-2"}, func(w io.Writer, id string) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(text.Load().(string), "ID", id))
		return true
	})
	const fields = "X-Request-Id: ID\r\nX-Response-Signature: s\r\n"
	const forged = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\nforged"
	send := func(method, path, answer string) (responseHead, string) {
		text.Store(answer)
		return env.call(method, path, "{}")
	}
	env.eventually(func() bool {
		resp, body := send("GET", "/lookup/1", "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\n\r\nsound")
		return resp.StatusCode == http.StatusOK && body == "sound"
	})
	for _, answer := range []string{
		"HTTP/1.1 000 None\r\n" + fields + "Content-Length: 200\r\n\r\n" + forged,
		"HTTP/1.1 099 None\r\n" + fields + "\r\n" + forged,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n" + forged,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + forged,
		"HTTP/1.1 200 OK\r\n" + fields + "X Bad: v\r\nContent-Length: 6\r\n\r\nforged",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 6\r\n\r\nforged",
		"HTTP/1.1 200 OK\r\n" + fields + " Content-Length: 6\r\n\r\nforged",
		"HTTP/1.1 500 x\r\n" + fields + "X Bad: v\r\nContent-Length: 6\r\n\r\nforged",
		"HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
	} {
		for path, method := range map[string]string{"/lookup/1": "GET", "/order/1": "POST"} {
			resp, body := send(method, path, answer)
			env.is.True(resp.StatusCode >= http.StatusInternalServerError) // an error of the entry's own
			env.is.Equal(resp.Header.Get("X-Response-Signature"), "")
			env.is.True(!strings.Contains(body, "forged"))
		}
	}
}
