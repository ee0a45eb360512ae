package daemon

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// maxBufferedResponse is the largest response in bytes that is buffered until it
	// is complete. A longer one is forwarded as it arrives.
	maxBufferedResponse = 256 << 10
	// memoryRetryAfter is how long a caller is asked to wait whose request found no room.
	memoryRetryAfter = time.Second
	// bodyTimeout limits the time in which the body of a request must arrive.
	bodyTimeout = 10 * time.Second
)

// readCallerRequest reads a caller's request, whose body must arrive within bodyTimeout
// and find room in the budget. The returned function frees the room.
func (d *directDriver) readCallerRequest(w http.ResponseWriter, r *http.Request, limit int64) (*platform.CallerRequest, func(), error) {
	if r.ContentLength == 0 || r.ContentLength > limit {
		callerRequest, err := platform.ReadCallerRequest(r, limit)
		return callerRequest, func() {}, err
	}
	body, ok := d.budget.Body(r.Body, r.ContentLength)
	if !ok {
		return nil, body.Release, relay.ErrNoRoom
	}
	r.Body = body
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, body.Release, err
	}
	callerRequest, err := platform.ReadCallerRequest(r, limit)
	if err != nil {
		return nil, body.Release, err
	}
	return callerRequest, body.Release, controller.SetReadDeadline(time.Time{})
}

// rejectCallerRequest responds to a request that could not be read, and has not run.
func rejectCallerRequest(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, relay.ErrNoRoom):
		w.Header().Set("Connection", "close")
		platform.RefuseUnread(w, r, "memory", memoryRetryAfter)
	case errors.Is(err, platform.ErrTooLarge):
		w.Header().Set("Connection", "close")
		platform.WriteError(w, http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errors.Is(err, platform.ErrMalformed):
		platform.WriteError(w, http.StatusBadRequest, "malformed", 0)
	default:
		// The caller disconnected before its request was complete, or the body did
		// not arrive within bodyTimeout.
		panic(http.ErrAbortHandler)
	}
}
