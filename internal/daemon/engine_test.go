package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/standin/engine"
)

// runWithFault runs an attempt on a stand-in engine, injects a fault after the first
// token and returns the outcome.
func runWithFault(t *testing.T, fault string) attemptOutcome {
	t.Helper()
	srv := startServer(t, engine.New(engine.Config{}))
	client := &engineClient{base: srv.URL, http: newTargetHTTPClient(true)}
	a := newAttemptRun(&link.AttemptOpen{
		Spec:    msg.AttemptSpec{Attempt: "a1", Idempotent: true, MaxTokens: 10_000},
		Payload: link.Payload{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(chat("x", 10_000, true))},
	})
	done := make(chan attemptOutcome, 1)
	go func() { done <- client.run(t.Context(), a) }()
	for {
		frames, _, changed := a.framesFrom(0)
		if len(frames) > 0 {
			break
		}
		<-changed
	}
	resp, err := http.Post(srv.URL+"/control/faults", "application/json", strings.NewReader(fault))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case out := <-done:
		return out
	case <-time.After(time.Minute):
		t.Fatal("the attempt did not end within a minute")
		return attemptOutcome{}
	}
}

// A stream that goes silent while the engine responds on new connections is not a
// crash and must not count against the requests that ran on the engine.
func TestSilentStreamOfHealthyEngineEndsAsMoved(t *testing.T) {
	is := is.New(t)
	is.Equal(runWithFault(t, `{"freeze":true}`).result, msg.AttemptMoved)
}

// A stream that ends because its engine crashed is a crash.
func TestStreamOfCrashedEngineEndsAsCrashed(t *testing.T) {
	is := is.New(t)
	is.Equal(runWithFault(t, `{"crash":true}`).result, msg.AttemptCrashed)
}
