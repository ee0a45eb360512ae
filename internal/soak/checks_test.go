package soak

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// violation records a violated promise.
func (d *deployment) violation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// check compares the responses that callers received with the requests that
// targets ran:
//
//   - A request reaches a target with its own body, with its account and without
//     its API key.
//   - A request that is not idempotent runs at most once, and does not run if it
//     was refused.
//   - A response that ends as complete is complete.
func (d *deployment) check() {
	executions := make(map[string]int)
	for _, r := range d.runners {
		for _, s := range r.Requests() {
			id := s.Header.Get("X-Request-Id")
			if s.Ran {
				executions[id]++
			}
			if s.Header.Get("X-Api-Key") != "" || s.Header.Get("X-Tenant") != "acme" {
				d.violation("request %s reached a target with an API key or for account %q", id, s.Header.Get("X-Tenant"))
			}
			if _, body, _ := strings.Cut(id, "/"); s.Body != body {
				d.violation("request %s reached a target with the body %q", id, s.Body)
			}
		}
	}
	complete, refused := 0, 0
	for id, a := range d.responses {
		kind, _, _ := strings.Cut(id, "/")
		switch {
		case kind != "lookup" && executions[id] > 1:
			d.violation("request %s ran %d times", id, executions[id])
		case kind != "lookup" && a.status == http.StatusServiceUnavailable && executions[id] > 0:
			d.violation("request %s was refused as not run but ran", id)
		case kind == "chat" && a.status == http.StatusOK && a.complete && !isWholeStream(a.body):
			d.violation("request %s received a response of %d events that ended as complete", id, strings.Count(a.body, "data:"))
		case kind != "chat" && a.status == http.StatusOK && a.complete && !strings.HasPrefix(a.body, "answer of r-"):
			d.violation("request %s received the response %q", id, a.body)
		}
		switch {
		case a.status == http.StatusOK && a.complete:
			complete++
		case a.status == http.StatusServiceUnavailable:
			refused++
		}
	}
	d.t.Logf("%d requests, %d complete responses, %d refused", len(d.responses), complete, refused)
	if complete == 0 {
		d.violation("no request received a complete response")
	}
	d.checkUsage()
	for _, s := range d.violations {
		d.t.Error(s)
	}
	if len(d.violations) > 0 {
		d.printLogs()
	}
}

// printLogs prints the logs of the entries.
func (d *deployment) printLogs() {
	for _, e := range d.entries {
		b, _ := os.ReadFile(e.log.Name())
		d.t.Logf("%s:\n%s", e.settings, b)
	}
}

// checkLinks checks that each request that an entry has read over a slow link got a
// complete response, unless the entry was killed or paused meanwhile. Requests for
// which owed is false are left out.
func (d *deployment) checkLinks(owed func(unansweredRequest) bool) {
	answered, unread := 0, 0
	for i, e := range d.entries {
		e.link.mu.Lock()
		answered, unread = answered+e.link.answered, unread+e.link.unread
		for _, u := range e.link.unanswered {
			if owed(u) && !e.interrupted(u.written, u.end) {
				d.violation("entry %d: %v%s", i, u, e.sinceStopRequest(u.end))
			}
		}
		e.link.mu.Unlock()
	}
	d.t.Logf("%d complete responses over slow links, %d requests reset", answered, unread)
	if answered == 0 {
		d.violation("no complete response over slow links")
	}
}

// interrupted reports whether the process was killed or paused at any time in a
// period, or shortly after it.
func (e *entry) interrupted(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.interruptions, func(s timeSpan) bool {
		return s.from.Before(to.Add(100*time.Millisecond)) && s.to.After(from)
	})
}

// sinceStopRequest describes how long after a request to stop something happened.
func (e *entry) sinceStopRequest(at time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Backward(e.stopRequests) {
		if s.Before(at) {
			return fmt.Sprintf(", %d ms after the last request to stop", at.Sub(s).Milliseconds())
		}
	}
	return ", before any request to stop"
}

// isWholeStream reports whether a body holds all events of a stream, in order and whole.
func isWholeStream(body string) bool {
	var want strings.Builder
	for i := 1; i <= 4; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %d%s\n\n", i, i, strings.Repeat(" ", eventPadding))
	}
	return body == want.String()
}

// checkUsage checks that no usage window was reported with two different sets of
// counts, and that no report has a lower fencing token than an earlier one.
func (d *deployment) checkUsage() {
	figures := make(map[int64]string)
	var fence int64
	for _, r := range d.store.Reports() {
		text := fmt.Sprint(r.Counts)
		if old, ok := figures[r.Window]; ok && old != text {
			d.violation("window %d was reported as %s and as %s", r.Window, old, text)
		}
		figures[r.Window] = text
		if r.Fence < fence {
			d.violation("window %d was reported with fencing token %d after %d", r.Window, r.Fence, fence)
		}
		fence = max(fence, r.Fence)
	}
}
