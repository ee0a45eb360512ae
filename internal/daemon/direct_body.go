package daemon

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
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
	// unreadBodyTimeout is how long the server waits for the rest of a body after the
	// request was refused, before it closes the sending side of the connection.
	unreadBodyTimeout = time.Second
)

// readCallerRequest reads a caller's request, whose body must arrive within bodyTimeout and
// find room in the budget. The returned function frees the room of the body.
func (d *directDriver) readCallerRequest(w http.ResponseWriter, r *http.Request, limit int64) (*platform.CallerRequest, func(), error) {
	controller := http.NewResponseController(w)
	nc := httpdrain.Conn(r)
	receipt := relay.ReceiptOf(nc)
	if receipt == nil {
		receipt = d.budget.Receipt(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	}
	var body []byte
	var err error
	if r.ContentLength != 0 {
		body, err = receiveBody(controller, receipt, r, limit)
	}
	if err == nil && !relay.Arrived(nc) {
		err = relay.ErrNoRoom
	}
	if err != nil {
		abortIfHeavy(receipt, err)
		return nil, receipt.ReleaseBody, err
	}
	callerRequest, err := platform.ReadCallerRequest(r, body)
	return callerRequest, receipt.ReleaseBody, err
}

// abortIfHeavy ends the connection of a request that found no room or lost it, if it holds
// much: the server holds the head of a request to which it responds for half a second more.
func abortIfHeavy(receipt *relay.Receipt, err error) {
	if errors.Is(err, relay.ErrNoRoom) && receipt.Heavy() {
		receipt.ReleaseBody()
		panic(http.ErrAbortHandler)
	}
}

// receiveBody reads the body of a request.
func receiveBody(controller *http.ResponseController, receipt *relay.Receipt, r *http.Request, limit int64) ([]byte, error) {
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := receipt.ReadAll(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}

// rejectCallerRequest responds to a request that could not be read, and has not run.
func rejectCallerRequest(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, relay.ErrNoRoom):
		closeUnread(w)
		platform.RefuseUnread(w, r, "memory", memoryRetryAfter)
	case errors.Is(err, relay.ErrTooLarge):
		closeUnread(w)
		platform.WriteError(w, http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errors.Is(err, platform.ErrMalformed):
		platform.WriteError(w, http.StatusBadRequest, "malformed", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		closeUnread(w)
		platform.RefuseOverdue(w, r, "body-timeout")
	default:
		// The caller disconnected before its request was complete.
		panic(http.ErrAbortHandler)
	}
}

// closeUnread makes the server close the connection after the response, and its sending
// side first, although the body has not been read. The server has no call for this, but
// does it after a body that exceeds the limit of a [http.MaxBytesReader]. Without it, the
// server resets the connection of a caller that is still sending. A part of the body is
// read by the server itself, for as long as the read deadline allows.
func closeUnread(w http.ResponseWriter) {
	_, _ = io.Copy(io.Discard, httpdrain.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0))
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
