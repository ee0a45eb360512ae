package daemon

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/internal/response"
	"github.com/verbenaspur/verbenaspur/platform"
)

// endRecorder is a reducer that records the ends of attempts and the results of
// probes.
type endRecorder struct {
	mu     sync.Mutex
	ends   []msg.DirectAttemptEnded
	bodies []msg.DirectBodyStarted
	probes chan msg.ProbeResult
}

// Step implements [trace.Reducer].
func (r *endRecorder) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if e, ok := ev.(msg.DirectAttemptEnded); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ends = append(r.ends, e)
	}
	if e, ok := ev.(msg.DirectBodyStarted); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.bodies = append(r.bodies, e)
	}
	if p, ok := ev.(msg.TargetProbed); ok {
		r.probes <- p.Result
	}
	return nil
}

// await waits for the end of an attempt.
func (r *endRecorder) await(t *testing.T, id msg.AttemptID) msg.DirectAttemptEnded {
	t.Helper()
	return awaitEvent(t, r, &r.ends, func(e msg.DirectAttemptEnded) bool { return e.Attempt == id })
}

// awaitBody waits until the body of an attempt is passed on.
func (r *endRecorder) awaitBody(t *testing.T, id msg.AttemptID) {
	t.Helper()
	awaitEvent(t, r, &r.bodies, func(e msg.DirectBodyStarted) bool { return e.Attempt == id })
}

// awaitEvent waits for an event that the recorder adds to a list.
func awaitEvent[E msg.Event](t *testing.T, r *endRecorder, list *[]E, is func(E) bool) E {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		i := slices.IndexFunc(*list, is)
		if i >= 0 {
			defer r.mu.Unlock()
			return (*list)[i]
		}
		r.mu.Unlock()
	}
	var none E
	t.Fatalf("no %T of the attempt was reported within 5 seconds", none)
	return none
}

// newCallerRequest returns a request with an ID.
func newCallerRequest(t *testing.T, id string) *platform.CallerRequest {
	t.Helper()
	return newCallerRequestWith(t, id, "{}")
}

// newCallerRequestWith returns a request with the given body.
func newCallerRequestWith(t *testing.T, id, body string) *platform.CallerRequest {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/a", nil)
	r.Header.Set("X-Request-Id", id)
	callerRequest, err := platform.ReadCallerRequest(r, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return callerRequest
}

func newTestDriver(t *testing.T) (*directDriver, *endRecorder) {
	recorder := &endRecorder{probes: make(chan msg.ProbeResult, 1)}
	driver := &directDriver{
		log: slog.New(slog.DiscardHandler), ctx: t.Context(), pool: httpclient.NewPool(),
		budget:    relay.NewBudget(1<<20, slog.New(slog.DiscardHandler)),
		exchanges: make(map[msg.RequestID]*directExchange), attempts: make(map[msg.AttemptID]*runningAttempt),
	}
	driver.loop = NewLoop(recorder, driver.execute)
	go driver.loop.Run(t.Context(), msg.Started{})
	return driver, recorder
}

// A caller may disconnect while the next attempt of its request is passed to the
// exchange. The end of the attempt must be reported, or else its target would count
// it as running for ever.
func TestAttemptEndsWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	x := driver.open(t.Context(), &platform.CallerRequest{}, httptest.NewRecorder())
	driver.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "handed-over"})
	driver.close(x)
	is.Equal(recorder.await(t, "handed-over").Result, msg.DirectCancelled)
	driver.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "too-late"})
	is.Equal(recorder.await(t, "too-late").Result, msg.DirectCancelled)
	is.Equal(len(driver.attempts), 0)
}

// An attempt that is cancelled before its exchange has started it does not run.
func TestCancelledAttemptDoesNotStart(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	x := driver.open(t.Context(), &platform.CallerRequest{}, httptest.NewRecorder())
	driver.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "a", Spec: msg.DirectAttemptSpec{Deadline: time.Hour}})
	driver.execute(0, msg.CancelAttempt{Attempt: "a"})
	is.True(!x.executeCommand(<-x.commands))
	is.Equal(recorder.await(t, "a").Result, msg.DirectCancelled)
}

func TestWholeResponseIsNotCutByLaterEnd(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	for _, eff := range []msg.Effect{msg.AbortRequest{}, msg.RefuseRequest{}, msg.StartDirectAttempt{Attempt: "late"}} {
		x := driver.open(t.Context(), &platform.CallerRequest{}, httptest.NewRecorder())
		is.NoErr(x.response.Whole(func(http.ResponseWriter) {}))
		is.True(x.executeCommand(directCommand{eff: eff, ctx: t.Context()})) // It does not abort the connection.
		driver.close(x)
	}
	is.Equal(recorder.await(t, "late").Result, msg.DirectCancelled)
}

// A probe tells a target that responds from one whose process has ended, also over a
// connection that was kept from the process.
func TestProbeTellsRunningTargetFromEndedOne(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	eff := msg.ProbeTarget{Call: 1, Target: "t", Addr: srv.Listener.Addr().String()}
	driver.execute(0, eff)
	is.Equal(<-recorder.probes, msg.ProbeUp) // a busy target runs too
	srv.CloseClientConnections()
	srv.Close()
	driver.execute(0, eff)
	is.Equal(<-recorder.probes, msg.ProbeDown)
}

// A probe took a late second answer to a caller's request for its own: a target's load was
// read from it, or a target that was another process by then counted as running.
func TestProbeIgnoresLateAnswerToCaller(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		answer := head("r", "Content-Length: 2") + "ok"
		r := bufio.NewReader(c)
		for _, text := range []string{answer, answer + "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"} {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, text)
		}
	}()
	addr := l.Addr().String()
	x := driver.open(t.Context(), newCallerRequest(t, "r"), httptest.NewRecorder())
	eff := msg.StartDirectAttempt{Req: x.id, Attempt: "a", Spec: msg.DirectAttemptSpec{Addr: addr, Deadline: time.Hour}}
	x.executeCommand(directCommand{eff: eff, ctx: t.Context(), permit: &response.Permit{}})
	is.Equal(recorder.await(t, "a").Result, msg.DirectDone)
	driver.execute(0, msg.ProbeTarget{Call: 1, Target: "t", Addr: addr})
	is.Equal(<-recorder.probes, msg.ProbeDown) // the probe's own answer
}

// A target that accepts connections and is silent may or may not be running.
func TestProbeOfSilentTargetIsInconclusive(t *testing.T) {
	is := is.New(t)
	driver, recorder := newTestDriver(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	driver.execute(0, msg.ProbeTarget{Call: 1, Target: "t", Addr: l.Addr().String()})
	is.Equal(<-recorder.probes, msg.ProbeUnknown)
}
